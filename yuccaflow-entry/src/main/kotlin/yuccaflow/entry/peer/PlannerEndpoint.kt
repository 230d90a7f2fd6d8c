package yuccaflow.entry.peer

import yuccaflow.base.TimerService
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.PlannerAuthority

/** What this router, while it acts as planner, answers to the other routers. */
internal class PlannerEndpoint(
    private val authority: PlannerAuthority,
    private val records: ClusterState,
    private val timer: TimerService,
) {
    /** Tells whether this router acts as planner in its life [life]. */
    fun isActing(life: String): Boolean = authority.isActing(life)

    /** The records from [fromOffset] on, as soon as there are some, or none after [waitMs]. */
    suspend fun read(fromOffset: Long, waitMs: Long): RelayAnswer {
        val untilMs = timer.nowMs() + waitMs
        while (authority.isValid()) {
            val found = records.recordsFrom(fromOffset) ?: return RelayAnswer.NotServed
            val leftMs = untilMs - timer.nowMs()
            if (found.isNotEmpty() || leftMs <= 0) return RelayAnswer.Records(found.toRelayed(), records.endOffset ?: fromOffset)
            records.awaitEndAfter(fromOffset, minOf(leftMs, AUTHORITY_CHECK_MS))
        }
        return RelayAnswer.NotServed
    }

    private companion object {
        /** A planner that has lost its authority must not keep others from reading the store for longer than this. */
        const val AUTHORITY_CHECK_MS = 500L
    }
}
