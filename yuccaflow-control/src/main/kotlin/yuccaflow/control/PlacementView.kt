package yuccaflow.control

/** What follows from one [PlacementInput] for the planners. */
internal class PlacementView(
    val input: PlacementInput,
    val settings: PlacementSettings,
) {
    val table: ControlTable get() = input.table
    val config: ConfigState get() = input.config

    /** Routers that may be given targets and that plan, by zone. */
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

    /** The place of this router among the planners of [service]; null when it is not one of them. */
    fun rankOfSelf(service: ServiceName): Int? = rendezvousRank(service.value, planners).indexOf(input.self).takeIf { it >= 0 }

    fun targetsOf(service: ServiceName): List<TargetSpec> = targetsByService[service].orEmpty()

    fun rangesOwnedBy(target: TargetId): Int = rangesByOwner[target] ?: 0

    fun liveRouters(zone: ZoneName): List<RouterEntry> = liveByZone[zone].orEmpty()

    fun zonesWithRouters(): Set<ZoneName> = liveByZone.keys

    /** Tells whether the operators or the platform want [router] to be emptied. */
    fun isOnLeavingHost(router: RouterEntry): Boolean =
        router.zone in config.leavingZones || router.host in config.leavingHosts || router.host in input.leavingHosts

    /** The primary of [target] if its lease has not ended. */
    fun livePrimary(target: TargetId): RouterId? = table.primaries[target]?.router?.takeIf { table.isLive(it) }

    fun isLost(target: TargetId): Boolean = input.unreachableSinceMs[target]?.let { input.nowMs - it >= settings.lostAfterMs } ?: false

    /**
     * Tells whether nobody can be expected to serve [target] any more: its primary has ended, and it is lost, withdrawn, or in a zone
     * without routers. Its ranges are released by any router once the last requests of the old primary have ended.
     */
    fun isStranded(target: TargetId): Boolean {
        val primary = table.primaries[target] ?: return config.targets[target] == null
        if (table.isLive(primary.router)) return false
        val spec = config.targets[target] ?: return true
        return isLost(target) || spec.zone !in liveByZone
    }

    /** Tells whether [target] should keep the ranges of [service] that it owns. */
    fun isFit(target: TargetId, service: ServiceName): Boolean {
        val spec = config.targets[target] ?: return false
        if (spec.service != service || spec.host in input.leavingHosts || !config.isInService(spec)) return false
        return !isLost(target) && !isStranded(target)
    }

    /** Targets that may be given ranges of [service]: those with a live primary that reaches them, else all that are fit. */
    fun destinations(service: ServiceName): List<TargetSpec> {
        val fit = targetsOf(service).filter { isFit(it.id, service) && it.id !in input.unreachableSinceMs }
        return fit.filter { livePrimary(it.id) != null }.ifEmpty { fit }
    }
}
