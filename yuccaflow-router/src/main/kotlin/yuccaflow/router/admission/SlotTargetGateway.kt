package yuccaflow.router.admission

import com.google.common.hash.HashCode
import com.google.common.hash.Hashing
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Tag
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import yuccaflow.base.TimerService
import yuccaflow.control.KeyRange
import yuccaflow.control.RangeLoad
import yuccaflow.control.ServiceName
import yuccaflow.control.ServiceSpec
import yuccaflow.control.TargetId
import yuccaflow.control.TargetLoad
import yuccaflow.control.TargetSpec
import yuccaflow.router.StateSource
import yuccaflow.router.ownership.WorkAuthority
import yuccaflow.router.ownership.WorkPermit
import yuccaflow.router.peer.ForwardOutcome
import yuccaflow.router.peer.HeaderLine
import yuccaflow.router.peer.NotRunCause
import yuccaflow.router.peer.PeerMessage.ForwardAnswer
import yuccaflow.router.peer.PeerMessage.ForwardRequest
import yuccaflow.router.telemetry.MetricNames
import yuccaflow.router.telemetry.RouterTracing
import java.util.concurrent.ConcurrentHashMap

/** Targets that got no request for this long are left out of the load report. */
private const val LOAD_REPORT_WINDOW_MS: Long = 60_000

private const val UNPROCESSABLE_CONTENT = 422

/** Request header by which a caller identifies repeats of the same request. */
internal const val IDEMPOTENCY_KEY_HEADER: String = "Idempotency-Key"

/**
 * Admits requests by the slots of their target and runs them there. A request that was sent runs in [scope], so that it outlives the
 * cancellation of its caller.
 */
internal class SlotTargetGateway(
    private val state: StateSource,
    private val authority: WorkAuthority,
    private val sender: WorkSender,
    private val timer: TimerService,
    private val registry: MeterRegistry,
    private val tracing: RouterTracing,
    private val scope: CoroutineScope,
) : TargetGateway {
    private class LimiterEntry(
        val spec: TargetSpec,
        val limiter: TargetLimiter,
    ) {
        @Volatile var lastUsedMs: Long = 0
    }

    private val limiters = ConcurrentHashMap<TargetId, LimiterEntry>()
    private val idempotencyWindow = IdempotencyWindow(timer)

    override suspend fun submit(request: ForwardRequest): ForwardAnswer {
        val config = state.state().value.config
        val target = config.targets[request.target]
        val service = config.services[request.service]
        if (target == null || service == null || target.service != service.name) {
            return ForwardAnswer(notRun("${request.target} is no target of ${request.service} here"), load = null)
        }
        val limiter = limiterOf(target)
        recordRequest(limiter, request)
        val span = tracing.start("primary", request.requestId, request.traceparent)
        try {
            val outcome = runDeduplicated(Execution(request, target, limiter, deadlineOf(request, service), span.traceparent))
            span.tag("outcome", describe(outcome))
            return ForwardAnswer(outcome, loadOf(limiter))
        } finally {
            span.end()
        }
    }

    override suspend fun awaitNoneRunning(target: TargetId, service: ServiceName, range: KeyRange) {
        limiters[target]?.limiter?.running(service, range)?.forEach { it.ended.await() }
    }

    override suspend fun awaitNoneRunning(target: TargetId) {
        limiters[target]?.limiter?.running()?.forEach { it.ended.await() }
    }

    override fun loads(): List<TargetLoad> {
        val table = state.state().value.table
        val oldestMs = timer.nowMs() - LOAD_REPORT_WINDOW_MS
        return limiters.values.filter { it.lastUsedMs >= oldestMs }.map { entry ->
            val ranges = table.ranges(entry.limiter.service).filter { it.owner == entry.limiter.target }.map { it.range }
            loadOf(entry.limiter, entry.limiter.rates.report(ranges))
        }
    }

    override fun restartSlowStart(target: TargetId) {
        limiters[target]?.limiter?.restartSlowStart()
    }

    private class Execution(
        val request: ForwardRequest,
        val target: TargetSpec,
        val limiter: TargetLimiter,
        val deadlineMs: Long,
        val traceparent: String,
    )

    /** Runs the request, or awaits the outcome of the first one with the same idempotency key. */
    private suspend fun runDeduplicated(execution: Execution): ForwardOutcome {
        val request = execution.request
        val key = request.headers.firstOrNull { it.name.equals(IDEMPOTENCY_KEY_HEADER, ignoreCase = true) }?.value
        if (request.idempotent || key == null) return runWithRetry(execution)
        return when (val lookup = idempotencyWindow.begin(IdempotencyKey(request.service, key), fingerprintOf(request))) {
            is IdempotencyLookup.First -> {
                scope.launch(start = CoroutineStart.UNDISPATCHED) { idempotencyWindow.finish(lookup.entry, runOrUnknown(execution)) }
                awaitOutcome(lookup.entry, execution.deadlineMs)
            }

            is IdempotencyLookup.Repeat -> awaitOutcome(lookup.entry, execution.deadlineMs)

            IdempotencyLookup.KeyReused -> keyReusedAnswer(request)

            IdempotencyLookup.WindowFull ->
                notRun("$MAX_IDEMPOTENCY_ENTRIES requests with an $IDEMPOTENCY_KEY_HEADER are running", NotRunCause.OVERLOADED)
        }
    }

    /** Runs the request. An unexpected exception becomes [ForwardOutcome.Unknown], so that the idempotency entry gets an outcome. */
    private suspend fun runOrUnknown(execution: Execution): ForwardOutcome =
        try {
            runWithRetry(execution)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            ForwardOutcome.Unknown("internal error: ${e.message}")
        }

    private suspend fun awaitOutcome(entry: IdempotencyEntry, deadlineMs: Long): ForwardOutcome {
        withTimeoutOrNull(deadlineMs - timer.nowMs()) { entry.completed.await() }
        return entry.result ?: ForwardOutcome.Unknown("the first request with this $IDEMPOTENCY_KEY_HEADER is still running")
    }

    /**
     * Runs the request. An idempotent one is retried once, within the retry budget, if its first attempt ends without a known outcome,
     * for example because no answer arrived within the attempt timeout.
     */
    private suspend fun runWithRetry(execution: Execution): ForwardOutcome {
        execution.limiter.retryBudget.deposit()
        val timeoutMs = if (execution.request.idempotent) execution.limiter.attemptTimeoutMs() else null
        if (timeoutMs == null || timeoutMs > (execution.deadlineMs - timer.nowMs()) / 2) return admitAndSend(execution, timeoutMs = null)
        val first = admitAndSend(execution, timeoutMs)
        if (first !is ForwardOutcome.Unknown || !execution.limiter.retryBudget.tryWithdraw()) return first
        return admitAndSend(execution, timeoutMs = null).let { if (it is ForwardOutcome.NotRun) first else it }
    }

    /** Sends the request once it has a slot and a permit. It may then run at the target for [timeoutMs], or until its deadline if null. */
    private suspend fun admitAndSend(execution: Execution, timeoutMs: Long?): ForwardOutcome {
        denialOf(permit(execution.request))?.let { return it }
        val tracked = TrackedRequest(execution.request.service, execution.request.key, execution.deadlineMs)
        execution.limiter.acquire(tracked)?.let { return refused(it) }
        // The slot is taken before the permit is checked, so that awaitNoneRunning misses no request after permits have been denied.
        val permit = permit(execution.request)
        val denial = denialOf(permit) ?: deadlineRefusal(execution)
        if (denial != null) {
            execution.limiter.release(tracked)
            return denial
        }
        permit as WorkPermit.Granted
        // Without a reading of its clock, the target cannot be given a time at which to stop.
        val attemptTimeoutMs = timeoutMs?.takeIf { permit.clock != null }
        val runUntilMs =
            if (attemptTimeoutMs == null) execution.deadlineMs else minOf(execution.deadlineMs, timer.nowMs() + attemptTimeoutMs)
        return send(
            execution,
            tracked,
            PermittedAttempt(execution.request, execution.target, execution.traceparent, runUntilMs, permit, attemptTimeoutMs != null),
        )
    }

    private suspend fun send(execution: Execution, tracked: TrackedRequest, attempt: PermittedAttempt): ForwardOutcome {
        val outcome = CompletableDeferred<ForwardOutcome>()
        scope.launch(start = CoroutineStart.UNDISPATCHED) { sender.send(attempt, execution.limiter, tracked, outcome) }
        try {
            return outcome.await()
        } catch (e: CancellationException) {
            if (execution.request.idempotent && !outcome.isCompleted) {
                scope.launch { sender.cancel(execution.target, execution.request.requestId) }
            }
            throw e
        }
    }

    private fun permit(request: ForwardRequest): WorkPermit =
        authority.permit(request.target, request.service, request.key, request.idempotent)

    /** Returns the outcome for a [permit] that does not allow sending now, or null if it does. */
    private fun denialOf(permit: WorkPermit): ForwardOutcome? =
        when (permit) {
            is WorkPermit.Denied -> notRun("denied: ${permit.reason}")
            is WorkPermit.Granted -> notRun("the permit has run out").takeIf { permit.validUntilMs <= timer.nowMs() }
        }

    private fun deadlineRefusal(execution: Execution): ForwardOutcome? =
        notRun("past its deadline", NotRunCause.TOO_LATE).takeIf { timer.nowMs() >= execution.deadlineMs }

    private fun refused(refusal: RefusalReason): ForwardOutcome =
        when (refusal) {
            RefusalReason.QUEUE_FULL -> notRun("the queue of the target is full", NotRunCause.OVERLOADED)
            RefusalReason.TOO_LATE -> notRun("cannot be served before the deadline", NotRunCause.TOO_LATE)
        }

    private fun notRun(reason: String, cause: NotRunCause = NotRunCause.NOT_RESPONSIBLE) = ForwardOutcome.NotRun(reason, cause)

    private fun keyReusedAnswer(request: ForwardRequest): ForwardOutcome {
        val body = buildJsonObject {
            put("error", "not-run")
            put("reason", "this $IDEMPOTENCY_KEY_HEADER was used for another request")
            put("request_id", request.requestId)
        }
        val headers = listOf(HeaderLine("Content-Type", "application/json"), HeaderLine("Yuccaflow-Outcome", "not-run"))
        return ForwardOutcome.Answered(UNPROCESSABLE_CONTENT, headers, body.toString().encodeToByteArray())
    }

    private fun fingerprintOf(request: ForwardRequest): HashCode =
        Hashing
            .sha256()
            .newHasher()
            .putUnencodedChars(request.method)
            .putChar(' ')
            .putUnencodedChars(request.requestTarget)
            .putChar(' ')
            .putBytes(request.body)
            .hash()

    private fun deadlineOf(request: ForwardRequest, service: ServiceSpec): Long =
        timer.nowMs() + request.remainingMs.coerceAtMost(service.runLimitMs)

    private fun recordRequest(limiter: TargetLimiter, request: ForwardRequest) {
        limiters[limiter.target]?.lastUsedMs = timer.nowMs()
        limiter.rates.record(
            request.key?.let {
                state
                    .state()
                    .value.table
                    .rangeOf(request.service, it)
                    ?.range
            },
            request.key,
        )
    }

    /** Returns the limiter of [target]. A configuration change of the target keeps it, since requests in flight still take slots. */
    private fun limiterOf(target: TargetSpec): TargetLimiter {
        val known = limiters[target.id]
        if (known != null && known.spec == target) return known.limiter
        return limiters
            .compute(target.id) { _, current ->
                when {
                    current == null -> LimiterEntry(target, newLimiter(target))
                    current.spec == target -> current
                    else -> LimiterEntry(target, current.limiter.also { it.reconfigure(target.slots) })
                }
            }!!
            .limiter
    }

    private fun newLimiter(target: TargetSpec): TargetLimiter {
        val limiter = TargetLimiter(target.id, target.service, target.slots, timer)
        val tags = listOf(
            io.micrometer.core.instrument.Tag
                .of("target", target.id.value),
        )
        registry.gauge(MetricNames.IN_FLIGHT, tags, limiter) { it.inFlight.toDouble() }
        registry.gauge(MetricNames.QUEUED, tags, limiter) { it.queued.toDouble() }
        registry.gauge(MetricNames.CAPACITY, tags, limiter) { it.concurrencyLimit.toDouble() }
        return limiter
    }

    private fun loadOf(limiter: TargetLimiter, ranges: List<RangeLoad> = emptyList()) =
        TargetLoad(
            target = limiter.target,
            service = limiter.service,
            inFlight = limiter.inFlight,
            queued = limiter.queued,
            capacity = limiter.concurrencyLimit.toDouble(),
            serviceTimeMs = limiter.serviceTimeMs,
            requestsPerSecond = limiter.rates.totalRequestsPerSecond(),
            isReachable = limiter.isReachable,
            ranges = ranges,
        )

    private fun describe(outcome: ForwardOutcome): String =
        when (outcome) {
            is ForwardOutcome.Answered -> "answered"
            is ForwardOutcome.NotRun -> "not-run: ${outcome.reason}"
            is ForwardOutcome.Unknown -> "unknown: ${outcome.reason}"
        }
}
