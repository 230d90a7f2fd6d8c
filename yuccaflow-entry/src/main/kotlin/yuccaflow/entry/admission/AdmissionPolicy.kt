package yuccaflow.entry.admission

import yuccaflow.entry.config.Route

/**
 * What a target's recent load says about a request.
 *
 * @property isOverloaded whether the queueing delay has been long for a whole interval.
 * @property isBelowFloor whether the request's priority has had less than its floor of the target's recent requests.
 */
internal data class Pressure(
    val isOverloaded: Boolean,
    val isBelowFloor: Boolean,
)

/** Decides by remaining time, objective and priority whether a target should get a request. Has no state. */
internal object AdmissionPolicy {
    /** The share of a target's queue that each priority may use at any time. */
    const val PRIORITY_FLOOR = 0.1

    /**
     * How much less of the queue each priority may use than the one above it. Half of the queue is left to the fourth priority, because
     * brief bursts are usual and all priorities may use free capacity.
     */
    private const val PRIORITY_STEP = 0.2

    /**
     * The longest queueing delay of the highest priority, as a multiple of the objective. An answer that is later still has some value, as
     * long as the target is not overloaded. With targets of 4 to 6 slots this is about the time in which a queue of 24 is worked off.
     */
    private const val QUEUE_LIMIT_FACTOR = 1.5

    /** Decides on a request of [route] that is expected to be answered as in [estimate] and whose deadline is [remainingMs] away. */
    fun admit(estimate: AnswerEstimate, route: Route, remainingMs: Long, pressure: Pressure): AdmissionDecision {
        val inTimeMs = remainingMs - estimate.serviceMs
        val objectiveMs = if (pressure.isOverloaded) route.objectiveMs - estimate.serviceMs else Double.MAX_VALUE
        val queueMs = queueLimitMs(route, if (pressure.isBelowFloor) 1.0 else queueShare(route.priority))
        val result = when {
            estimate.queueMs > inTimeMs -> AdmissionResult.TOO_LATE
            estimate.queueMs > objectiveMs -> AdmissionResult.MISSES_OBJECTIVE
            estimate.queueMs > queueMs -> AdmissionResult.QUEUE_TOO_LONG
            estimate.queueMs > queueLimitMs(route, queueShare(route.priority)) -> AdmissionResult.ADMITTED_BY_FLOOR
            else -> AdmissionResult.ADMITTED
        }
        return AdmissionDecision(result, estimate, minOf(inTimeMs, objectiveMs, queueMs))
    }

    /** Returns the share of the queue that [priority] may use: all of it for 0, and less for higher numbers, which are lower priorities. */
    fun queueShare(priority: Int): Double = (1 - priority.coerceAtLeast(0) * PRIORITY_STEP).coerceAtLeast(PRIORITY_FLOOR)

    private fun queueLimitMs(route: Route, share: Double) = route.objectiveMs * QUEUE_LIMIT_FACTOR * share
}
