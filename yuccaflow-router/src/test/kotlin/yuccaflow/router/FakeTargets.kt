package yuccaflow.router

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.base.TimerService
import yuccaflow.control.TargetSpec
import yuccaflow.external.GrantRequest
import yuccaflow.external.GrantedRange
import yuccaflow.external.TargetApiClient
import yuccaflow.external.TargetCallResult
import yuccaflow.external.TargetClock
import yuccaflow.external.WorkLimits
import yuccaflow.external.WorkResult
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.SocketAddress

/** A fault that a target injects into a request. */
enum class TargetFault { NONE, NOT_SENT, SHED, ANSWER_LOST, REQUEST_LOST, CONNECTION_LOST }

/** The state and behaviour of one simulated target. */
internal class FakeTarget(
    slots: Int,
) {
    /** Number of requests that it runs at once, given the number that it has answered. It sheds any more. */
    var concurrencyLimit: (answered: Int) -> Int = { slots }
    var serviceMs: () -> Long = { 10 }

    /** The status of its responses to the requests that it has run. */
    var status = 200
    var onWork: (HttpRequest) -> TargetFault = { TargetFault.NONE }
    var running = 0
    var peak = 0
    var shed = 0
    var answered = 0
    val runs = mutableListOf<String>()
    val cancelled = mutableListOf<String>()
    var lastEndMs = 0L
}

/** Simulated targets in virtual time. A target goes on with a request after the sender gave up, but not past its run-before time. */
internal class FakeTargets(
    private val timer: TimerService,
    private val scope: CoroutineScope,
) : TargetApiClient {
    private val targets = HashMap<SocketAddress, FakeTarget>()

    fun add(address: SocketAddress, slots: Int) = FakeTarget(slots).also { targets[address] = it }

    fun clockOf(spec: TargetSpec): TargetClock = TargetClock("instance of ${spec.id}", timer.nowMs(), timer.nowMs())

    override suspend fun sendWork(address: SocketAddress, request: HttpRequest, limits: WorkLimits): WorkResult {
        val target = targets.getValue(address)
        val clock = TargetClock("instance", timer.nowMs(), timer.nowMs())
        when (target.onWork(request)) {
            TargetFault.NOT_SENT -> return WorkResult.NotRun("connection refused", isShed = false, clock = null)

            TargetFault.SHED -> return shed(target, clock)

            TargetFault.REQUEST_LOST -> {
                delay(limits.timeoutMs)
                return WorkResult.Unknown("no answer")
            }

            TargetFault.CONNECTION_LOST -> {
                scope.launch(start = CoroutineStart.UNDISPATCHED) { run(target, limits) }
                return WorkResult.Unknown("connection reset")
            }

            TargetFault.ANSWER_LOST -> {
                scope.launch(start = CoroutineStart.UNDISPATCHED) { run(target, limits) }
                delay(limits.timeoutMs)
                return WorkResult.Unknown("no answer")
            }

            TargetFault.NONE -> Unit
        }
        if (target.running >= target.concurrencyLimit(target.answered)) return shed(target, clock)
        val done = CompletableDeferred<Boolean>()
        // Starts undispatched, so that the slot is taken before another request of the same moment is checked.
        scope.launch(start = CoroutineStart.UNDISPATCHED) { done.complete(run(target, limits)) }
        return when (withTimeoutOrNull(limits.timeoutMs) { done.await() }) {
            true -> WorkResult.Answered(HttpResponse(target.status, body = limits.requestId.encodeToByteArray()), clock)
            else -> WorkResult.Unknown("no answer")
        }
    }

    private fun shed(target: FakeTarget, clock: TargetClock): WorkResult {
        target.shed++
        return WorkResult.NotRun("full", isShed = true, clock = clock)
    }

    private suspend fun run(target: FakeTarget, limits: WorkLimits): Boolean {
        target.running++
        target.peak = maxOf(target.peak, target.running)
        target.runs += limits.requestId
        val finished = withTimeoutOrNull((limits.runBeforeClockMs ?: Long.MAX_VALUE) - timer.nowMs()) { delay(target.serviceMs()) } != null
        target.running--
        target.lastEndMs = timer.nowMs()
        if (finished) target.answered++
        return finished
    }

    override suspend fun cancel(address: SocketAddress, requestId: String) {
        targets.getValue(address).cancelled += requestId
    }

    override suspend fun grant(address: SocketAddress, request: GrantRequest, timeoutMs: Long): TargetCallResult =
        TargetCallResult.NoAnswer("unused")

    override suspend fun revoke(address: SocketAddress, ranges: List<GrantedRange>, timeoutMs: Long): TargetCallResult =
        TargetCallResult.NoAnswer("unused")
}
