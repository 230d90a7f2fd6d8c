package yuccaflow.router.membership

import yuccaflow.control.ControlRecord
import yuccaflow.control.RouterStage
import yuccaflow.control.rendezvousRank
import yuccaflow.control.snapshotOf

/**
 * Appends a checkpoint when the last one is a third of the retention old. The router that ranks first does it at once; each later rank
 * waits longer, and does nothing when it has read a new checkpoint in the meantime. A lost append is not repeated at once, because a
 * checkpoint is large and the next rank follows.
 */
internal class CheckpointWriter(
    private val parts: MembershipContext,
) {
    private val startedAtMs = parts.timer.nowMs()
    private var attemptedAtMs: Long? = null

    /** Runs until cancelled. */
    suspend fun run() {
        parts.timer.every(CHECK_PERIOD_MS).collect { nowMs -> if (isDue(nowMs)) append() }
    }

    private fun isDue(nowMs: Long): Boolean {
        val live = parts.table.routers.values
            .filter { it.stage == RouterStage.LIVE }
            .map { it.id }
        val rank = rendezvousRank(SUBJECT, live).indexOf(parts.routerId)
        if (rank < 0 || parts.table.position == 0L) return false
        val periodMs = parts.settings.timing.retentionMs / CHECKPOINTS_PER_RETENTION
        // How old the last checkpoint is, is unknown at the start, so the first one of a new router comes sooner.
        val dueMs = parts.replica.checkpointReadAtMs?.let { it + periodMs } ?: (startedAtMs + periodMs / FIRST_PERIOD_DIVISOR)
        val retryMs = attemptedAtMs?.let { it + RETRY_PAUSE_MS } ?: Long.MIN_VALUE
        return nowMs >= maxOf(dueMs + rank * RANK_DELAY_MS, retryMs)
    }

    private suspend fun append() {
        attemptedAtMs = parts.timer.nowMs()
        val state = parts.replica.state.value
        parts.append(ControlRecord.Checkpoint(snapshotOf(state.table, state.config)))
    }

    private companion object {
        const val SUBJECT = "checkpoint"
        const val CHECK_PERIOD_MS = 1_000L
        const val CHECKPOINTS_PER_RETENTION = 3
        const val FIRST_PERIOD_DIVISOR = 4

        /** Longer than an append and the read of it, so that a lower rank sees the checkpoint of a higher one. */
        const val RANK_DELAY_MS = 3_000L
        const val RETRY_PAUSE_MS = 5_000L
    }
}
