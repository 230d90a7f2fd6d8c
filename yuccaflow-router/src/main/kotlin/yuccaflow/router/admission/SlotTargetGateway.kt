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

/** Targets without work for this long are left out of the load report. */
private const val RECENT_MS: Long = 60_000

private const val UNPROCESSABLE_CONTENT = 422

/** The header by which a caller marks repeats of one request. */
internal const val IDEMPOTENCY_KEY_HEADER: String = "Idempotency-Key"

/** Admits requests by the slots of their target and runs them there. Requests under way live in [scope], not in their caller. */
internal class SlotTargetGateway(
    private val state: StateSource,
    private val authority: WorkAuthority,
    private val sender: WorkSender,
    private val timer: TimerService,
    private val registry: MeterRegistry,
    private val tracing: RouterTracing,
    private val scope: CoroutineScope,
) : TargetGateway {
    private class LaneEntry(
        val spec: TargetSpec,
        val lane: TargetLane,
    ) {
        @Volatile var usedMs: Long = 0
    }

    private val lanes = ConcurrentHashMap<TargetId, LaneEntry>()
    private val window = IdempotencyWindow(timer)

    override suspend fun submit(request: ForwardRequest): ForwardAnswer {
        val config = state.state().value.config
        val target = config.targets[request.target]
        val service = config.services[request.service]
        if (target == null || service == null || target.service != service.name) {
            return ForwardAnswer(notRun("${request.target} is no target of ${request.service} here"), load = null)
        }
        val lane = laneOf(target)
        record(lane, request)
        val span = tracing.start("primary", request.requestId, request.traceparent)
        try {
            val outcome = run(Job(request, target, lane, deadlineOf(request, service), span.traceparent))
            span.tag("outcome", nameOf(outcome))
            return ForwardAnswer(outcome, loadOf(lane))
        } finally {
            span.end()
        }
    }

    override suspend fun awaitNoneRunning(target: TargetId, service: ServiceName, range: KeyRange) {
        lanes[target]?.lane?.running(service, range)?.forEach { it.over.await() }
    }

    override suspend fun awaitNoneRunning(target: TargetId) {
        lanes[target]?.lane?.running()?.forEach { it.over.await() }
    }

    override fun loads(): List<TargetLoad> {
        val table = state.state().value.table
        val oldestMs = timer.nowMs() - RECENT_MS
        return lanes.values.filter { it.usedMs >= oldestMs }.map { entry ->
            val ranges = table.ranges(entry.lane.service).filter { it.owner == entry.lane.target }.map { it.range }
            loadOf(entry.lane, entry.lane.rates.report(ranges))
        }
    }

    override fun restartRamp(target: TargetId) {
        lanes[target]?.lane?.restartRamp()
    }

    private class Job(
        val request: ForwardRequest,
        val target: TargetSpec,
        val lane: TargetLane,
        val deadlineMs: Long,
        val traceparent: String,
    )

    private suspend fun run(job: Job): ForwardOutcome {
        val request = job.request
        val key = request.headers.firstOrNull { it.name.equals(IDEMPOTENCY_KEY_HEADER, ignoreCase = true) }?.value
        if (request.idempotent || key == null) return attempts(job)
        return when (val remembered = window.begin(IdempotencyKey(request.service, key), fingerprintOf(request))) {
            is Remembered.First -> {
                scope.launch(start = CoroutineStart.UNDISPATCHED) { window.finish(remembered.entry, runFirst(job)) }
                outcomeOf(remembered.entry, job.deadlineMs)
            }

            is Remembered.Repeat -> outcomeOf(remembered.entry, job.deadlineMs)

            Remembered.Misused -> misused(request)

            Remembered.Full -> notRun("$WINDOW_ENTRIES requests with an $IDEMPOTENCY_KEY_HEADER are running", NotRunCause.OVERLOADED)
        }
    }

    private suspend fun runFirst(job: Job): ForwardOutcome =
        try {
            attempts(job)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            ForwardOutcome.Unknown("internal error: ${e.message}")
        }

    private suspend fun outcomeOf(entry: IdempotencyEntry, deadlineMs: Long): ForwardOutcome {
        withTimeoutOrNull(deadlineMs - timer.nowMs()) { entry.outcome.await() }
        return entry.known ?: ForwardOutcome.Unknown("the first request with this $IDEMPOTENCY_KEY_HEADER is still running")
    }

    /** An idempotent request is sent once more when the first attempt is lost early, as on a connection that has gone silent. */
    private suspend fun attempts(job: Job): ForwardOutcome {
        job.lane.repeats.deposit()
        val limitMs = if (job.request.idempotent) job.lane.attemptLimitMs() else null
        if (limitMs == null || limitMs > (job.deadlineMs - timer.nowMs()) / 2) return admitAndSend(job, limitMs = null)
        val first = admitAndSend(job, limitMs)
        if (first !is ForwardOutcome.Unknown || !job.lane.repeats.tryWithdraw()) return first
        return admitAndSend(job, limitMs = null).let { if (it is ForwardOutcome.NotRun) first else it }
    }

    /** Sends the request when it has a slot and a permit. It may run at the target for [limitMs] from then on, or until its deadline. */
    private suspend fun admitAndSend(job: Job, limitMs: Long?): ForwardOutcome {
        denialOf(permit(job.request))?.let { return it }
        val work = Work(job.request.service, job.request.key, job.deadlineMs)
        job.lane.enter(work)?.let { return refused(it) }
        // The slot counts as running before the permit is asked for: whoever stops permits and then waits for running requests misses none.
        val permit = permit(job.request)
        val denial = denialOf(permit) ?: lateness(job)
        if (denial != null) {
            job.lane.finish(work)
            return denial
        }
        permit as WorkPermit.Granted
        // Without a reading of its clock the target cannot be told to stop early.
        val shortMs = limitMs?.takeIf { permit.clock != null }
        val runUntilMs = if (shortMs == null) job.deadlineMs else minOf(job.deadlineMs, timer.nowMs() + shortMs)
        return send(job, work, WorkOrder(job.request, job.target, job.traceparent, runUntilMs, permit, shortMs != null))
    }

    private suspend fun send(job: Job, work: Work, order: WorkOrder): ForwardOutcome {
        val outcome = CompletableDeferred<ForwardOutcome>()
        scope.launch(start = CoroutineStart.UNDISPATCHED) { sender.send(order, job.lane, work, outcome) }
        try {
            return outcome.await()
        } catch (e: CancellationException) {
            if (job.request.idempotent && !outcome.isCompleted) scope.launch { sender.cancel(job.target, job.request.requestId) }
            throw e
        }
    }

    private fun permit(request: ForwardRequest): WorkPermit =
        authority.permit(request.target, request.service, request.key, request.idempotent)

    /** The refusal that follows from [permit], or null when the work may be sent now. */
    private fun denialOf(permit: WorkPermit): ForwardOutcome? =
        when (permit) {
            is WorkPermit.Denied -> notRun("denied: ${permit.reason}")
            is WorkPermit.Granted -> notRun("the permit has run out").takeIf { permit.validUntilMs <= timer.nowMs() }
        }

    private fun lateness(job: Job): ForwardOutcome? =
        notRun("past its deadline", NotRunCause.TOO_LATE).takeIf { timer.nowMs() >= job.deadlineMs }

    private fun refused(refusal: Refusal): ForwardOutcome =
        when (refusal) {
            Refusal.QUEUE_FULL -> notRun("the queue of the target is full", NotRunCause.OVERLOADED)
            Refusal.TOO_LATE -> notRun("cannot be served before the deadline", NotRunCause.TOO_LATE)
        }

    private fun notRun(reason: String, cause: NotRunCause = NotRunCause.NOT_RESPONSIBLE) = ForwardOutcome.NotRun(reason, cause)

    private fun misused(request: ForwardRequest): ForwardOutcome {
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

    private fun record(lane: TargetLane, request: ForwardRequest) {
        lanes[lane.target]?.usedMs = timer.nowMs()
        lane.rates.record(
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

    /** The lane of [target]. It stays the same when a note changes the target, since requests under way still count. */
    private fun laneOf(target: TargetSpec): TargetLane {
        val known = lanes[target.id]
        if (known != null && known.spec == target) return known.lane
        return lanes
            .compute(target.id) { _, current ->
                when {
                    current == null -> LaneEntry(target, newLane(target))
                    current.spec == target -> current
                    else -> LaneEntry(target, current.lane.also { it.reconfigure(target.slots) })
                }
            }!!
            .lane
    }

    private fun newLane(target: TargetSpec): TargetLane {
        val lane = TargetLane(target.id, target.service, target.slots, timer)
        val tags = listOf(
            io.micrometer.core.instrument.Tag
                .of("target", target.id.value),
        )
        registry.gauge(MetricNames.IN_FLIGHT, tags, lane) { it.inFlight.toDouble() }
        registry.gauge(MetricNames.QUEUED, tags, lane) { it.queued.toDouble() }
        registry.gauge(MetricNames.CAPACITY, tags, lane) { it.limit.toDouble() }
        return lane
    }

    private fun loadOf(lane: TargetLane, ranges: List<RangeLoad> = emptyList()) =
        TargetLoad(
            target = lane.target,
            service = lane.service,
            inFlight = lane.inFlight,
            queued = lane.queued,
            capacity = lane.limit.toDouble(),
            serviceTimeMs = lane.serviceTimeMs,
            requestsPerSecond = lane.rates.total(),
            reachable = lane.isReachable,
            ranges = ranges,
        )

    private fun nameOf(outcome: ForwardOutcome): String =
        when (outcome) {
            is ForwardOutcome.Answered -> "answered"
            is ForwardOutcome.NotRun -> "not-run: ${outcome.reason}"
            is ForwardOutcome.Unknown -> "unknown: ${outcome.reason}"
        }
}
