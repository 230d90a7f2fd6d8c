package yuccaflow.entry

import yuccaflow.base.TimerService
import yuccaflow.entry.keys.KeyOwnershipSettings
import yuccaflow.entry.peer.DirectStoreAccess
import yuccaflow.entry.store.FollowerSettings

/**
 * Decides how long a router's reads of the streams wait for records: long ones save calls to the store, short ones show sooner what a wait
 * has missed.
 *
 * @property isPlanner returns whether the records name this router as planner.
 */
internal class FollowerWaits(
    private val timer: TimerService,
    private val storeAccess: DirectStoreAccess,
    private val ownership: KeyOwnershipSettings,
    private val isPlanner: () -> Boolean,
) {
    private val startedAtMs = timer.nowMs()

    /**
     * Returns the settings for a stream whose records take effect within seconds. The planner reads often and tells the others how far it
     * has read, so that they need not.
     */
    fun ofPromptStream(batchDelayMs: Long): FollowerSettings {
        val settings = shortenIfSlow(FollowerSettings.prompt(batchDelayMs))
        return if (isPlanner()) settings.copy(maxAgeMs = PLANNER_MAX_AGE_MS) else settings
    }

    /** Returns the settings for the routers' stream. The planner uses short waits, because each completed read confirms its authority. */
    fun ofClusterState(): FollowerSettings {
        if (isPlanner()) return FollowerSettings(waitMs = ownership.authorityReadWaitMs, batchDelayMs = PLANNER_BATCH_DELAY_MS)
        // A missed record is noticed when a target refuses a key, which makes the follower read at once.
        val settings = shortenIfSlow(FollowerSettings(batchDelayMs = CLUSTER_STATE_BATCH_DELAY_MS))
        return if (timer.nowMs() - startedAtMs < STARTUP_MS) settings else settings.copy(catchUpWaitMs = settings.waitMs)
    }

    /** A record that a read has missed while the store is slow is seen when its wait ends. */
    private fun shortenIfSlow(settings: FollowerSettings): FollowerSettings =
        if (storeAccess.isSlow) settings.copy(waitMs = SLOW_STORE_WAIT_MS, waitSpreadMs = 0) else settings

    private companion object {
        /** With the period of the reports and an answer below the earliest age at which the other routers read the store themselves. */
        const val PLANNER_MAX_AGE_MS = 500L

        /** Longest wait of a read while the store is slow. */
        const val SLOW_STORE_WAIT_MS = 800L

        /** Time after the start in which many routers may be starting, and thus appending records, at the same time. */
        const val STARTUP_MS = 5_000L

        // Delays after records have arrived, so that one read returns several.
        const val CLUSTER_STATE_BATCH_DELAY_MS = 40L
        const val PLANNER_BATCH_DELAY_MS = 1L
    }
}
