package yuccaflow.entry.balance

import yuccaflow.base.TimerService
import yuccaflow.entry.config.Route
import yuccaflow.entry.config.ServiceConfig
import yuccaflow.entry.directory.TargetDirectory
import kotlin.math.max
import kotlin.random.Random

/** Result of choosing a target. */
internal sealed interface TargetChoice {
    /** [target] takes the request and is expected to answer within [expectedMs]. */
    class Chosen(
        val target: TargetState,
        val expectedMs: Double,
    ) : TargetChoice

    /** No target can take the request now. The caller may retry after [retryAfterMs]. */
    class None(
        val reason: String,
        val retryAfterMs: Long,
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
 */
internal class ChoiceContext(
    val route: Route,
    val serviceConfig: ServiceConfig,
    val excluded: Set<TargetState>,
    val remainingMs: Long,
)

/**
 * Chooses a target for services without key ranges: the one with the lowest expected response time, with penalties for targets in other
 * zones and for targets with recent failures.
 */
internal class TargetChooser(
    private val directory: TargetDirectory,
    private val zone: String,
    private val timer: TimerService,
    private val coldStartLimiter: ColdStartLimiter,
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
        val best = eligible.minByOrNull { score(it, context, nowMs) }
            ?: return TargetChoice.None("all targets are suspected, paused, cold or have been tried", NO_TARGET_RETRY_AFTER_MS)
        return admit(best, context, nowMs)
    }

    /** Returns whether [target] may still receive a request for which it was chosen. */
    fun mayReceive(target: TargetState): Boolean =
        directory.acceptsNewWork(target) && directory.find(target.entry.id) === target && target.pauseRestMs(timer.nowMs()) == 0L

    /**
     * Admits the request to [target] if it is expected to answer in time and its queue is not too long. Takes a cold-start token if the
     * target is cold.
     */
    fun admit(target: TargetState, context: ChoiceContext, nowMs: Long): TargetChoice {
        val expectedMs = expectedMs(target, context.route, nowMs)
        val waiting = target.occupancy(nowMs) - target.entry.slots
        if (expectedMs > context.remainingMs || waiting > target.entry.slots * MAX_WAITING_PER_SLOT) {
            return TargetChoice.None("the targets are full", FULL_RETRY_AFTER_MS)
        }
        if (!target.pauseAllowsRequest(nowMs)) return TargetChoice.None("the target returns from a pause", FULL_RETRY_AFTER_MS)
        if (!target.rampAllowsRequest(context.serviceConfig.isKeyed)) {
            return TargetChoice.None("the target is ramping up", FULL_RETRY_AFTER_MS)
        }
        if (!coldStartLimiter.tryAcquire(target, context.serviceConfig, nowMs)) {
            return TargetChoice.None("the target is cold", COLD_RETRY_AFTER_MS)
        }
        return TargetChoice.Chosen(target, expectedMs)
    }

    private fun score(target: TargetState, context: ChoiceContext, nowMs: Long): Double {
        val crossZoneMs = if (target.entry.zone == zone) 0.0 else CROSS_ZONE_PENALTY_MS
        val failureMs = target.failureShare(nowMs) * context.route.objectiveMs
        return (expectedMs(target, context.route, nowMs) + crossZoneMs + failureMs) * (1 + Random.nextDouble() * SCORE_JITTER)
    }

    private fun expectedMs(target: TargetState, route: Route, nowMs: Long): Double {
        val serviceTimeMs = target.serviceTimeMs(route.objectiveMs * INITIAL_SERVICE_TIME_FRACTION)
        return serviceTimeMs * target.slowdown(nowMs) * max(1.0, (target.occupancy(nowMs) + 1) / target.entry.slots)
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
        const val NO_TARGET_RETRY_AFTER_MS = 300L
        const val FULL_RETRY_AFTER_MS = 100L
        const val COLD_RETRY_AFTER_MS = 150L
    }
}
