package yuccaflow.control

private const val MINUTE_MS = 60_000L

/** A move must lower the larger of the two loads by this factor at least, so that noise does not move ranges back and forth. */
private const val WORTHWHILE_FACTOR = 0.95

/** Parts with a key above this share of the bound for splitting stay apart, since the key could soon be split off again. */
private const val CALM_KEY_FACTOR = 0.8

/** The smallest code point: a key followed by it is the next key in order. */
private const val LEAST_CHARACTER = '\u0000'

/** Plans moves, splits and merges that follow the load. */
internal class LoadPlanner(
    private val settings: PlacementSettings,
) {
    private val imbalancedSinceMs = mutableMapOf<ServiceName, Long>()
    private val movesSeenAtMs = mutableMapOf<Long, Pair<ServiceName, Long>>()
    private val quietSinceMs = mutableMapOf<Pair<ServiceName, String>, Long>()

    /** Splits off hot keys, moves at most one range per service for balance, and merges quiet parts. */
    fun needs(view: PlacementView): List<PlacementNeed> {
        val services = view.config.services.values
            .filter { it.isKeyed }
            .map { it.name }
        noteMoves(view)
        imbalancedSinceMs.keys.retainAll(services.toSet())
        val loads = services.map { ServiceLoad(view, it) }
        val changes =
            loads.flatMap { load ->
                val entries = view.table.ranges(load.service)
                hotKeySplits(load, entries) + listOfNotNull(rebalance(view, load, entries))
            }
        return changes + merges(view, loads)
    }

    /** Remembers when each move was first seen, so that the budget holds whichever router started it. */
    private fun noteMoves(view: PlacementView) {
        val nowMs = view.input.nowMs
        movesSeenAtMs.values.removeIf { (_, seenAtMs) -> nowMs - seenAtMs >= MINUTE_MS }
        for (service in view.table.services) {
            for (entry in view.table.ranges(service)) {
                val move = entry.move ?: continue
                if (view.isFit(entry.owner, service)) movesSeenAtMs.putIfAbsent(move.epoch, service to nowMs)
            }
        }
    }

    private fun hotKeySplits(load: ServiceLoad, entries: List<RangeEntry>): List<PlacementNeed> {
        if (load.totalRate < settings.loadFloor) return emptyList()
        return entries.filter { it.move == null }.mapNotNull { entry ->
            val hot = load.of(entry)?.hotKeys?.firstOrNull {
                it.key in entry.range &&
                    it.requestsPerSecond > settings.hotKeyShare * load.meanRate
            }
            hot?.let { splitPoint(entry.range, it.key) }?.let { split(entry, it) }
        }
    }

    /** Where to split [range] next so that [key] gets a range of its own; null when it has one. */
    private fun splitPoint(range: KeyRange, key: String): String? {
        val next = key + LEAST_CHARACTER
        return if (range.from != key) key else next.takeIf { range.to != it }
    }

    private fun rebalance(view: PlacementView, load: ServiceLoad, entries: List<RangeEntry>): PlacementNeed? {
        val service = load.service
        val nowMs = view.input.nowMs
        val isMoving = entries.any { it.move != null }
        val isImbalanced = !isMoving && load.totalRate >= settings.loadFloor && load.imbalance > settings.imbalanceBound
        if (!isImbalanced) {
            imbalancedSinceMs -= service
            return null
        }
        val lastedMs = nowMs - imbalancedSinceMs.getOrPut(service) { nowMs }
        val spent = movesSeenAtMs.values.count { it.first == service }
        if (lastedMs < settings.imbalanceLastsMs || spent >= settings.rebalancesPerMinute) return null
        val own = entries.filter { it.owner == load.hottest }
        return bestMove(load, own) ?: medianSplit(load, own)
    }

    /** The move off the hottest target that leaves the lower load, if it is worth it. */
    private fun bestMove(load: ServiceLoad, own: List<RangeEntry>): PlacementNeed? {
        val hottest = load.hottest ?: return null
        val options =
            own.flatMap { entry ->
                val rate = load.of(entry)?.requestsPerSecond ?: return@flatMap emptyList()
                load.targets.filter { it != hottest }.map { to ->
                    Triple(entry, to, maxOf(load.loadOf(hottest, -rate), load.loadOf(to, rate)))
                }
            }
        val (entry, to, resulting) = options.minWithOrNull(compareBy({ it.third }, { it.second.value })) ?: return null
        if (resulting > load.loadOf(hottest) * WORTHWHILE_FACTOR) return null
        val record = ControlRecord.MoveStarted(entry.service, entry.range, entry.epoch, to)
        return PlacementNeed(entry.service, "rebalance", record)
    }

    /** Halves the largest range of the hottest target when no whole range can be moved to advantage, but half of it can. */
    private fun medianSplit(load: ServiceLoad, own: List<RangeEntry>): PlacementNeed? {
        val entry = own.maxByOrNull { load.of(it)?.requestsPerSecond ?: 0.0 } ?: return null
        val report = load.of(entry) ?: return null
        val median = report.medianKey?.takeIf { it in entry.range && it != entry.range.from } ?: return null
        val half = report.requestsPerSecond / 2
        val lowest = load.targets.filter { it != entry.owner }.minOfOrNull { load.loadOf(it, half) } ?: return null
        val helps = maxOf(load.loadOf(entry.owner, -half), lowest) <= load.loadOf(entry.owner) * WORTHWHILE_FACTOR
        return if (helps) split(entry, median) else null
    }

    /** Merges neighbours that no declared boundary separates and that nothing has kept apart for long enough. */
    private fun merges(view: PlacementView, loads: List<ServiceLoad>): List<PlacementNeed> {
        val boundaries = loads.flatMap { load -> undeclaredBoundaries(view, load.service).map { load to it } }
        quietSinceMs.keys.retainAll(boundaries.map { (_, pair) -> boundaryOf(pair.second) }.toSet())
        val taken = mutableSetOf<RangeEntry>()
        return boundaries.mapNotNull { (load, pair) ->
            val (left, right) = pair
            val isFree = left !in taken && right !in taken
            if (!hasBeenQuiet(view, load, left, right) || !isFree) return@mapNotNull null
            taken += listOf(left, right)
            merge(load, left, right)
        }
    }

    /** Times how long nothing has kept the two parts apart. A part that moves or has no report yet neither starts nor ends the time. */
    private fun hasBeenQuiet(view: PlacementView, load: ServiceLoad, left: RangeEntry, right: RangeEntry): Boolean {
        val isSettled = left.move == null && right.move == null && isKept(view, left) && isKept(view, right)
        if (!isSettled || load.of(left) == null || load.of(right) == null) return false
        val boundary = boundaryOf(right)
        if (!isQuiet(load, left, right)) {
            quietSinceMs -= boundary
            return false
        }
        return view.input.nowMs - quietSinceMs.getOrPut(boundary) { view.input.nowMs } >= settings.quietForMs
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

    private fun isKept(view: PlacementView, entry: RangeEntry): Boolean = view.isFit(entry.owner, entry.service)

    /**
     * Tells whether neither part has a key that could be split off again soon, and, if the parts have two owners, whether one of them bears
     * little enough to move to the other.
     */
    private fun isQuiet(load: ServiceLoad, left: RangeEntry, right: RangeEntry): Boolean {
        val reports = listOf(load.of(left) ?: return false, load.of(right) ?: return false)
        if (load.totalRate < settings.loadFloor) return true
        val busiest = reports.maxOf { report -> report.hotKeys.maxOfOrNull { it.requestsPerSecond } ?: 0.0 }
        val smaller = reports.minOf { it.requestsPerSecond }
        if (busiest > settings.hotKeyShare * CALM_KEY_FACTOR * load.meanRate) return false
        return left.owner == right.owner || (smaller <= settings.quietShare * load.meanRate && canTake(load, left, right))
    }

    private fun canTake(load: ServiceLoad, left: RangeEntry, right: RangeEntry): Boolean {
        val (moved, kept) = smallerFirst(load, left, right)
        return load.loadOf(kept.owner, load.of(moved)?.requestsPerSecond ?: 0.0) <=
            settings.imbalanceBound * WORTHWHILE_FACTOR * load.meanLoad
    }

    private fun smallerFirst(load: ServiceLoad, left: RangeEntry, right: RangeEntry): Pair<RangeEntry, RangeEntry> {
        val isLeftSmaller = (load.of(left)?.requestsPerSecond ?: 0.0) < (load.of(right)?.requestsPerSecond ?: 0.0)
        return if (isLeftSmaller) left to right else right to left
    }

    /** Parts of one owner are merged at once; of two owners' parts the smaller one first moves to the owner of the other. */
    private fun merge(load: ServiceLoad, left: RangeEntry, right: RangeEntry): PlacementNeed {
        val (moved, kept) = smallerFirst(load, left, right)
        val record =
            if (left.owner == right.owner) {
                ControlRecord.RangesMerged(left.service, left.range, right.range, left.epoch, right.epoch)
            } else {
                ControlRecord.MoveStarted(moved.service, moved.range, moved.epoch, kept.owner)
            }
        return PlacementNeed(left.service, "merge ${left.range} ${right.range}", record)
    }

    private fun split(entry: RangeEntry, at: String): PlacementNeed =
        PlacementNeed(
            entry.service,
            "split ${entry.range} since ${entry.epoch}",
            ControlRecord.RangeSplit(entry.service, entry.range, at, entry.epoch),
        )
}
