package yuccaflow.standins

import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.job
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.commons.rng.simple.RandomSource
import yuccaflow.http.HttpHandler
import yuccaflow.http.HttpHeaderList
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.headersOf
import java.util.Collections
import java.util.WeakHashMap

/** A simulated target: checks grants and fencing tokens, answers requests after a random service time and injects faults. */
internal class TargetStandin(
    val spec: TargetSpec,
    private val runRecorder: RunRecorder,
    seed: Long,
) : HttpHandler {
    private val serviceTimes = spec.serviceTimes(RandomSource.XO_RO_SHI_RO_128_PP.create(seed))
    private val switches = Switches(TargetSwitches(), TargetSwitches.serializer())
    private val frozen = MutableStateFlow(false)
    private val openConnections = Collections.synchronizedMap(WeakHashMap<Job, Unit>())
    private val silentConnections = Collections.synchronizedMap(WeakHashMap<Job, Unit>())

    @Volatile
    private var currentInstance = TargetInstance(spec, spec.startsCold)

    @Volatile
    private var previousResponse: Pair<String, ByteArray>? = null

    val currentSwitches: TargetSwitches get() = switches.current

    /** Applies a patch to the switches and clears the one-shot ones, which take effect here. */
    fun patch(fields: kotlinx.serialization.json.JsonObject): TargetSwitches {
        val wasDown = switches.current.down
        val updated = switches.patch(fields)
        if (updated.silent) silentConnections.putAll(openConnections)
        if (updated.restart || (wasDown && !updated.down)) currentInstance = TargetInstance(spec, startsCold = true)
        if (updated.cold) currentInstance.becomeCold()
        frozen.value = updated.frozen && !updated.down
        return switches.update { it.copy(silent = false, restart = false, cold = false) }
    }

    override suspend fun handle(request: HttpRequest): HttpResponse {
        val connection = currentCoroutineContext().job
        openConnections[connection] = Unit
        val instance = currentInstance
        // A frozen process that resumes still reads requests whose callers have timed out, so cancellation must not end the wait.
        withContext(NonCancellable) { frozen.first { !it } }
        if (connection in silentConnections) awaitCancellation()
        val response = rejectingMalformedRequests { answer(request, instance) }
        frozen.first { !it }
        if (connection in silentConnections || instance !== currentInstance) awaitCancellation()
        return response
    }

    private suspend fun answer(request: HttpRequest, instance: TargetInstance): HttpResponse {
        val path = request.path
        return when {
            path == "/yuccaflow/grants" -> grant(request, instance)

            path == "/yuccaflow/revoke" -> {
                instance.grants.revoke(StandinJson.decodeFromString<GrantRequest>(request.body.decodeToString()).ranges)
                reply(request, instance, OK, "{}")
            }

            path.startsWith("/yuccaflow/cancel/") -> cancel(request, instance)

            path == "/yuccaflow/health" -> {
                delay(HEALTH_RESPONSE_MS)
                reply(request, instance, OK, """{"status":"up"}""")
            }

            path == "/yuccaflow/load" ->
                reply(
                    request,
                    instance,
                    OK,
                    """{"in_flight":${instance.inFlightBefore(currentSwitches.loadLateMs)},"slots":${spec.slots}}""",
                )

            else -> work(request, instance)
        }
    }

    private fun grant(request: HttpRequest, instance: TargetInstance): HttpResponse {
        val grantRequest = StandinJson.decodeFromString<GrantRequest>(request.body.decodeToString())
        val refusal = when {
            !spec.checksFences -> null
            grantRequest.instance != instance.id -> "instance ${grantRequest.instance}, expected ${instance.id}"
            else -> instance.grants.accept(grantRequest, instance.clockMs())
        }
        return if (refusal == null) reply(request, instance, OK, "{}") else refuse(request, instance, PRECONDITION_FAILED, refusal)
    }

    private fun cancel(request: HttpRequest, instance: TargetInstance): HttpResponse {
        instance.running[request.path.removePrefix("/yuccaflow/cancel/")]?.let { work ->
            work.cancel()
            runRecorder.updateCounts(spec.name) { it.copy(cancelled = it.cancelled + 1) }
        }
        return reply(request, instance, OK, "{}")
    }

    private suspend fun work(request: HttpRequest, instance: TargetInstance): HttpResponse {
        val key = if (spec.keySegment < 0) {
            null
        } else {
            request.path
                .trim('/')
                .split('/')
                .getOrElse(spec.keySegment) { "" }
        }
        val epoch = request.headers["Yuccaflow-Epoch"]?.toLongOrNull() ?: 0
        val primaryEpoch = request.headers["Yuccaflow-Primary-Epoch"]?.toLongOrNull() ?: 0
        val runBefore = request.headers["Yuccaflow-Run-Before"]?.toLongOrNull()
        val clock = instance.clockMs()
        if (runBefore != null && clock >= runBefore) {
            runRecorder.updateCounts(spec.name) { it.copy(expired = it.expired + 1) }
            return refuse(request, instance, REQUEST_TIMEOUT, "past run-before by ${clock - runBefore} ms")
        }
        if (spec.checksFences) {
            instance.grants.check(spec.service, key, epoch, primaryEpoch, clock)?.let { reason ->
                runRecorder.updateCounts(spec.name) { it.copy(fenced = it.fenced + 1) }
                return refuse(request, instance, PRECONDITION_FAILED, reason)
            }
        }
        val inFlight = instance.tryAcquireSlot()
        if (inFlight == null) {
            runRecorder.updateCounts(spec.name) { it.copy(shed = it.shed + 1) }
            return refuse(request, instance, UNAVAILABLE, "all ${instance.availableSlots()} slots are taken")
        }
        runRecorder.updateCounts(spec.name) { it.copy(runs = it.runs + 1, mostInFlight = maxOf(it.mostInFlight, inFlight)) }
        return run(request, instance, key, epoch, runBefore)
    }

    /** Executes an admitted request, which takes effect at its start and ends no later than [runBefore] on the clock of the instance. */
    private suspend fun run(request: HttpRequest, instance: TargetInstance, key: String?, epoch: Long, runBefore: Long?): HttpResponse {
        val id = request.headers["X-Request-Id"].orEmpty()
        val startedMs = System.nanoTime() / NANOS_PER_MS
        if (request.method == "POST") runRecorder.recordRun(request.headers["Idempotency-Key"] ?: id)
        var isFinished = false
        val job = Job()
        instance.running[id] = job
        try {
            val budgetMs = if (runBefore == null) Long.MAX_VALUE else runBefore - instance.clockMs()
            val completed = withTimeoutOrNull(budgetMs) { simulateWork(serviceTimes() * currentSwitches.slow, job) }
            val isInTime = runBefore == null || instance.clockMs() <= runBefore
            isFinished = completed == true && isInTime
            if (completed == null || !isInTime) runRecorder.updateCounts(spec.name) { it.copy(stopped = it.stopped + 1) }
        } finally {
            instance.running.remove(id)
            instance.releaseSlot(isFinished)
            if (key != null) {
                val endedMs = System.nanoTime() / NANOS_PER_MS
                val latestMs = if (runBefore == null) endedMs else endedMs - maxOf(0, instance.clockMs() - runBefore)
                runRecorder.recordOwnership(spec.service, key, spec.name, epoch, startedMs, maxOf(startedMs, latestMs))
            }
        }
        delay(currentSwitches.answerDelayMs)
        if (!isFinished) return reply(request, instance, GATEWAY_TIMEOUT, """{"error":"stopped"}""", "Yuccaflow-Outcome" to "unknown")
        return possiblyCrossedResponse(request, instance, """{"target":"${spec.name}","key":"${key.orEmpty()}","request_id":"$id"}""")
    }

    /** Waits for the service time. Returns false when the request was cancelled. */
    private suspend fun simulateWork(serviceMs: Double, job: Job): Boolean {
        val cancelled = withTimeoutOrNull(maxOf(1L, Math.round(serviceMs))) { job.join() } != null
        frozen.first { !it }
        return !cancelled
    }

    private fun possiblyCrossedResponse(request: HttpRequest, instance: TargetInstance, body: String): HttpResponse {
        val own = reply(request, instance, OK, body)
        val previous = previousResponse
        previousResponse = request.headers["X-Request-Id"].orEmpty() to own.body
        if (previous == null || currentSwitches.crossedAnswers == 0) return own
        switches.update { it.copy(crossedAnswers = maxOf(0, it.crossedAnswers - 1)) }
        return HttpResponse(OK, own.headers.with("X-Request-Id", previous.first), previous.second)
    }

    private fun refuse(request: HttpRequest, instance: TargetInstance, status: Int, reason: String): HttpResponse =
        reply(request, instance, status, StandinJson.encodeToString(mapOf("error" to reason)), "Yuccaflow-Outcome" to "not-run")

    private fun reply(
        request: HttpRequest,
        instance: TargetInstance,
        status: Int,
        body: String,
        vararg extraHeaders: Pair<String, String>,
    ): HttpResponse {
        val baseHeaders =
            headersOf("Yuccaflow-Clock-Ms" to instance.clockMs().toString(), "Yuccaflow-Instance" to instance.id, *extraHeaders)
        val id = request.headers["X-Request-Id"]
        return jsonResponse(status, body, HttpHeaderList(baseHeaders.lines).let { if (id == null) it else it.with("X-Request-Id", id) })
    }
}

/** Response time of a health probe. */
private const val HEALTH_RESPONSE_MS = 5L
private const val GATEWAY_TIMEOUT = 504
