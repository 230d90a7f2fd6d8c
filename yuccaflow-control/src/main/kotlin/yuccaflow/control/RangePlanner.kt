package yuccaflow.control

import kotlin.math.ceil

/** Ratio to its fair share by slots up to which a target is assigned ranges before they go to the next target in rank. */
private const val MAX_OWNED_SHARE = 1.25

/** Run limit assumed for a service that is no longer in the configuration: the longest that a keyed service may have. */
private const val DEFAULT_RUN_LIMIT_MS = 800L

/** Plans owners for all declared keys, moves off targets that may no longer own ranges, and the withdrawal of ranges. */
internal class RangePlanner {
    private val endedSeenAtMs = mutableMapOf<RouterId, Long>()

    /** Completes moves of orphaned owners once no request of their last primary can still run. */
    fun releases(view: PlacementView): List<PlacementAction> {
        recordEndedPrimaries(view)
        return entries(view).mapNotNull { entry ->
            val move = entry.move ?: return@mapNotNull null
            if (view.livePrimary(entry.owner) != null || !view.isOrphaned(entry.owner) || !isDrained(view, entry)) return@mapNotNull null
            action(entry, "release", ControlRecord.RangeReleased(entry.service, entry.range, move.epoch, view.input.self))
        }
    }

    /** Cancels moves whose destination may no longer own the range, and withdrawals of ranges whose service is keyed again. */
    fun cancellations(view: PlacementView): List<PlacementAction> =
        entries(view).mapNotNull { entry ->
            val move = entry.move ?: return@mapNotNull null
            val isServiceKeyed = isKeyed(view, entry.service)
            val isObsolete = if (move.to == null) isServiceKeyed else !isServiceKeyed || !view.isEligible(move.to, entry.service)
            if (isObsolete) action(entry, "cancel", ControlRecord.MoveCancelled(entry.service, entry.range, move.epoch)) else null
        }

    /** Moves ranges off targets that may no longer own them, and withdraws the ranges of services that are no longer keyed. */
    fun moves(view: PlacementView): List<PlacementAction> {
        val (kept, withdrawn) = entries(view).filter { it.move == null }.partition { isKeyed(view, it.service) }
        val withdrawals = withdrawn.map { action(it, "withdraw", ControlRecord.MoveStarted(it.service, it.range, it.epoch, to = null)) }
        return withdrawals +
            kept.filter { !view.isEligible(it.owner, it.service) }.groupBy { it.service }.flatMap { (service, entries) ->
                val selector = OwnerSelector(view, service)
                entries.mapNotNull { entry ->
                    selector.destinationOf(entry)?.let { to ->
                        // The primary detects the loss of its target first; other routers learn of it with the next load query.
                        val isImmediate = view.isLost(entry.owner) && view.livePrimary(entry.owner) == view.input.self
                        action(entry, "move", ControlRecord.MoveStarted(service, entry.range, entry.epoch, to))
                            .copy(isImmediate = isImmediate)
                    }
                }
            }
    }

    /** Assigns owners to declared keys that no range contains. */
    fun firstOwners(view: PlacementView): List<PlacementAction> =
        view.config.services.values.filter { it.isKeyed }.flatMap { service ->
            val selector by lazy { OwnerSelector(view, service.name) }
            val owned = view.table.ranges(service.name).map { it.range }
            declared(view, service.name).flatMap { uncovered(it, owned) }.mapNotNull { range ->
                selector.firstOwner(range)?.let { target ->
                    PlacementAction(service.name, "owner of $range", ControlRecord.RangeAssigned(service.name, range, target))
                }
            }
        }

    /** Splits ranges that cross a declared boundary. */
    fun boundarySplits(view: PlacementView): List<PlacementAction> =
        view.config.services.values.filter { it.isKeyed }.flatMap { service ->
            val bounds = declared(view, service.name).map { it.from }
            view.table.ranges(service.name).filter { it.move == null }.mapNotNull { entry ->
                bounds.firstOrNull { it in entry.range && it != entry.range.from }?.let { at ->
                    action(entry, "split", ControlRecord.RangeSplit(service.name, entry.range, at, entry.epoch))
                }
            }
        }

    private fun recordEndedPrimaries(view: PlacementView) {
        val ended = view.table.primaries.values
            .map { it.router }
            .filterNot { view.table.isLive(it) }
            .toSet()
        endedSeenAtMs.keys.retainAll(ended)
        ended.forEach { endedSeenAtMs.getOrPut(it) { view.input.endedAtMs[it] ?: view.input.nowMs } }
    }

    /** Returns whether the run limit has passed since the owner's primary ended, so that none of its requests can still be running. */
    private fun isDrained(view: PlacementView, entry: RangeEntry): Boolean {
        val primary = view.table.primaries[entry.owner] ?: return true
        val endedAtMs = endedSeenAtMs[primary.router] ?: return false
        val runLimitMs = view.config.services[entry.service]?.runLimitMs ?: DEFAULT_RUN_LIMIT_MS
        return view.input.nowMs - endedAtMs >= runLimitMs
    }

    private fun entries(view: PlacementView): List<RangeEntry> = view.table.services.flatMap { view.table.ranges(it) }

    private fun isKeyed(view: PlacementView, service: ServiceName): Boolean = view.config.services[service]?.isKeyed ?: false

    private fun declared(view: PlacementView, service: ServiceName): List<KeyRange> =
        view.config.ranges.values
            .filter { it.service == service }
            .map { it.range }

    private fun action(entry: RangeEntry, what: String, record: ControlRecord): PlacementAction =
        PlacementAction(entry.service, "$what ${entry.range} since ${entry.epoch} ${entry.move?.epoch ?: ""}", record)
}

/** Returns the parts of [range] that none of [owned] covers. [owned] must be in key order. */
internal fun uncovered(range: KeyRange, owned: List<KeyRange>): List<KeyRange> {
    val gaps = mutableListOf<KeyRange>()
    var from = range.from
    for (covered in owned.filter { it.overlaps(range) }) {
        if (compareKeys(from, covered.from) < 0) gaps += KeyRange(from, covered.from)
        from = covered.to ?: return gaps
    }
    if (range.to == null || compareKeys(from, range.to) < 0) gaps += KeyRange(from, range.to)
    return gaps
}

/**
 * Chooses owners for the ranges of one service: the first target in weighted rendezvous order that does not own more than its share and is
 * not receiving too many ranges already. Takes its own earlier choices into account.
 */
private class OwnerSelector(
    view: PlacementView,
    private val service: ServiceName,
) {
    private val settings = view.settings
    private val destinations = view.destinations(service)
    private val slots = destinations.associate { it.id to it.slots.toDouble() }
    private val owned = destinations.associateTo(mutableMapOf()) { it.id to view.rangesOwnedBy(it.id) }
    private val incoming =
        view.table
            .ranges(service)
            .mapNotNull { it.move?.to }
            .groupingBy { it }
            .eachCount()
            .toMutableMap()
    private val share = MAX_OWNED_SHARE * maxOf(view.table.ranges(service).size, declaredCount(view)) / maxOf(1.0, slots.values.sum())

    private fun declaredCount(view: PlacementView): Int = view.config.ranges.values
        .count { it.service == service }

    /** Returns the target to move [entry] to, or null if none can receive it now. */
    fun destinationOf(entry: RangeEntry): TargetId? {
        val ranked = ranked(entry.range).filter { it != entry.owner && (incoming[it] ?: 0) < settings.maxMovesPerTarget }
        return (ranked.firstOrNull { hasRoom(it) } ?: ranked.firstOrNull())?.also { incoming.merge(it, 1, Int::plus) }
    }

    /** Returns the first owner of [range], or null if there is no possible target. */
    fun firstOwner(range: KeyRange): TargetId? {
        val ranked = ranked(range)
        return (ranked.firstOrNull { hasRoom(it) } ?: ranked.firstOrNull())?.also { owned.merge(it, 1, Int::plus) }
    }

    private fun ranked(range: KeyRange): List<TargetId> =
        rendezvousRank("$service/${range.from}", destinations.map { it.id }) { slots.getValue(it) }

    private fun hasRoom(target: TargetId): Boolean =
        (owned[target] ?: 0) + (incoming[target] ?: 0) + 1 <= ceil(share * slots.getValue(target))
}
