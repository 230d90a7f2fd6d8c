package yuccaflow.router.admission

import kotlin.math.pow

/** Weight of one answer in the recent mean, which follows a change within about five answers. */
private const val RECENT_WEIGHT = 0.2

/** Half-life of the recent mean without answers: a target that is avoided as slow must show its recovery by a few answers. */
private const val HALF_LIFE_MS = 1_000.0

/** Weight of one answer in the baseline, which follows a lasting change within about fifty answers. */
private const val BASELINE_WEIGHT = 0.02

/** An answer is late when it takes this many times the baseline; the 99th percentile of a normal target stays below. */
private const val LATE_FACTOR = 3.0

/** Added to the late limit, so that scheduling noise on services of a millisecond does not count. */
private const val LATE_ALLOWANCE_MS = 5.0

/** Late answers in a row that show that a target has turned slow, rather than that single requests are expensive. */
private const val SLOW_AFTER_ANSWERS = 4

/** A target's service times as its primary measures them. Not thread-safe. */
internal class ServiceTimeTracker {
    private var lastAddMs = 0L

    /** Service times noted. */
    var samples: Int = 0
        private set

    private var lateInRow = 0
    private var baselineMs = 0.0

    /** Recent mean, or 0 before the first answer. */
    var recentMs: Double = 0.0
        private set

    /** Notes one service time measured at [nowMs], and tells whether it was in time for this target. */
    fun add(elapsedMs: Long, nowMs: Long): Boolean {
        val late = samples > 0 && elapsedMs > LATE_FACTOR * baselineMs + LATE_ALLOWANCE_MS
        samples++
        val outdated = 1 - 0.5.pow((nowMs - lastAddMs) / HALF_LIFE_MS)
        lastAddMs = nowMs
        recentMs += (elapsedMs - recentMs) * maxOf(RECENT_WEIGHT, 1.0 / samples, outdated)
        baselineMs += (elapsedMs - baselineMs) * maxOf(BASELINE_WEIGHT, 1.0 / samples)
        lateInRow = if (late) lateInRow + 1 else 0
        return !late
    }

    /** Tells once that the target has turned slow suddenly. */
    fun turnedSlow(): Boolean = (lateInRow >= SLOW_AFTER_ANSWERS).also { if (it) lateInRow = 0 }
}
