package yuccaflow.control

/**
 * A policy that keeps each target with a primary and each declared key with an owner that is in service, and evens out the load within
 * [settings]. It remembers what it has seen, so each router keeps one instance and calls it from one coroutine. Its input must come from a
 * router whose lease is valid.
 */
fun placementPolicy(settings: PlacementSettings = PlacementSettings()): PlacementPolicy = RankedPlacementPolicy(settings)

private class RankedPlacementPolicy(
    private val settings: PlacementSettings,
) : PlacementPolicy {
    private val primaries = PrimaryPlanner(settings)
    private val ranges = RangePlanner()
    private val loads = LoadPlanner(settings)
    private val ledger = NeedLedger(settings)

    override fun decide(input: PlacementInput): List<ControlRecord> {
        val view = PlacementView(input, settings)
        // Keys without service come first, then what operators asked for, then what only improves the load.
        val needs =
            ranges.releases(view) + primaries.assignments(view) + ranges.cancels(view) + ranges.firstOwners(view) + ranges.moves(view) +
                ranges.boundarySplits(view) + loads.needs(view)
        return ledger.due(input.nowMs, onePerRange(needs), view::rankOfSelf)
    }

    override fun handovers(input: PlacementInput): List<ControlRecord.PrimaryAssigned> =
        primaries.handovers(PlacementView(input, settings))

    /** Leaves out needs that concern a range for which an earlier need already plans something, since one of the two would be void. */
    private fun onePerRange(needs: List<PlacementNeed>): List<PlacementNeed> {
        val planned = mutableSetOf<Pair<ServiceName, KeyRange>>()
        return needs.filter { need ->
            val concerned = rangesOf(need.record).map { need.service to it }
            val isFree = concerned.none { it in planned }
            if (isFree) planned += concerned
            isFree
        }
    }

    private fun rangesOf(record: ControlRecord): List<KeyRange> =
        when (record) {
            is ControlRecord.MoveStarted -> listOf(record.range)
            is ControlRecord.RangeReleased -> listOf(record.range)
            is ControlRecord.MoveCancelled -> listOf(record.range)
            is ControlRecord.RangeSplit -> listOf(record.range)
            is ControlRecord.RangesMerged -> listOf(record.left, record.right)
            else -> emptyList()
        }
}
