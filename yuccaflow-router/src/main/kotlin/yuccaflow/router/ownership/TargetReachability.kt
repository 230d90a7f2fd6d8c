package yuccaflow.router.ownership

import yuccaflow.external.TargetClock

/** Tracks the latest clock reading of one target, and whether and since when this router cannot reach it. Thread-safe. */
internal class TargetReachability {
    private val lock = Any()
    private var latest: TargetClock? = null
    private var failures = 0
    private var failingSinceMs = 0L

    /** Latest reading of the target's clock, or null before the first answer. */
    val clock: TargetClock? get() = synchronized(lock) { latest }

    /** Whether a control call or a request has failed since the last answer. */
    val isFailing: Boolean get() = synchronized(lock) { failures > 0 }

    /** Records an answer. Returns true if it came from a different instance than the previous one, so that the target has restarted. */
    fun answered(clock: TargetClock): Boolean = synchronized(lock) {
        val before = latest
        failures = 0
        if (before != null && before.readAtMs > clock.readAtMs) return false
        latest = clock
        before != null && before.instance != clock.instance
    }

    /** Records an answer without a clock reading. */
    fun answered() = synchronized(lock) { failures = 0 }

    /** Records a failure to reach the target at [nowMs]. */
    fun failed(nowMs: Long) = synchronized(lock) {
        if (failures == 0) failingSinceMs = nowMs
        failures++
    }

    /** Returns the local time of the first failure if the target counts as unreachable at [nowMs], otherwise null. */
    fun unreachableSinceMs(nowMs: Long): Long? = synchronized(lock) {
        failingSinceMs.takeIf { failures >= FAILURES_BEFORE_UNREACHABLE && nowMs - it >= UNREACHABLE_AFTER_MS }
    }

    private companion object {
        /** A single failure may just be a pooled connection that the target has closed. */
        const val FAILURES_BEFORE_UNREACHABLE = 2

        /** Longer than the pauses of a healthy target, and short enough to leave 2 s of the 3 s limit for moving its ranges. */
        const val UNREACHABLE_AFTER_MS = 400L
    }
}
