package yuccaflow.entry.store

import kotlin.math.abs

/**
 * Notices that the machine was suspended. The monotonic clock may stop then, but the time of day does not. A jump of one relative to the
 * other counts as a suspension, because the two cannot be told apart.
 */
internal class SuspensionDetector(
    private val nowMs: () -> Long,
    private val timeOfDayMs: () -> Long,
) {
    private var offsetMs = timeOfDayMs() - nowMs()
    private var noticedAtMs = Long.MIN_VALUE

    /** Returns the monotonic time from which on that clock is known to have counted all time. What was measured before is void. */
    fun uninterruptedSinceMs(): Long {
        val now = nowMs()
        val currentOffsetMs = timeOfDayMs() - now
        if (abs(currentOffsetMs - offsetMs) > MAX_CLOCK_ADJUSTMENT_MS) noticedAtMs = now
        offsetMs = currentOffsetMs
        return noticedAtMs
    }

    private companion object {
        /** Larger than any regular adjustment of the time of day between two checks. */
        const val MAX_CLOCK_ADJUSTMENT_MS = 300L
    }
}
