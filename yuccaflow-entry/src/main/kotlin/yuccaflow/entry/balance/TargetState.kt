package yuccaflow.entry.balance

import yuccaflow.entry.directory.TargetEntry
import kotlin.math.exp
import kotlin.math.max

/**
 * What this router knows of one life of a target: its entry, its own requests there, and what the responses have told.
 *
 * Confined to the event loop.
 */
internal class TargetState(
    entry: TargetEntry,
    val seenAtMs: Long,
) {
    /** The newest entry. */
    var entry: TargetEntry = entry
        private set

    /** When the entry disappeared from the store, or null while it is there. */
    var entryRemovedAtMs: Long? = null

    /** When the target was first seen to drain, or null. */
    var drainingSinceMs: Long? = if (entry.isDraining) seenAtMs else null
        private set

    /** This router's requests that the target has not answered yet. */
    var inFlight = 0
        private set

    /** Until when the target counts as cold. */
    var coldUntilMs: Long = seenAtMs + entry.coldRemainingMs
        private set

    /** Tokens for requests while the target is cold. */
    val coldTokens = TokenBucket()

    /** Until when the target gets no requests because it could not be reached or failed repeatedly. */
    var suspectedUntilMs: Long = 0
        private set

    /** Failures in a row. */
    var failuresInARow = 0
        private set

    private var othersLoad = 0.0
    private var othersAtMs = seenAtMs
    private var reportedSlowdown = 1.0
    private var serviceTimeMs: Double? = null
    private var failureShare = 0.0
    private var failureShareAtMs = seenAtMs

    /** Takes a newer entry of the same life. */
    fun update(newer: TargetEntry, nowMs: Long) {
        if (newer.isDraining && drainingSinceMs == null) drainingSinceMs = nowMs
        if (newer.coldRemainingMs > 0) markCold(nowMs + newer.coldRemainingMs)
        entry = newer
        entryRemovedAtMs = null
    }

    /** Treats the target as cold until [untilMs] at least. */
    fun markCold(untilMs: Long) {
        coldUntilMs = max(coldUntilMs, untilMs)
    }

    /** Counts a request that is about to be sent. */
    fun started() {
        inFlight++
    }

    /** Counts a request that was answered or given up. */
    fun ended() {
        inFlight--
    }

    /** Requests at the target, by this router's own count and what the target last told of the others. */
    fun occupancy(nowMs: Long): Double = inFlight + othersLoad * decay(nowMs - othersAtMs, OTHERS_LIFE_MS)

    /** The time that a request takes when it need not wait, or null while nothing is known. */
    val knownServiceTimeMs: Double? get() = serviceTimeMs

    /** The time that a request takes when it need not wait, or [fallbackMs] while nothing is known. */
    fun serviceTimeMs(fallbackMs: Double): Double = serviceTimeMs ?: fallbackMs

    /** The part of the recent requests that failed, between 0 and 1. Fades with time, so that the target is tried again. */
    fun failureShare(nowMs: Long): Double = failureShare * decay(nowMs - failureShareAtMs, FAILURES_LIFE_MS)

    /** How much longer than usual work takes at the target, as far as the last report still tells. */
    fun slowdown(nowMs: Long): Double = 1 + (reportedSlowdown - 1) * decay(nowMs - othersAtMs, SLOWDOWN_LIFE_MS)

    /** Takes the load that the target reported with a response. */
    fun reported(load: LoadReport, nowMs: Long) {
        reportedSlowdown = load.slowdown ?: 1.0
        val others = max(0, load.running + load.waiting - inFlight).toDouble()
        val before = othersLoad * decay(nowMs - othersAtMs, OTHERS_LIFE_MS)
        othersLoad = before + OTHERS_GAIN * (others - before)
        othersAtMs = nowMs
    }

    /** Takes the time of a response that was sent while the target held [occupancy] requests, that one included. */
    fun responded(elapsedMs: Long, occupancy: Double) {
        val queueing = max(1.0, occupancy / entry.slots)
        val sample = elapsedMs / queueing
        serviceTimeMs = serviceTimeMs?.let { it + TIME_GAIN * (sample - it) } ?: sample
    }

    /** Notes that a request was served. */
    fun succeeded(nowMs: Long) {
        failuresInARow = 0
        suspectedUntilMs = 0
        noteOutcome(0.0, nowMs)
    }

    /** Notes that a request failed. Returns true when the target becomes suspected by it. */
    fun failed(nowMs: Long, isUnreachable: Boolean): Boolean {
        noteOutcome(1.0, nowMs)
        failuresInARow++
        if (!isUnreachable && failuresInARow < FAILURES_TO_SUSPECT) return false
        val doublings = (failuresInARow - 1).coerceIn(0, MAX_DOUBLINGS)
        val wasSuspected = suspectedUntilMs > nowMs
        suspectedUntilMs = nowMs + (FIRST_SUSPICION_MS shl doublings)
        return !wasSuspected
    }

    private fun noteOutcome(failure: Double, nowMs: Long) {
        val before = failureShare(nowMs)
        failureShare = before + FAILURE_GAIN * (failure - before)
        failureShareAtMs = nowMs
    }

    private fun decay(ageMs: Long, lifeMs: Double): Double = exp(-max(0L, ageMs) / lifeMs)

    private companion object {
        const val OTHERS_LIFE_MS = 1_000.0
        const val SLOWDOWN_LIFE_MS = 200.0
        const val OTHERS_GAIN = 0.4
        const val TIME_GAIN = 0.1
        const val FAILURE_GAIN = 0.15
        const val FAILURES_LIFE_MS = 2_000.0
        const val FAILURES_TO_SUSPECT = 4
        const val FIRST_SUSPICION_MS = 250L
        const val MAX_DOUBLINGS = 2
    }
}
