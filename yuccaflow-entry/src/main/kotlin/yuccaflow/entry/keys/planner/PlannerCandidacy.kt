package yuccaflow.entry.keys.planner

import yuccaflow.base.TimerService
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.HostCapacity
import yuccaflow.entry.keys.KeyOwnershipSettings

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
    fun stands(): Boolean = if (!clusterState.hasHadPlanner) standsInFirstElection() else isLargeHost() || isPlannerSilent()

    /**
     * Whether this router stands for the first planner of the system. In the first moments, the capacities of the other hosts are not
     * known yet. Each router that joins causes a rebalance of the group, so small hosts join after the large ones.
     */
    private fun standsInFirstElection(): Boolean {
        val elapsedMs = timer.nowMs() - startedAtMs
        val extraDelayMs = if (isLargeHost()) 0 else settings.largeHostsSettleMs
        return elapsedMs >= settings.capacitiesKnownMs + extraDelayMs
    }

    /** Whether the recorded planner has had time to answer and has not. No planner answers before its record has been read. */
    private fun isPlannerSilent(): Boolean {
        val silentSinceMs = plannerSilentSinceMs() ?: return false
        val countsSinceMs = maxOf(silentSinceMs, clusterState.plannerReadAtMs ?: silentSinceMs)
        return timer.nowMs() - countsSinceMs >= settings.smallHostDelayMs
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
