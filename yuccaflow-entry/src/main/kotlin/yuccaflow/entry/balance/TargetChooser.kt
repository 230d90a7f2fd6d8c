package yuccaflow.entry.balance

import yuccaflow.base.TimerService
import yuccaflow.entry.admission.AdmissionControl
import yuccaflow.entry.admission.AdmissionDecision
import yuccaflow.entry.admission.AdmissionResult
import yuccaflow.entry.admission.AnswerEstimate
import yuccaflow.entry.admission.ExpectedCapacity
import yuccaflow.entry.config.Route
import yuccaflow.entry.config.ServiceConfig
import yuccaflow.entry.directory.TargetDirectory
import kotlin.math.max
import kotlin.random.Random

/** Result of choosing a target. */
internal sealed interface TargetChoice {
    /**
     * [target] takes the request and is expected to answer within [expectedMs]. [decision] is null if admission control is not in force.
     */
    class Chosen(
        val target: TargetState,
        val expectedMs: Double,
        val decision: AdmissionDecision? = null,
    ) : TargetChoice

    /**
     * No target can take the request now. The caller may retry after [retryAfterMs]. [decision] is null if admission control is not the
     * cause; otherwise [retryAfterMs] is a place that has been reserved for the caller.
     */
    class None(
        val reason: String,
        val retryAfterMs: Long,
        val decision: AdmissionDecision? = null,
    ) : TargetChoice

    companion object {
        /** Callers return somewhat later than in [restMs], at which a pause ends, because the time to return varies in both directions. */
        fun paused(reason: String, restMs: Long): None = None(reason, restMs + restMs / PAUSE_MARGIN_DIVISOR + 1)

        private const val PAUSE_MARGIN_DIVISOR = 3
    }
}

/**
 * The request-specific input of a choice.
 *
 * @property excluded targets that have been tried for the request.
 * @property remainingMs time until the deadline of the request.
 * @property hasLoadControl whether the routing table enables load control.
 */
internal class ChoiceContext(
    val route: Route,
    val serviceConfig: ServiceConfig,
    val excluded: Set<TargetState>,
    val remainingMs: Long,
    val requestId: String = "",
    val hasLoadControl: Boolean = false,
) {
    /** Returns the input after the request has waited for [elapsedMs]. Without load control a wait does not count. */
    fun afterWait(elapsedMs: Long): ChoiceContext =
        if (hasLoadControl) ChoiceContext(route, serviceConfig, excluded, remainingMs - elapsedMs, requestId, true) else this
}

/**
 * Refused callers that wait for the same capacity.
 *
 * @property targets number of targets whose capacity it is.
 */
internal data class RetryQueue(
    val name: String,
    val targets: Int,
)

/**
 * Chooses a target for services without key ranges: the one with the lowest expected response time, with penalties for targets in other
 * zones and for targets with recent failures.
 *
 * Under load control, it chooses the best target of a random sample and consults [admission]. If all routers chose the best of all targets,
 * it would become the worst before its next load report.
 */
internal class TargetChooser(
    private val directory: TargetDirectory,
    private val zone: String,
    private val timer: TimerService,
    private val coldStartLimiter: ColdStartLimiter,
    private val random: Random = Random.Default,
    private val admission: AdmissionControl = AdmissionControl(),
) {
    /** Chooses the best eligible target and takes a cold-start token for it if it is cold. */
    fun choose(context: ChoiceContext): TargetChoice {
        val nowMs = timer.nowMs()
        val available = directory.ofService(context.serviceConfig.name).filter { directory.acceptsNewWork(it) }
        if (available.isEmpty()) return TargetChoice.None("the service has no target", NO_TARGET_RETRY_AFTER_MS)
        val shortestPauseMs = available.minOf { it.pauseRestMs(nowMs) }
        if (shortestPauseMs > 0) return TargetChoice.paused("all targets of the service have asked for a pause", shortestPauseMs)
        val eligible = available.filter {
            it !in context.excluded &&
                it.suspectedUntilMs <= nowMs &&
                it.pauseAllowsRequest(nowMs) &&
                it.rampAllowsRequest(isOnlyOwner = false) &&
                coldStartLimiter.wouldAdmit(it, context.serviceConfig, nowMs)
        }
        val best = if (context.hasLoadControl) bestOfSample(eligible, context, nowMs) else bestOf(eligible, context, nowMs)
        if (best == null) return TargetChoice.None(NO_ELIGIBLE_TARGET, NO_TARGET_RETRY_AFTER_MS)
        return admit(best, context, nowMs, serviceQueue(context, eligible.size))
    }

    private fun bestOf(eligible: List<TargetState>, context: ChoiceContext, nowMs: Long): TargetState? =
        eligible.minByOrNull { score(it, context, nowMs) }

    /** Returns the best target of a sample, or of the rest if none of the sample admits the request, or null if none is [eligible]. */
    private fun bestOfSample(eligible: List<TargetState>, context: ChoiceContext, nowMs: Long): TargetState? {
        val sampled = sample(eligible)
        val best = bestOf(sampled, context, nowMs) ?: return null
        if (decide(best, context, nowMs).result.isAdmitted) return best
        return bestOf(eligible - sampled.toSet(), context, nowMs) ?: best
    }

    /**
     * Returns some random targets: at least [MIN_SAMPLE] if there are so many. Half of them are from this zone if possible, because a
     * sample without a target of this zone would cause traffic between zones without need.
     */
    private fun sample(eligible: List<TargetState>): List<TargetState> {
        val shuffled = eligible.shuffled(random)
        val (near, far) = shuffled.partition { it.entry.zone == zone }
        val chosen = near.take(SAMPLED_PER_SIDE) + far.take(SAMPLED_PER_SIDE)
        val missing = MIN_SAMPLE - chosen.size
        return if (missing <= 0) chosen else chosen + (near.drop(SAMPLED_PER_SIDE) + far.drop(SAMPLED_PER_SIDE)).take(missing)
    }

    /** Returns whether [target] may still receive a request for which it was chosen. */
    fun mayReceive(target: TargetState): Boolean =
        directory.acceptsNewWork(target) && directory.find(target.entry.id) === target && target.pauseRestMs(timer.nowMs()) == 0L

    /**
     * Admits the request to [target] if it is expected to answer in time and its queue is not too long. Takes a cold-start token if the
     * target is cold. [queue] is where the caller gets a place if the request is refused under load control.
     */
    fun admit(
        target: TargetState,
        context: ChoiceContext,
        nowMs: Long,
        queue: RetryQueue = targetQueue(target),
    ): TargetChoice {
        val expectedMs = expectedMs(target, context.route, nowMs, context.hasLoadControl)
        val decision = if (context.hasLoadControl) decide(target, context, nowMs) else null
        if (decision?.result?.isAdmitted == false) return refusal(target, context, decision, queue, nowMs)
        val waiting = target.occupancy(nowMs) - target.entry.slots
        if (decision == null && (expectedMs > context.remainingMs || waiting > target.entry.slots * MAX_WAITING_PER_SLOT)) {
            return TargetChoice.None("the targets are full", FULL_RETRY_AFTER_MS)
        }
        if (!target.pauseAllowsRequest(nowMs)) return TargetChoice.None("the target returns from a pause", FULL_RETRY_AFTER_MS)
        if (!target.rampAllowsRequest(context.serviceConfig.isKeyed)) {
            return TargetChoice.None("the target is ramping up", FULL_RETRY_AFTER_MS)
        }
        if (!coldStartLimiter.tryAcquire(target, context.serviceConfig, nowMs)) {
            return TargetChoice.None("the target is cold", COLD_RETRY_AFTER_MS)
        }
        if (decision != null) admission.recordAdmitted(target.entry.id, context.route, nowMs)
        return TargetChoice.Chosen(target, expectedMs, decision)
    }

    /** Records the queue of [target] after a load report. Has an effect only under load control. */
    fun observeQueue(target: TargetState, route: Route) {
        val nowMs = timer.nowMs()
        admission.observeQueue(target.entry.id, estimate(target, route, nowMs), route, nowMs)
    }

    /** Returns the refusal of a request that [target] itself has turned away because it is full. */
    fun refusedByTarget(target: TargetState, context: ChoiceContext): TargetChoice.None {
        val nowMs = timer.nowMs()
        val decision = decide(target, context, nowMs)
        val byTarget = AdmissionDecision(AdmissionResult.FULL_AT_TARGET, decision.estimate, decision.limitMs)
        val service = context.serviceConfig
        val queue = if (service.isKeyed) targetQueue(target) else serviceQueue(context, directory.ofService(service.name).size)
        return refusal(target, context, byTarget, queue, nowMs)
    }

    private fun targetQueue(target: TargetState) = RetryQueue("target ${target.entry.id}", targets = 1)

    private fun serviceQueue(context: ChoiceContext, targets: Int) =
        RetryQueue("service ${context.serviceConfig.name}", targets.coerceAtLeast(1))

    private fun decide(target: TargetState, context: ChoiceContext, nowMs: Long): AdmissionDecision =
        admission.decide(target.entry.id, estimate(target, context.route, nowMs), context.route, context.remainingMs, nowMs)

    /**
     * Reserves a place for the caller. Capacity becomes free at the target whenever a slot does, but callers of other routers wait for it
     * too, so that this router hands out as much of it as it has of the requests there.
     */
    private fun refusal(
        target: TargetState,
        context: ChoiceContext,
        decision: AdmissionDecision,
        queue: RetryQueue,
        nowMs: Long,
    ): TargetChoice.None {
        val ownShare = (target.inFlight + 1) / (target.occupancy(nowMs) + 1)
        val spacingMs = decision.estimate.serviceMs / target.entry.slots / ownShare / queue.targets
        val expected = ExpectedCapacity(decision.drainMs, spacingMs)
        // Requests of other priorities and objectives are admitted at other lengths of the queue, so they must not wait for each other.
        val retryQueue = "${queue.name} ${context.route.priority} ${context.route.objectiveMs}"
        val retryAfterMs = admission.retryPlaces.reserve(retryQueue, context.requestId, expected, context.remainingMs, nowMs)
        return TargetChoice.None(decision.result.refusalReason ?: "the targets are full", retryAfterMs, decision)
    }

    private fun score(target: TargetState, context: ChoiceContext, nowMs: Long): Double {
        val crossZoneMs = if (target.entry.zone == zone) 0.0 else CROSS_ZONE_PENALTY_MS
        val failureMs = target.failureShare(nowMs) * context.route.objectiveMs
        val expectedMs = expectedMs(target, context.route, nowMs, context.hasLoadControl)
        return (expectedMs + crossZoneMs + failureMs) * (1 + random.nextDouble() * SCORE_JITTER)
    }

    private fun estimate(target: TargetState, route: Route, nowMs: Long): AnswerEstimate {
        val serviceMs = serviceMs(target, route, nowMs, hasLoadControl = true)
        return AnswerEstimate(serviceMs, expectedMs(target, route, nowMs, hasLoadControl = true) - serviceMs)
    }

    private fun expectedMs(target: TargetState, route: Route, nowMs: Long, hasLoadControl: Boolean): Double =
        serviceMs(target, route, nowMs, hasLoadControl) * max(1.0, (target.occupancy(nowMs) + 1) / target.entry.slots)

    private fun serviceMs(target: TargetState, route: Route, nowMs: Long, hasLoadControl: Boolean): Double {
        val initialMs = route.objectiveMs * INITIAL_SERVICE_TIME_FRACTION
        val learnedMs =
            if (hasLoadControl) target.agedServiceTimeMs(initialMs, nowMs, route.isLargeTransfer) else target.serviceTimeMs(initialMs)
        return learnedMs * target.slowdown(nowMs)
    }

    private companion object {
        /** Added to the expected time of targets in other zones, because traffic between zones is charged. */
        const val CROSS_ZONE_PENALTY_MS = 15.0

        /** Assumed service time of a target that has not answered yet, as a fraction of the latency objective. */
        const val INITIAL_SERVICE_TIME_FRACTION = 0.3

        /** Random variation of scores, which spreads requests over targets of nearly equal score. */
        const val SCORE_JITTER = 0.1

        /** Requests that may wait at a target for each of its slots. */
        const val MAX_WAITING_PER_SLOT = 2.5

        /** Sampled targets of this zone, and of all other zones together. */
        const val SAMPLED_PER_SIDE = 2
        const val MIN_SAMPLE = 3
        const val NO_ELIGIBLE_TARGET = "all targets are suspected, paused, cold, ramping up or have been tried"
        const val NO_TARGET_RETRY_AFTER_MS = 300L
        const val FULL_RETRY_AFTER_MS = 100L
        const val COLD_RETRY_AFTER_MS = 150L
    }
}
