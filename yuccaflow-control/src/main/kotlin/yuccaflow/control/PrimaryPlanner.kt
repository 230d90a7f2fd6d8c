package yuccaflow.control

/** Plans which router is the primary of each target. */
internal class PrimaryPlanner(
    private val settings: PlacementSettings,
) {
    private var lastEvenedAtMs: Long? = null

    /** Targets that need a primary. */
    fun assignments(view: PlacementView): List<PlacementNeed> =
        view.config.targets.values.mapNotNull { target ->
            val current = view.table.primaries[target.id]
            val needsPrimary = current == null || !view.table.isLive(current.router)
            if (!needsPrimary || waitsForRelease(view, target)) return@mapNotNull null
            choose(view, target)?.let { router ->
                val record = ControlRecord.PrimaryAssigned(target.id, router, current?.epoch ?: NO_EPOCH, view.input.self)
                PlacementNeed(target.service, "primary of ${target.id}", record)
            }
        }

    /**
     * Targets that this router, as their primary, should hand over: those of a zone that has routers of its own again, all of them when its
     * host is leaving, and single ones to a router of the zone that has fewer.
     */
    fun handovers(view: PlacementView): List<ControlRecord.PrimaryAssigned> {
        val self = view.table.routers[view.input.self]?.takeIf { it.stage == RouterStage.LIVE } ?: return emptyList()
        val own =
            view.table.primaries.values
                .filter { it.router == self.id }
                .mapNotNull { view.config.targets[it.target] }
        val forced = own.mapNotNull { target -> betterThan(view, self, target)?.let { handover(view, target, it) } }
        return forced.ifEmpty { listOfNotNull(evened(view, self, own)) }
    }

    /** A stranded target gets no primary while its ranges can still be released by any router after the wait. */
    private fun waitsForRelease(view: PlacementView, target: TargetSpec): Boolean {
        if (!view.isStranded(target.id) || view.rangesOwnedBy(target.id) == 0) return false
        return view.destinations(target.service).any { it.id != target.id }
    }

    private fun choose(view: PlacementView, target: TargetSpec): RouterId? {
        val near = view.liveRouters(target.zone)
        val candidates = near.ifEmpty { view.zonesWithRouters().flatMap { view.liveRouters(it) } }.filter { it.suspicion == null }
        val preferred = candidates.filter { !view.isOnLeavingHost(it) }.ifEmpty { candidates }
        return rendezvousChoice(target.id.value, preferred.map { it.id })
    }

    private fun betterThan(view: PlacementView, self: RouterEntry, target: TargetSpec): RouterId? {
        val isFar = self.zone != target.zone && view.liveRouters(target.zone).isNotEmpty()
        val chosen = if (isFar || view.isOnLeavingHost(self)) choose(view, target) else null
        val entry = chosen?.takeIf { it != self.id }?.let { view.table.routers[it] } ?: return null
        return chosen.takeIf { isFar || (!view.isOnLeavingHost(entry) && entry.zone == target.zone) }
    }

    /** Hands one target to the router of the own zone with the fewest, when this router has the most and at least two more. */
    private fun evened(view: PlacementView, self: RouterEntry, own: List<TargetSpec>): ControlRecord.PrimaryAssigned? {
        val peers = view.liveRouters(self.zone).filter { it.suspicion == null && !view.isOnLeavingHost(it) }.map { it.id }
        val counts =
            view.table.primaries.values
                .filter { it.target in view.config.targets }
                .groupingBy { it.router }
                .eachCount()
        val ranked = rendezvousRank(self.zone.value, peers)
        val fullest = ranked.maxByOrNull { counts[it] ?: 0 }
        val emptiest = ranked.minByOrNull { counts[it] ?: 0 }
        val isTooSoon = lastEvenedAtMs?.let { view.input.nowMs - it < settings.handoverIntervalMs } ?: false
        if (fullest != self.id || emptiest == null || isTooSoon) return null
        if (own.size < (counts[emptiest] ?: 0) + 2) return null
        // The target whose hash prefers the new router most would have been given to it if it had been there.
        val target = own.filter { it.zone == self.zone }.minByOrNull { rendezvousRank(it.id.value, peers).indexOf(emptiest) } ?: return null
        lastEvenedAtMs = view.input.nowMs
        return handover(view, target, emptiest)
    }

    private fun handover(view: PlacementView, target: TargetSpec, to: RouterId): ControlRecord.PrimaryAssigned {
        val epoch = view.table.primaries
            .getValue(target.id)
            .epoch
        return ControlRecord.PrimaryAssigned(target.id, to, epoch, view.input.self)
    }
}
