package yuccaflow.router.fake

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.base.TimerService
import yuccaflow.external.GrantRequest
import yuccaflow.external.GrantedRange
import yuccaflow.external.TargetApiClient
import yuccaflow.external.TargetCallResult
import yuccaflow.external.TargetClock
import yuccaflow.external.TargetHealthClient
import yuccaflow.external.TargetLoadReport
import yuccaflow.external.WorkLimits
import yuccaflow.external.WorkResult
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.SocketAddress

/** A request that has run at a target. */
data class RecordedRun(
    val target: SocketAddress,
    val requestId: String,
    val epoch: Long,
    val startMs: Long,
    val endMs: Long,
)

/** An in-memory target. While frozen it answers nothing; once unfrozen it executes the calls that have arrived in the meantime. */
class FakeTarget(
    val address: SocketAddress,
    private val checksFences: Boolean,
    private val timer: TimerService,
    private val scope: CoroutineScope,
) {
    private class HeldGrant(
        val range: GrantedRange,
        val expiresAtClockMs: Long,
    )

    private val isFrozen = MutableStateFlow(false)
    private var heldGrants = emptyList<HeldGrant>()
    private var highestPrimaryEpoch = 0L
    private val seenEpochs = mutableMapOf<String, Long>()
    private var starts = 1
    private var startedAtMs = -CLOCK_START_MS
    val runs = mutableListOf<RecordedRun>()

    /** Ranges for which the target holds an unexpired grant. */
    val grants: List<GrantedRange> get() = heldGrants.filter { it.expiresAtClockMs > clockMs }.map { it.range }

    private val clockMs: Long get() = timer.nowMs() - startedAtMs
    private val instance: String get() = "$address#$starts"

    fun freeze() {
        isFrozen.value = true
    }

    fun unfreeze() {
        isFrozen.value = false
    }

    /** Drops all state and continues as a new instance. */
    fun restart() {
        starts++
        startedAtMs = timer.nowMs()
        heldGrants = emptyList()
        highestPrimaryEpoch = 0
    }

    /** Executes [order] as soon as the target is not frozen, even if the caller no longer waits for it. */
    suspend fun <T> execute(order: FakeTarget.() -> T): T = scope
        .async {
            delay(LATENCY_MS)
            isFrozen.first { !it }
            order()
        }.await()

    fun clock(): TargetClock = TargetClock(instance, clockMs, timer.nowMs())

    fun grant(order: GrantRequest): TargetCallResult {
        if (order.instance != instance) return TargetCallResult.Refused(STATUS_REFUSED, "another instance", clock())
        if (order.primaryEpoch < highestPrimaryEpoch || order.ranges.any { it.epoch < (seenEpochs[it.from] ?: 0) }) {
            return TargetCallResult.Refused(STATUS_REFUSED, "old epoch", clock())
        }
        highestPrimaryEpoch = order.primaryEpoch
        order.ranges.forEach { seenEpochs[it.from] = it.epoch }
        heldGrants = order.ranges.map { HeldGrant(it, order.expiresAtClockMs) }
        return TargetCallResult.Done(clock())
    }

    fun revoke(ranges: List<GrantedRange>): TargetCallResult {
        heldGrants = heldGrants.filterNot { it.range in ranges }
        return TargetCallResult.Done(clock())
    }

    /** Runs a request for [runMs], unless its limits or the missing grant forbid it. */
    suspend fun work(limits: WorkLimits, runMs: Long): WorkResult {
        val startMs = timer.nowMs()
        val runBefore = limits.runBeforeClockMs
        if (runBefore != null && clockMs > runBefore) return WorkResult.NotRun("late", isShed = false, clock())
        if (checksFences && limits.epoch != 0L && grants.none { it.epoch == limits.epoch }) {
            return WorkResult.NotRun("fence", isShed = false, clock())
        }
        delay(runMs)
        runs += RecordedRun(address, limits.requestId, limits.epoch, startMs, timer.nowMs())
        return WorkResult.Answered(HttpResponse(STATUS_OK), clock())
    }

    private companion object {
        const val LATENCY_MS = 1L
        const val CLOCK_START_MS = 1_000L
        const val STATUS_REFUSED = 412
        const val STATUS_OK = 200
    }
}

/** All targets of a test as seen by one router, which cannot reach the addresses for which [isDisconnected] is true. */
class FakeTargets(
    private val targets: Map<SocketAddress, FakeTarget>,
    private val isDisconnected: (SocketAddress) -> Boolean,
) : TargetApiClient,
    TargetHealthClient {
    override suspend fun grant(address: SocketAddress, request: GrantRequest, timeoutMs: Long): TargetCallResult =
        exchange(address, timeoutMs) { grant(request) } ?: TargetCallResult.NoAnswer("timeout")

    override suspend fun revoke(address: SocketAddress, ranges: List<GrantedRange>, timeoutMs: Long): TargetCallResult =
        exchange(address, timeoutMs) { revoke(ranges) } ?: TargetCallResult.NoAnswer("timeout")

    override suspend fun probe(address: SocketAddress, timeoutMs: Long): TargetCallResult =
        exchange(address, timeoutMs) { TargetCallResult.Done(clock()) } ?: TargetCallResult.NoAnswer("timeout")

    override suspend fun sendWork(address: SocketAddress, request: HttpRequest, limits: WorkLimits): WorkResult {
        val target = targets.getValue(address)
        val result = withTimeoutOrNull(limits.timeoutMs) {
            if (isDisconnected(address)) delay(Long.MAX_VALUE)
            target.execute { Unit }
            target.work(limits, WORK_MS)
        }
        return result ?: WorkResult.Unknown("timeout")
    }

    override suspend fun cancel(address: SocketAddress, requestId: String) = Unit

    override suspend fun load(address: SocketAddress, timeoutMs: Long): TargetLoadReport? = null

    private suspend fun <T> exchange(address: SocketAddress, timeoutMs: Long, order: FakeTarget.() -> T): T? = withTimeoutOrNull(
        timeoutMs,
    ) {
        if (isDisconnected(address)) delay(Long.MAX_VALUE)
        targets.getValue(address).execute(order)
    }

    private companion object {
        const val WORK_MS = 10L
    }
}
