package yuccaflow.router.ownership

import yuccaflow.external.TargetClock

/** What this router knows of its contact to one target: the latest clock reading, and since when nothing has been heard. Thread-safe. */
internal class TargetReachability {
    private val lock = Any()
    private var latest: TargetClock? = null
    private var failures = 0
    private var failingSinceMs = 0L

    /** The latest reading of the target's clock. */
    val clock: TargetClock? get() = synchronized(lock) { latest }

    /** Whether an order or a request has failed since the last answer. */
    val isFailing: Boolean get() = synchronized(lock) { failures > 0 }

    /** Takes in an answer. Returns true when it came from another instance than the one before. */
    fun answered(clock: TargetClock): Boolean = synchronized(lock) {
        val before = latest
        failures = 0
        if (before != null && before.readAtMs > clock.readAtMs) return false
        latest = clock
        before != null && before.instance != clock.instance
    }

    /** Takes in an answer that carried no clock. */
    fun answered() = synchronized(lock) { failures = 0 }

    /** Takes in a failure to reach the target. */
    fun failed(nowMs: Long) = synchronized(lock) {
        if (failures == 0) failingSinceMs = nowMs
        failures++
    }

    /** Time since which the target counts as unreachable, or null while it counts as reachable. */
    fun unreachableSinceMs(nowMs: Long): Long? = synchronized(lock) {
        failingSinceMs.takeIf { failures >= FAILURES_BEFORE_UNREACHABLE && nowMs - it >= UNREACHABLE_AFTER_MS }
    }

    private companion object {
        /** One failure may be a closed connection that the pool had kept. */
        const val FAILURES_BEFORE_UNREACHABLE = 2

        /** Longer than a pause of a healthy target, and short enough to leave 2 s of the 3 s for the move. */
        const val UNREACHABLE_AFTER_MS = 400L
    }
}
