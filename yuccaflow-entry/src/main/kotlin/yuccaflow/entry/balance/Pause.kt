package yuccaflow.entry.balance

/** A time in which a target has asked this router for no requests. Until [untilMs] it gets none, and after that gradually more. */
internal data class Pause(
    val untilMs: Long,
) {
    /** Returns the pause that results from this one and [other], if there is one: the later end holds. */
    fun orLater(other: Pause?): Pause = if (other == null || other.untilMs < untilMs) this else other

    /** Returns how much longer the target gets no requests, or 0 if the pause is over. */
    fun restMs(nowMs: Long): Long = (untilMs - nowMs).coerceAtLeast(0)

    /** Returns how many requests may be in flight at a target with [slots]. It doubles at each step after the end of the pause. */
    fun maxInFlight(nowMs: Long, slots: Int): Int {
        if (nowMs < untilMs) return 0
        val steps = (nowMs - untilMs) / STEP_MS
        // With more requests than that, the queue of the target is at its limit anyway.
        return if (steps >= FULL_LOAD_STEPS) Int.MAX_VALUE else (1 shl steps.toInt()).coerceAtMost(slots * MAX_PER_SLOT)
    }

    private companion object {
        const val STEP_MS = 250L
        const val FULL_LOAD_STEPS = 6
        const val MAX_PER_SLOT = 4
    }
}
