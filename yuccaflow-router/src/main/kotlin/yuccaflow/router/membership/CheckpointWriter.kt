package yuccaflow.router.membership

import yuccaflow.control.ControlRecord
import yuccaflow.control.RouterStage
import yuccaflow.control.rendezvousRank
import yuccaflow.control.snapshotOf

/**
 * Appends a checkpoint when the last one is older than a third of the retention time.
 *
 * The router that ranks first appends immediately. Each lower rank waits longer, and appends nothing if it has read a new checkpoint in
 * the meantime. A lost append is not retried immediately, because a checkpoint is large and the router of the next rank takes over.
 */
internal class CheckpointWriter(
    private val context: MembershipContext,
) {
    private val startedAtMs = context.timer.nowMs()
    private var attemptedAtMs: Long? = null

    /** Runs until cancelled. */
    suspend fun run() {
        context.timer.every(CHECK_PERIOD_MS).collect { nowMs -> if (isDue(nowMs)) append() }
    }

    private fun isDue(nowMs: Long): Boolean {
        val live = context.table.routers.values
            .filter { it.stage == RouterStage.LIVE }
            .map { it.id }
        val rank = rendezvousRank(RANKING_KEY, live).indexOf(context.routerId)
        if (rank < 0 || context.table.position == 0L) return false
        val periodMs = context.settings.timing.retentionMs / CHECKPOINTS_PER_RETENTION
        // The age of the last checkpoint is unknown at the start, so a new router appends its first one sooner.
        val dueMs = context.replica.checkpointReadAtMs?.let { it + periodMs } ?: (startedAtMs + periodMs / INITIAL_PERIOD_DIVISOR)
        val retryMs = attemptedAtMs?.let { it + RETRY_DELAY_MS } ?: Long.MIN_VALUE
        return nowMs >= maxOf(dueMs + rank * RANK_DELAY_MS, retryMs)
    }

    private suspend fun append() {
        attemptedAtMs = context.timer.nowMs()
        val state = context.replica.state.value
        context.append(ControlRecord.Checkpoint(snapshotOf(state.table, state.config)))
    }

    private companion object {
        const val RANKING_KEY = "checkpoint"
        const val CHECK_PERIOD_MS = 1_000L
        const val CHECKPOINTS_PER_RETENTION = 3
        const val INITIAL_PERIOD_DIVISOR = 4

        /** Longer than it takes to append and read a checkpoint, so that a lower rank reads the one appended by a higher rank. */
        const val RANK_DELAY_MS = 3_000L
        const val RETRY_DELAY_MS = 5_000L
    }
}
