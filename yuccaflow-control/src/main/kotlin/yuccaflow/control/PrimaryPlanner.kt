package yuccaflow.control

/** Plans which router is the primary of each target: one in the target's zone, with the targets spread evenly over the routers. */
internal class PrimaryPlanner(
    private val settings: PlacementSettings,
) {
    private var lastBalancedAtMs: Long? = null

    /** Assigns a primary to each target that has no live one. */
    fun assignments(view: PlacementView): List<PlacementAction> =
        view.config.targets.values.mapNotNull { target ->
            val current = view.table.primaries[target.id]
            val lacksPrimary = current == null || !view.table.isLive(current.router)
            if (!lacksPrimary || waitsForRelease(view, target)) return@mapNotNull null
            choose(view, target)?.let { router ->
                val record = ControlRecord.PrimaryAssigned(target.id, router, current?.epoch ?: NO_EPOCH, view.input.self)
                PlacementAction(target.service, "primary of ${target.id}", record)
            }
        }

    /**
     * Handovers of targets whose primary is this router: targets of another zone that has live routers again, all targets if the host or
     * zone of this router is leaving, and otherwise a single target to a router of the same zone that has fewer.
     */
    fun handovers(view: PlacementView): List<ControlRecord.PrimaryAssigned> {
        val self = view.table.routers[view.input.self]?.takeIf { it.stage == RouterStage.LIVE } ?: return emptyList()
        val own =
            view.table.primaries.values
                .filter { it.router == self.id }
                .mapNotNull { view.config.targets[it.target] }
        val required = own.mapNotNull { target -> replacementFor(view, self, target)?.let { handover(view, target, it) } }
        return required.ifEmpty { listOfNotNull(balancingHandover(view, self, own)) }
    }

    /** Returns whether an orphaned [target] gets no new primary yet, so that any router can release its ranges to other targets. */
    private fun waitsForRelease(view: PlacementView, target: TargetSpec): Boolean {
        if (!view.isOrphaned(target.id) || view.rangesOwnedBy(target.id) == 0) return false
        return view.destinations(target.service).any { it.id != target.id }
    }

    private fun choose(view: PlacementView, target: TargetSpec): RouterId? {
        val inZone = view.liveRouters(target.zone)
        val candidates = inZone.ifEmpty { view.zonesWithRouters().flatMap { view.liveRouters(it) } }.filter { it.suspicion == null }
        val preferred = candidates.filter { !view.isMarkedAsLeaving(it) }.ifEmpty { candidates }
        return rendezvousChoice(target.id.value, preferred.map { it.id })
    }

    private fun replacementFor(view: PlacementView, self: RouterEntry, target: TargetSpec): RouterId? {
        val isInOtherZone = self.zone != target.zone && view.liveRouters(target.zone).isNotEmpty()
        val chosen = if (isInOtherZone || view.isMarkedAsLeaving(self)) choose(view, target) else null
        val entry = chosen?.takeIf { it != self.id }?.let { view.table.routers[it] } ?: return null
        return chosen.takeIf { isInOtherZone || (!view.isMarkedAsLeaving(entry) && entry.zone == target.zone) }
    }

    /** Hands one target over to the router of this zone with the fewest targets, if this router has the most and at least two more. */
    private fun balancingHandover(view: PlacementView, self: RouterEntry, own: List<TargetSpec>): ControlRecord.PrimaryAssigned? {
        val peers = view.liveRouters(self.zone).filter { it.suspicion == null && !view.isMarkedAsLeaving(it) }.map { it.id }
        val counts =
            view.table.primaries.values
                .filter { it.target in view.config.targets }
                .groupingBy { it.router }
                .eachCount()
        val ranked = rendezvousRank(self.zone.value, peers)
        val routerWithMost = ranked.maxByOrNull { counts[it] ?: 0 }
        val routerWithFewest = ranked.minByOrNull { counts[it] ?: 0 }
        val isTooSoon = lastBalancedAtMs?.let { view.input.nowMs - it < settings.handoverIntervalMs } ?: false
        if (routerWithMost != self.id || routerWithFewest == null || isTooSoon) return null
        if (own.size < (counts[routerWithFewest] ?: 0) + 2) return null
        // Choose the target that ranks the new router highest, which would have been assigned to it had it been there.
        val target =
            own.filter { it.zone == self.zone }.minByOrNull { rendezvousRank(it.id.value, peers).indexOf(routerWithFewest) } ?: return null
        lastBalancedAtMs = view.input.nowMs
        return handover(view, target, routerWithFewest)
    }

    private fun handover(view: PlacementView, target: TargetSpec, to: RouterId): ControlRecord.PrimaryAssigned {
        val epoch = view.table.primaries
            .getValue(target.id)
            .epoch
        return ControlRecord.PrimaryAssigned(target.id, to, epoch, view.input.self)
    }
}
