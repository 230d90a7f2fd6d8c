package yuccaflow.router.admission

import kotlin.math.pow

/** Weight of one answer in the recent mean, which then follows a change within about five answers. */
private const val RECENT_WEIGHT = 0.2

/** Half-life of the recent mean without answers, so that a target avoided as slow needs only a few answers to show its recovery. */
private const val HALF_LIFE_MS = 1_000.0

/** Weight of one answer in the baseline, which then follows a lasting change within about fifty answers. */
private const val BASELINE_WEIGHT = 0.02

/** An answer that takes more than this multiple of the baseline is late. The 99th percentile of a normal target stays below it. */
private const val LATE_FACTOR = 3.0

/** Added to the limit for late answers, so that scheduling noise does not count for services that answer within a millisecond. */
private const val LATE_ALLOWANCE_MS = 5.0

/** Number of consecutive late answers that indicate a slow target rather than a few expensive requests. */
private const val SLOW_AFTER_ANSWERS = 4

/** Tracks the service times of one target as its primary measures them, and detects sudden slowdowns. Not thread-safe. */
internal class ServiceTimeTracker {
    private var lastAddMs = 0L

    /** Number of service times recorded. */
    var samples: Int = 0
        private set

    private var consecutiveLate = 0
    private var baselineMs = 0.0

    /** Recent mean of the service time, or 0 before the first answer. */
    var recentMs: Double = 0.0
        private set

    /** Records a service time measured at [nowMs]. Returns false if it is late compared with the baseline of this target. */
    fun add(elapsedMs: Long, nowMs: Long): Boolean {
        val late = samples > 0 && elapsedMs > LATE_FACTOR * baselineMs + LATE_ALLOWANCE_MS
        samples++
        val decayedWeight = 1 - 0.5.pow((nowMs - lastAddMs) / HALF_LIFE_MS)
        lastAddMs = nowMs
        recentMs += (elapsedMs - recentMs) * maxOf(RECENT_WEIGHT, 1.0 / samples, decayedWeight)
        baselineMs += (elapsedMs - baselineMs) * maxOf(BASELINE_WEIGHT, 1.0 / samples)
        consecutiveLate = if (late) consecutiveLate + 1 else 0
        return !late
    }

    /** Returns true once for each sudden slowdown of the target. */
    fun takeSlowdown(): Boolean = (consecutiveLate >= SLOW_AFTER_ANSWERS).also { if (it) consecutiveLate = 0 }
}
