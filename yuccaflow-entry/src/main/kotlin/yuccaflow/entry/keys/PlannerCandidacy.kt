package yuccaflow.entry.keys

import yuccaflow.base.TimerService

/**
 * Decides whether this router stands for planner. The planner calls every target of the keyed services several times in a few seconds,
 * which a small host cannot do beside its callers' requests: grants would expire and keys would move late. So routers on small hosts stand
 * only while no planner answers.
 *
 * @property capacityCores processing capacity of this host, in cores.
 * @property plannerSilentSinceMs returns since when no planner has answered this router, or null while the planner answers.
 */
internal class PlannerCandidacy(
    private val capacityCores: Double,
    private val clusterState: ClusterState,
    private val timer: TimerService,
    private val settings: KeyOwnershipSettings,
    private val plannerSilentSinceMs: () -> Long?,
) {
    private val startedAtMs = timer.nowMs()

    /** Returns whether this router should be a member of the group from which the planner is chosen. */
    fun stands(): Boolean {
        val nowMs = timer.nowMs()
        // In the first moments of the system, the capacities of the other hosts are not known yet.
        if (clusterState.planner == null && nowMs - startedAtMs < settings.capacitiesKnownMs) return false
        val silentSinceMs = plannerSilentSinceMs() ?: nowMs
        return isLargeHost() || nowMs - silentSinceMs >= settings.smallHostDelayMs
    }

    private fun isLargeHost(): Boolean = capacityCores >= LARGE_HOST_SHARE * clusterState.maxCapacityCores

    private companion object {
        /** Share of the capacity of the largest host from which a host counts as large. */
        const val LARGE_HOST_SHARE = 0.5
    }
}
