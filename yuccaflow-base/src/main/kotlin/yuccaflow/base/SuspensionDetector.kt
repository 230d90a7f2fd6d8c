package yuccaflow.base

import kotlin.math.abs

/**
 * Detects that the machine was suspended. The monotonic clock may stop then, but the time of day does not. A jump of one relative to the
 * other counts as a suspension, because the two cannot be told apart.
 */
class SuspensionDetector(
    private val nowMs: () -> Long,
    private val timeOfDayMs: () -> Long,
) {
    private var offsetMs = timeOfDayMs() - nowMs()
    private var detectedAtMs = Long.MIN_VALUE

    /**
     * Returns the monotonic time of the latest check that detected a suspension, or [Long.MIN_VALUE] if none has. Durations measured from
     * before it are void.
     */
    fun uninterruptedSinceMs(): Long {
        val now = nowMs()
        val currentOffsetMs = timeOfDayMs() - now
        if (abs(currentOffsetMs - offsetMs) > MAX_CLOCK_ADJUSTMENT_MS) detectedAtMs = now
        offsetMs = currentOffsetMs
        return detectedAtMs
    }

    private companion object {
        /** Larger than any regular adjustment of the time of day between two checks. */
        const val MAX_CLOCK_ADJUSTMENT_MS = 300L
    }
}
