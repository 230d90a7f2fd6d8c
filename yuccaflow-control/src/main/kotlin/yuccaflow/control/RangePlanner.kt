package yuccaflow.control

import kotlin.math.ceil

/** Most that a target may own over its share, by slots, before further ranges go to the next one in rank. */
private const val SHARE_BOUND = 1.25

/** Run limit assumed for a service that is no longer in force: the longest that a divided service may have. */
private const val UNKNOWN_RUN_LIMIT_MS = 800L

/** Plans that every declared key has an owner that is in service, and that withdrawn ranges go. */
internal class RangePlanner {
    private val endedSeenAtMs = mutableMapOf<RouterId, Long>()

    /** Moves to complete for owners that nobody serves any more. */
    fun releases(view: PlacementView): List<PlacementNeed> {
        noteEnded(view)
        return entries(view).mapNotNull { entry ->
            val move = entry.move ?: return@mapNotNull null
            if (view.livePrimary(entry.owner) != null || !view.isStranded(entry.owner) || !hasRunOut(view, entry)) return@mapNotNull null
            need(entry, "release", ControlRecord.RangeReleased(entry.service, entry.range, move.epoch, view.input.self))
        }
    }

    /** Moves whose destination can no longer take the range, and withdrawals of ranges that are declared again. */
    fun cancels(view: PlacementView): List<PlacementNeed> =
        entries(view).mapNotNull { entry ->
            val move = entry.move ?: return@mapNotNull null
            val isDeclared = isKeyed(view, entry.service)
            val isWrong = if (move.to == null) isDeclared else !isDeclared || !view.isFit(move.to, entry.service)
            if (isWrong) need(entry, "cancel", ControlRecord.MoveCancelled(entry.service, entry.range, move.epoch)) else null
        }

    /** Ranges to move off targets that should not keep them, and ranges of services that are no longer divided. */
    fun moves(view: PlacementView): List<PlacementNeed> {
        val (kept, withdrawn) = entries(view).filter { it.move == null }.partition { isKeyed(view, it.service) }
        val withdrawals = withdrawn.map { need(it, "withdraw", ControlRecord.MoveStarted(it.service, it.range, it.epoch, to = null)) }
        return withdrawals +
            kept.filter { !view.isFit(it.owner, it.service) }.groupBy { it.service }.flatMap { (service, entries) ->
                val placing = Placing(view, service)
                entries.mapNotNull { entry ->
                    placing.moveTo(entry)?.let { to ->
                        // The primary sees the loss of its target first; others hear of it a load query later.
                        val isOwnDuty = view.isLost(entry.owner) && view.livePrimary(entry.owner) == view.input.self
                        need(entry, "move", ControlRecord.MoveStarted(service, entry.range, entry.epoch, to)).copy(isOwnDuty = isOwnDuty)
                    }
                }
            }
    }

    /** Declared keys that no range holds. */
    fun firstOwners(view: PlacementView): List<PlacementNeed> =
        view.config.services.values.filter { it.isKeyed }.flatMap { service ->
            val placing by lazy { Placing(view, service.name) }
            val owned = view.table.ranges(service.name).map { it.range }
            declared(view, service.name).flatMap { uncovered(it, owned) }.mapNotNull { range ->
                placing.firstOwner(range)?.let { target ->
                    PlacementNeed(service.name, "owner of $range", ControlRecord.RangeAssigned(service.name, range, target))
                }
            }
        }

    /** Ranges that cross a declared boundary. */
    fun boundarySplits(view: PlacementView): List<PlacementNeed> =
        view.config.services.values.filter { it.isKeyed }.flatMap { service ->
            val bounds = declared(view, service.name).map { it.from }
            view.table.ranges(service.name).filter { it.move == null }.mapNotNull { entry ->
                bounds.firstOrNull { it in entry.range && it != entry.range.from }?.let { at ->
                    need(entry, "split", ControlRecord.RangeSplit(service.name, entry.range, at, entry.epoch))
                }
            }
        }

    private fun noteEnded(view: PlacementView) {
        val ended = view.table.primaries.values
            .map { it.router }
            .filterNot { view.table.isLive(it) }
            .toSet()
        endedSeenAtMs.keys.retainAll(ended)
        ended.forEach { endedSeenAtMs.getOrPut(it) { view.input.endedAtMs[it] ?: view.input.nowMs } }
    }

    /** Tells whether no request that the ended primary of the owner sent can still run. */
    private fun hasRunOut(view: PlacementView, entry: RangeEntry): Boolean {
        val primary = view.table.primaries[entry.owner] ?: return true
        val endedAtMs = endedSeenAtMs[primary.router] ?: return false
        val runLimitMs = view.config.services[entry.service]?.runLimitMs ?: UNKNOWN_RUN_LIMIT_MS
        return view.input.nowMs - endedAtMs >= runLimitMs
    }

    private fun entries(view: PlacementView): List<RangeEntry> = view.table.services.flatMap { view.table.ranges(it) }

    private fun isKeyed(view: PlacementView, service: ServiceName): Boolean = view.config.services[service]?.isKeyed ?: false

    private fun declared(view: PlacementView, service: ServiceName): List<KeyRange> =
        view.config.ranges.values
            .filter { it.service == service }
            .map { it.range }

    private fun need(entry: RangeEntry, what: String, record: ControlRecord): PlacementNeed =
        PlacementNeed(entry.service, "$what ${entry.range} since ${entry.epoch} ${entry.move?.epoch ?: ""}", record)
}

/** The parts of [range] that none of [owned], in key order, holds. */
internal fun uncovered(range: KeyRange, owned: List<KeyRange>): List<KeyRange> {
    val gaps = mutableListOf<KeyRange>()
    var from = range.from
    for (held in owned.filter { it.overlaps(range) }) {
        if (compareKeys(from, held.from) < 0) gaps += KeyRange(from, held.from)
        from = held.to ?: return gaps
    }
    if (range.to == null || compareKeys(from, range.to) < 0) gaps += KeyRange(from, range.to)
    return gaps
}

/**
 * Chooses owners for the ranges of one service: the first target in weighted rendezvous order that is neither over its share nor receiving
 * too many ranges already. Counts what it has chosen itself.
 */
private class Placing(
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
    private val share = SHARE_BOUND * maxOf(view.table.ranges(service).size, declaredCount(view)) / maxOf(1.0, slots.values.sum())

    private fun declaredCount(view: PlacementView): Int = view.config.ranges.values
        .count { it.service == service }

    /** The target to move [entry] to, or null when none can take it now. */
    fun moveTo(entry: RangeEntry): TargetId? {
        val ranked = ranked(entry.range).filter { it != entry.owner && (incoming[it] ?: 0) < settings.movesPerTarget }
        return (ranked.firstOrNull { hasRoom(it) } ?: ranked.firstOrNull())?.also { incoming.merge(it, 1, Int::plus) }
    }

    /** The first owner of [range], or null when there is no target. */
    fun firstOwner(range: KeyRange): TargetId? {
        val ranked = ranked(range)
        return (ranked.firstOrNull { hasRoom(it) } ?: ranked.firstOrNull())?.also { owned.merge(it, 1, Int::plus) }
    }

    private fun ranked(range: KeyRange): List<TargetId> =
        rendezvousRank("$service/${range.from}", destinations.map { it.id }) { slots.getValue(it) }

    private fun hasRoom(target: TargetId): Boolean =
        (owned[target] ?: 0) + (incoming[target] ?: 0) + 1 <= ceil(share * slots.getValue(target))
}
