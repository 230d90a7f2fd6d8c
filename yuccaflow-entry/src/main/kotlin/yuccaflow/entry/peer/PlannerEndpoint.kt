package yuccaflow.entry.peer

import yuccaflow.base.TimerService
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.planner.PlannerAuthority

/** Answers the planner-specific calls of other routers, as far as this router is the planner. */
internal class PlannerEndpoint(
    private val authority: PlannerAuthority,
    private val clusterState: ClusterState,
    private val timer: TimerService,
) {
    /** Returns whether this router acts as planner in the incarnation [life]. */
    fun isActing(life: String): Boolean = authority.isActing(life)

    /**
     * Returns the records of the routers' stream from [fromOffset] as soon as there are any, or none after [waitMs]. The answer is
     * [RelayAnswer.NotServed] if this router is not the planner or does not have the records.
     */
    suspend fun read(fromOffset: Long, waitMs: Long): RelayAnswer {
        val endsAtMs = timer.nowMs() + waitMs
        while (authority.isValid()) {
            val found = clusterState.recordsFrom(fromOffset) ?: return RelayAnswer.NotServed
            val remainingMs = endsAtMs - timer.nowMs()
            if (found.isNotEmpty() || remainingMs <= 0) {
                return RelayAnswer.Records(found.toRelayed(), clusterState.endOffset ?: fromOffset, clusterState.era)
            }
            clusterState.awaitEndAfter(fromOffset, minOf(remainingMs, AUTHORITY_CHECK_INTERVAL_MS))
        }
        return RelayAnswer.NotServed
    }

    private companion object {
        /** Longest time for which a planner that has lost its authority keeps other routers from reading the store. */
        const val AUTHORITY_CHECK_INTERVAL_MS = 500L
    }
}
