package yuccaflow.control

private const val MINUTE_MS = 60_000L

/** A change must reduce the highest load involved to this fraction or less, so that noise does not move ranges back and forth. */
private const val MIN_IMPROVEMENT_FACTOR = 0.95

/** Ranges with a key above this fraction of the threshold for hot keys are not merged, since the key might soon be split off again. */
private const val MERGE_HOT_KEY_FACTOR = 0.8

/** The smallest code point: appending it to a key gives the next key in order. */
private const val MIN_CHARACTER = '\u0000'

/** Plans moves, splits and merges of ranges that balance the load. */
internal class LoadPlanner(
    private val settings: PlacementSettings,
) {
    private val imbalancedSinceMs = mutableMapOf<ServiceName, Long>()
    private val movesSeenAtMs = mutableMapOf<Long, Pair<ServiceName, Long>>()
    private val mergeableSinceMs = mutableMapOf<Pair<ServiceName, String>, Long>()

    /** Splits off hot keys, moves at most one range per service to balance the load, and merges ranges that need not be separate. */
    fun actions(view: PlacementView): List<PlacementAction> {
        val services = view.config.services.values
            .filter { it.isKeyed }
            .map { it.name }
        recordMoves(view)
        imbalancedSinceMs.keys.retainAll(services.toSet())
        val loads = services.map { ServiceLoad(view, it) }
        val changes =
            loads.flatMap { load ->
                val entries = view.table.ranges(load.service)
                hotKeySplits(load, entries) + listOfNotNull(rebalance(view, load, entries))
            }
        return changes + merges(view, loads)
    }

    /** Records when each move was first seen, so that the limit per minute includes moves that other routers started. */
    private fun recordMoves(view: PlacementView) {
        val nowMs = view.input.nowMs
        movesSeenAtMs.values.removeIf { (_, seenAtMs) -> nowMs - seenAtMs >= MINUTE_MS }
        for (service in view.table.services) {
            for (entry in view.table.ranges(service)) {
                val move = entry.move ?: continue
                if (view.isEligible(entry.owner, service)) movesSeenAtMs.putIfAbsent(move.epoch, service to nowMs)
            }
        }
    }

    private fun hotKeySplits(load: ServiceLoad, entries: List<RangeEntry>): List<PlacementAction> {
        if (load.totalRate < settings.minServiceRate) return emptyList()
        return entries.filter { it.move == null }.mapNotNull { entry ->
            val hot = load.rangeLoad(entry)?.hotKeys?.firstOrNull {
                it.key in entry.range && it.requestsPerSecond > settings.hotKeyShare * load.meanRate
            }
            hot?.let { splitPoint(entry.range, it.key) }?.let { split(entry, it) }
        }
    }

    /** Returns the next key at which to split [range] so that [key] gets a range of its own; null if it has one. */
    private fun splitPoint(range: KeyRange, key: String): String? {
        val next = key + MIN_CHARACTER
        return if (range.from != key) key else next.takeIf { range.to != it }
    }

    private fun rebalance(view: PlacementView, load: ServiceLoad, entries: List<RangeEntry>): PlacementAction? {
        val service = load.service
        val nowMs = view.input.nowMs
        val isMoving = entries.any { it.move != null }
        val isImbalanced = !isMoving && load.totalRate >= settings.minServiceRate && load.imbalance > settings.maxImbalance
        if (!isImbalanced) {
            imbalancedSinceMs -= service
            return null
        }
        val imbalancedForMs = nowMs - imbalancedSinceMs.getOrPut(service) { nowMs }
        val recentMoves = movesSeenAtMs.values.count { it.first == service }
        if (imbalancedForMs < settings.imbalanceDelayMs || recentMoves >= settings.maxRebalancesPerMinute) return null
        val own = entries.filter { it.owner == load.hottest }
        return bestMove(load, own) ?: medianSplit(load, own)
    }

    /** Returns the move off the hottest target that minimizes the higher load of the two targets, or null if none improves it enough. */
    private fun bestMove(load: ServiceLoad, own: List<RangeEntry>): PlacementAction? {
        val hottest = load.hottest ?: return null
        val options =
            own.flatMap { entry ->
                val rate = load.rangeLoad(entry)?.requestsPerSecond ?: return@flatMap emptyList()
                load.targets.filter { it != hottest }.map { to ->
                    Triple(entry, to, maxOf(load.loadOf(hottest, -rate), load.loadOf(to, rate)))
                }
            }
        val (entry, to, resulting) = options.minWithOrNull(compareBy({ it.third }, { it.second.value })) ?: return null
        if (resulting > load.loadOf(hottest) * MIN_IMPROVEMENT_FACTOR) return null
        val record = ControlRecord.MoveStarted(entry.service, entry.range, entry.epoch, to)
        return PlacementAction(entry.service, "rebalance", record)
    }

    /** Splits the most loaded range of the hottest target at its median key if moving half of that range would improve the load enough. */
    private fun medianSplit(load: ServiceLoad, own: List<RangeEntry>): PlacementAction? {
        val entry = own.maxByOrNull { load.rangeLoad(it)?.requestsPerSecond ?: 0.0 } ?: return null
        val report = load.rangeLoad(entry) ?: return null
        val median = report.medianKey?.takeIf { it in entry.range && it != entry.range.from } ?: return null
        val half = report.requestsPerSecond / 2
        val lowest = load.targets.filter { it != entry.owner }.minOfOrNull { load.loadOf(it, half) } ?: return null
        val isImprovement = maxOf(load.loadOf(entry.owner, -half), lowest) <= load.loadOf(entry.owner) * MIN_IMPROVEMENT_FACTOR
        return if (isImprovement) split(entry, median) else null
    }

    /** Merges adjacent ranges without a declared boundary between them that have been mergeable for [PlacementSettings.mergeDelayMs]. */
    private fun merges(view: PlacementView, loads: List<ServiceLoad>): List<PlacementAction> {
        val boundaries = loads.flatMap { load -> undeclaredBoundaries(view, load.service).map { load to it } }
        mergeableSinceMs.keys.retainAll(boundaries.map { (_, pair) -> boundaryOf(pair.second) }.toSet())
        val planned = mutableSetOf<RangeEntry>()
        return boundaries.mapNotNull { (load, pair) ->
            val (left, right) = pair
            val isFree = left !in planned && right !in planned
            if (!isMergeDue(view, load, left, right) || !isFree) return@mapNotNull null
            planned += listOf(left, right)
            merge(load, left, right)
        }
    }

    /**
     * Returns whether the two ranges have been mergeable for long enough. While one of them is moving or has no load report yet, the time
     * neither starts nor is reset.
     */
    private fun isMergeDue(view: PlacementView, load: ServiceLoad, left: RangeEntry, right: RangeEntry): Boolean {
        val isSettled = left.move == null && right.move == null && hasEligibleOwner(view, left) && hasEligibleOwner(view, right)
        if (!isSettled || load.rangeLoad(left) == null || load.rangeLoad(right) == null) return false
        val boundary = boundaryOf(right)
        if (!isMergeable(load, left, right)) {
            mergeableSinceMs -= boundary
            return false
        }
        return view.input.nowMs - mergeableSinceMs.getOrPut(boundary) { view.input.nowMs } >= settings.mergeDelayMs
    }

    private fun boundaryOf(right: RangeEntry): Pair<ServiceName, String> = right.service to right.range.from

    private fun undeclaredBoundaries(view: PlacementView, service: ServiceName): List<Pair<RangeEntry, RangeEntry>> {
        val declared =
            view.config.ranges.values
                .filter { it.service == service }
                .map { it.range.from }
                .toSet()
        return view.table.ranges(service).zipWithNext().filter { (left, right) ->
            left.range.to == right.range.from && right.range.from !in declared
        }
    }

    private fun hasEligibleOwner(view: PlacementView, entry: RangeEntry): Boolean = view.isEligible(entry.owner, entry.service)

    /**
     * Returns whether neither range has a key that might soon be split off again and, if the ranges have different owners, whether one of
     * them has so little load that it can move to the owner of the other.
     */
    private fun isMergeable(load: ServiceLoad, left: RangeEntry, right: RangeEntry): Boolean {
        val reports = listOf(load.rangeLoad(left) ?: return false, load.rangeLoad(right) ?: return false)
        if (load.totalRate < settings.minServiceRate) return true
        val hottestKeyRate = reports.maxOf { report -> report.hotKeys.maxOfOrNull { it.requestsPerSecond } ?: 0.0 }
        val smallerRate = reports.minOf { it.requestsPerSecond }
        if (hottestKeyRate > settings.hotKeyShare * MERGE_HOT_KEY_FACTOR * load.meanRate) return false
        return left.owner == right.owner || (smallerRate <= settings.mergeShare * load.meanRate && canMoveSmaller(load, left, right))
    }

    private fun canMoveSmaller(load: ServiceLoad, left: RangeEntry, right: RangeEntry): Boolean {
        val (moved, kept) = smallerFirst(load, left, right)
        return load.loadOf(kept.owner, load.rangeLoad(moved)?.requestsPerSecond ?: 0.0) <=
            settings.maxImbalance * MIN_IMPROVEMENT_FACTOR * load.meanLoad
    }

    private fun smallerFirst(load: ServiceLoad, left: RangeEntry, right: RangeEntry): Pair<RangeEntry, RangeEntry> {
        val isLeftSmaller = (load.rangeLoad(left)?.requestsPerSecond ?: 0.0) < (load.rangeLoad(right)?.requestsPerSecond ?: 0.0)
        return if (isLeftSmaller) left to right else right to left
    }

    /** Merges ranges of the same owner. If the owners differ, first moves the range with the smaller load to the owner of the other. */
    private fun merge(load: ServiceLoad, left: RangeEntry, right: RangeEntry): PlacementAction {
        val (moved, kept) = smallerFirst(load, left, right)
        val record =
            if (left.owner == right.owner) {
                ControlRecord.RangesMerged(left.service, left.range, right.range, left.epoch, right.epoch)
            } else {
                ControlRecord.MoveStarted(moved.service, moved.range, moved.epoch, kept.owner)
            }
        return PlacementAction(left.service, "merge ${left.range} ${right.range}", record)
    }

    private fun split(entry: RangeEntry, at: String): PlacementAction =
        PlacementAction(
            entry.service,
            "split ${entry.range} since ${entry.epoch}",
            ControlRecord.RangeSplit(entry.service, entry.range, at, entry.epoch),
        )
}
