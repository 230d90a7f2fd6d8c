package yuccaflow.entry.keys

import yuccaflow.base.TimerService

/**
 * Decides whether this router stands for planner. The planner calls every target of the keyed services several times in a few seconds,
 * which a small host cannot do beside its callers' requests: grants would expire and keys would move late. So routers on small hosts stand
 * only while no planner answers.
 *
 * @property capacity capacity of this host.
 * @property plannerSilentSinceMs returns since when no planner has answered this router, or null while the planner answers.
 */
internal class PlannerCandidacy(
    private val capacity: HostCapacity,
    private val clusterState: ClusterState,
    private val timer: TimerService,
    private val settings: KeyOwnershipSettings,
    private val plannerSilentSinceMs: () -> Long?,
) {
    private val startedAtMs = timer.nowMs()

    /** Returns whether this router should be a member of the group from which the planner is chosen. */
    fun stands(): Boolean {
        val nowMs = timer.nowMs()
        // In the first moments of the system, the capacities of the other hosts are not known yet, and no planner can answer.
        val firstElectionAtMs = if (clusterState.planner == null) startedAtMs + settings.capacitiesKnownMs else startedAtMs
        if (nowMs < firstElectionAtMs) return false
        val silentSinceMs = maxOf(plannerSilentSinceMs() ?: nowMs, firstElectionAtMs)
        return isLargeHost() || nowMs - silentSinceMs >= settings.smallHostDelayMs
    }

    /** The planner talks to all targets and routers, so its host needs a wide link as well as a fast processor. */
    private fun isLargeHost(): Boolean {
        val known = clusterState.capacities + capacity
        val largest = HostCapacity.largestOf(known)
        return capacity.fractionOf(largest) >= LARGE_HOST_SHARE * known.maxOf { it.fractionOf(largest) }
    }

    private companion object {
        /** Share of the capacity of the largest host from which on a host counts as large. */
        const val LARGE_HOST_SHARE = 0.5
    }
}
