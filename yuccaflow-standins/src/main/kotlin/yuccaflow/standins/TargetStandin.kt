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

/** One target: checks orders, runs work for the drawn service time, and misbehaves as its switches say. */
internal class TargetStandin(
    val spec: TargetSpec,
    private val book: RunBook,
    seed: Long,
) : HttpHandler {
    private val serviceTimes = spec.serviceTimes(RandomSource.XO_RO_SHI_RO_128_PP.create(seed))
    private val switches = Switches(TargetSwitches(), TargetSwitches.serializer())
    private val frozen = MutableStateFlow(false)
    private val openConnections = Collections.synchronizedMap(WeakHashMap<Job, Unit>())
    private val silentConnections = Collections.synchronizedMap(WeakHashMap<Job, Unit>())

    @Volatile
    private var instance = TargetInstance(spec, spec.startsCold)

    @Volatile
    private var earlierAnswer: Pair<String, ByteArray>? = null

    val now: TargetSwitches get() = switches.now

    /** Applies a patch of the switches; switches that act once are cleared again. */
    fun patch(fields: kotlinx.serialization.json.JsonObject): TargetSwitches {
        val wasDown = switches.now.down
        val set = switches.patch(fields)
        if (set.silent) silentConnections.putAll(openConnections)
        if (set.restart || (wasDown && !set.down)) instance = TargetInstance(spec, cold = true)
        if (set.cold) instance.turnCold()
        frozen.value = set.frozen && !set.down
        return switches.update { it.copy(silent = false, restart = false, cold = false) }
    }

    override suspend fun handle(request: HttpRequest): HttpResponse {
        val connection = currentCoroutineContext().job
        openConnections[connection] = Unit
        val arrivedAt = instance
        // A frozen process that wakes still reads what callers sent before they gave up.
        withContext(NonCancellable) { frozen.first { !it } }
        if (connection in silentConnections) awaitCancellation()
        val response = answeringMistakes { answer(request, arrivedAt) }
        frozen.first { !it }
        if (connection in silentConnections || arrivedAt !== instance) awaitCancellation()
        return response
    }

    private suspend fun answer(request: HttpRequest, at: TargetInstance): HttpResponse {
        val path = request.path
        return when {
            path == "/yuccaflow/grants" -> grant(request, at)

            path == "/yuccaflow/revoke" -> {
                at.grants.revoke(StandinJson.decodeFromString<GrantBody>(request.body.decodeToString()).ranges)
                reply(request, at, OK, "{}")
            }

            path.startsWith("/yuccaflow/cancel/") -> cancel(request, at)

            path == "/yuccaflow/health" -> {
                delay(PROBE_MS)
                reply(request, at, OK, """{"status":"up"}""")
            }

            path == "/yuccaflow/load" ->
                reply(request, at, OK, """{"in_flight":${at.inFlight(now.loadLateMs)},"slots":${spec.slots}}""")

            else -> work(request, at)
        }
    }

    private fun grant(request: HttpRequest, at: TargetInstance): HttpResponse {
        val order = StandinJson.decodeFromString<GrantBody>(request.body.decodeToString())
        val refusal = when {
            !spec.checksFences -> null
            order.instance != at.id -> "instance ${order.instance}, expected ${at.id}"
            else -> at.grants.grant(order, at.clockMs())
        }
        return if (refusal == null) reply(request, at, OK, "{}") else refuse(request, at, PRECONDITION_FAILED, refusal)
    }

    private fun cancel(request: HttpRequest, at: TargetInstance): HttpResponse {
        at.running[request.path.removePrefix("/yuccaflow/cancel/")]?.let { work ->
            work.cancel()
            book.count(spec.name) { it.copy(cancelled = it.cancelled + 1) }
        }
        return reply(request, at, OK, "{}")
    }

    private suspend fun work(request: HttpRequest, at: TargetInstance): HttpResponse {
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
        val clock = at.clockMs()
        if (runBefore != null && clock >= runBefore) {
            book.count(spec.name) { it.copy(expired = it.expired + 1) }
            return refuse(request, at, REQUEST_TIMEOUT, "past run-before by ${clock - runBefore} ms")
        }
        if (spec.checksFences) {
            at.grants.check(spec.service, key, epoch, primaryEpoch, clock)?.let { reason ->
                book.count(spec.name) { it.copy(fenced = it.fenced + 1) }
                return refuse(request, at, PRECONDITION_FAILED, reason)
            }
        }
        val taken = at.take()
        if (taken == null) {
            book.count(spec.name) { it.copy(shed = it.shed + 1) }
            return refuse(request, at, UNAVAILABLE, "all ${at.slots()} slots are taken")
        }
        book.count(spec.name) { it.copy(runs = it.runs + 1, mostInFlight = maxOf(it.mostInFlight, taken)) }
        return run(request, at, key, epoch, runBefore)
    }

    /** Runs admitted work. It takes effect at its start and ends at its deadline at the latest. */
    private suspend fun run(request: HttpRequest, at: TargetInstance, key: String?, epoch: Long, runBefore: Long?): HttpResponse {
        val id = request.headers["X-Request-Id"].orEmpty()
        val startedMs = System.nanoTime() / NANOS_PER_MS
        if (request.method == "POST") book.ran(request.headers["Idempotency-Key"] ?: id)
        var finished = false
        val job = Job()
        at.running[id] = job
        try {
            val budgetMs = if (runBefore == null) Long.MAX_VALUE else runBefore - at.clockMs()
            val ran = withTimeoutOrNull(budgetMs) { runFor(serviceTimes() * now.slow, job) }
            val inTime = runBefore == null || at.clockMs() <= runBefore
            finished = ran == true && inTime
            if (ran == null || !inTime) book.count(spec.name) { it.copy(stopped = it.stopped + 1) }
        } finally {
            at.running.remove(id)
            at.free(finished)
            if (key != null) {
                val endedMs = System.nanoTime() / NANOS_PER_MS
                val latestMs = if (runBefore == null) endedMs else endedMs - maxOf(0, at.clockMs() - runBefore)
                book.owned(spec.service, key, spec.name, epoch, startedMs, maxOf(startedMs, latestMs))
            }
        }
        delay(now.answerDelayMs)
        if (!finished) return reply(request, at, GATEWAY_TIMEOUT, """{"error":"stopped"}""", "Yuccaflow-Outcome" to "unknown")
        return crossedOrOwn(request, at, """{"target":"${spec.name}","key":"${key.orEmpty()}","request_id":"$id"}""")
    }

    /** Returns true when the time passed, false when the work was cancelled. */
    private suspend fun runFor(serviceMs: Double, job: Job): Boolean {
        val cancelled = withTimeoutOrNull(maxOf(1L, Math.round(serviceMs))) { job.join() } != null
        frozen.first { !it }
        return !cancelled
    }

    private fun crossedOrOwn(request: HttpRequest, at: TargetInstance, body: String): HttpResponse {
        val own = reply(request, at, OK, body)
        val other = earlierAnswer
        earlierAnswer = request.headers["X-Request-Id"].orEmpty() to own.body
        if (other == null || now.crossedAnswers == 0) return own
        switches.update { it.copy(crossedAnswers = maxOf(0, it.crossedAnswers - 1)) }
        return HttpResponse(OK, own.headers.with("X-Request-Id", other.first), other.second)
    }

    private fun refuse(request: HttpRequest, at: TargetInstance, status: Int, reason: String): HttpResponse =
        reply(request, at, status, StandinJson.encodeToString(mapOf("error" to reason)), "Yuccaflow-Outcome" to "not-run")

    private fun reply(
        request: HttpRequest,
        at: TargetInstance,
        status: Int,
        body: String,
        vararg more: Pair<String, String>,
    ): HttpResponse {
        val clock = headersOf("Yuccaflow-Clock-Ms" to at.clockMs().toString(), "Yuccaflow-Instance" to at.id, *more)
        val id = request.headers["X-Request-Id"]
        return jsonResponse(status, body, HttpHeaderList(clock.lines).let { if (id == null) it else it.with("X-Request-Id", id) })
    }
}

/** Time that a target takes to answer a probe. */
private const val PROBE_MS = 5L
private const val GATEWAY_TIMEOUT = 504
