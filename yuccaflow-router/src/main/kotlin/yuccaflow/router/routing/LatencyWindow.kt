package yuccaflow.router.routing

import org.HdrHistogram.Histogram
import yuccaflow.base.TimerService

private const val HIGHEST_MS = 60_000L
private const val SIGNIFICANT_DIGITS = 2

/** Length of a window. Percentiles come from the fuller one of the current and the previous window, so they cover up to 5 to 10 s. */
private const val WINDOW_MS = 5_000L

/** With fewer samples a percentile is not meaningful. */
private const val MIN_SAMPLES = 50

/** Latency percentiles of one service over a sliding time window. */
internal class LatencyWindow(
    private val timer: TimerService,
) {
    private var current = Histogram(HIGHEST_MS, SIGNIFICANT_DIGITS)
    private var previous = Histogram(HIGHEST_MS, SIGNIFICANT_DIGITS)
    private var startedMs = timer.nowMs()

    @Synchronized
    fun record(elapsedMs: Long) {
        rotate()
        current.recordValue(elapsedMs.coerceIn(0, HIGHEST_MS))
    }

    /** Returns the latency at [percentile] (0 to 100), or null while there are too few samples. */
    @Synchronized
    fun percentileMs(percentile: Double): Long? {
        rotate()
        val fuller = if (previous.totalCount >= current.totalCount) previous else current
        return if (fuller.totalCount < MIN_SAMPLES) null else fuller.getValueAtPercentile(percentile)
    }

    private fun rotate() {
        val nowMs = timer.nowMs()
        if (nowMs - startedMs < WINDOW_MS) return
        val reusable = previous
        previous = current
        current = reusable.also { it.reset() }
        if (nowMs - startedMs >= 2 * WINDOW_MS) previous.reset()
        startedMs = nowMs
    }
}
