package yuccaflow.entry.admission

/**
 * Tells whether a target is overloaded for requests with one latency objective: its queueing delay has been above a target delay for a
 * whole interval (CoDel's rule). A shorter queue is a burst, which drains by itself.
 *
 * A router sees few of the requests of a target, so it cannot observe the delay all the time. Observations that are further apart than
 * [MAX_GAP_INTERVALS] intervals begin a new interval.
 */
internal class OverloadDetector(
    private val objectiveMs: Long,
) {
    private var aboveSinceMs: Long? = null
    private var observedAtMs = 0L

    /** Records that a request which joins the queue at [nowMs] waits for [queueMs]. Returns whether the target is overloaded now. */
    fun observe(queueMs: Double, nowMs: Long): Boolean {
        val isAbove = queueMs > objectiveMs * TARGET_DELAY_SHARE
        val isContinued = nowMs - observedAtMs <= objectiveMs * MAX_GAP_INTERVALS
        observedAtMs = nowMs
        val since = if (isAbove) aboveSinceMs.takeIf { isContinued } ?: nowMs else null
        aboveSinceMs = since
        return since != null && nowMs - since >= objectiveMs
    }

    private companion object {
        /** The target delay as a share of the objective. The service times leave about that much room within the objective. */
        const val TARGET_DELAY_SHARE = 0.25
        const val MAX_GAP_INTERVALS = 2
    }
}
