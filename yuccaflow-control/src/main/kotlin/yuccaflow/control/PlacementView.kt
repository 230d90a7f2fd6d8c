package yuccaflow.control

/** One [PlacementInput] with derived indexes and predicates for the planners. */
internal class PlacementView(
    val input: PlacementInput,
    val settings: PlacementSettings,
) {
    val table: ControlTable get() = input.table
    val config: ConfigState get() = input.config

    /** Routers that take part in planning and may become primaries, by zone. */
    private val liveByZone: Map<ZoneName, List<RouterEntry>> =
        table.routers.values
            .filter { it.stage == RouterStage.LIVE }
            .groupBy { it.zone }

    private val planners: List<RouterId> =
        liveByZone.values
            .flatten()
            .filter { it.suspicion == null || it.id == input.self }
            .map { it.id }

    private val rangesByOwner: Map<TargetId, Int> =
        table.services
            .flatMap { table.ranges(it) }
            .groupingBy { it.owner }
            .eachCount()

    private val targetsByService: Map<ServiceName, List<TargetSpec>> = config.targets.values.groupBy { it.service }

    /** Rank of this router among the planners of [service]; null if it is not one of them. */
    fun rankOfSelf(service: ServiceName): Int? = rendezvousRank(service.value, planners).indexOf(input.self).takeIf { it >= 0 }

    fun targetsOf(service: ServiceName): List<TargetSpec> = targetsByService[service].orEmpty()

    fun rangesOwnedBy(target: TargetId): Int = rangesByOwner[target] ?: 0

    fun liveRouters(zone: ZoneName): List<RouterEntry> = liveByZone[zone].orEmpty()

    fun zonesWithRouters(): Set<ZoneName> = liveByZone.keys

    /** Returns whether operators or the platform have marked the zone or host of [router] as leaving. */
    fun isMarkedAsLeaving(router: RouterEntry): Boolean =
        router.zone in config.leavingZones || router.host in config.leavingHosts || router.host in input.leavingHosts

    /** The primary of [target], or null if there is none or its lease has ended. */
    fun livePrimary(target: TargetId): RouterId? = table.primaries[target]?.router?.takeIf { table.isLive(it) }

    /** Returns whether the primary of [target] has failed to reach it for [PlacementSettings.lostAfterMs] or longer. */
    fun isLost(target: TargetId): Boolean = input.unreachableSinceMs[target]?.let { input.nowMs - it >= settings.lostAfterMs } ?: false

    /**
     * Returns whether no router can be expected to serve [target] again: its primary has ended, and the target is lost, withdrawn or in a
     * zone without routers. Any router may release its ranges once the last requests of the old primary have ended.
     */
    fun isOrphaned(target: TargetId): Boolean {
        val primary = table.primaries[target] ?: return config.targets[target] == null
        if (table.isLive(primary.router)) return false
        val spec = config.targets[target] ?: return true
        return isLost(target) || spec.zone !in liveByZone
    }

    /** Returns whether [target] may own ranges of [service]: it belongs to the service and is not leaving, lost or orphaned. */
    fun isEligible(target: TargetId, service: ServiceName): Boolean {
        val spec = config.targets[target] ?: return false
        if (spec.service != service || spec.host in input.leavingHosts || !config.isInService(spec)) return false
        return !isLost(target) && !isOrphaned(target)
    }

    /**
     * Targets to which ranges of [service] may be assigned: the eligible ones that are not reported unreachable and have a live primary,
     * or, if none of these has one, all of them.
     */
    fun destinations(service: ServiceName): List<TargetSpec> {
        val eligible = targetsOf(service).filter { isEligible(it.id, service) && it.id !in input.unreachableSinceMs }
        return eligible.filter { livePrimary(it.id) != null }.ifEmpty { eligible }
    }
}
