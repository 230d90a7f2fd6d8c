package yuccaflow.control

/**
 * Creates a policy that gives each target a primary and each declared key an owner that is in service, and balances the load according to
 * [settings]. The policy is stateful: each router keeps one instance and calls it from one coroutine. Its input must come from a router
 * whose lease is valid.
 */
fun placementPolicy(settings: PlacementSettings = PlacementSettings()): PlacementPolicy = RankedPlacementPolicy(settings)

private class RankedPlacementPolicy(
    private val settings: PlacementSettings,
) : PlacementPolicy {
    private val primaries = PrimaryPlanner(settings)
    private val ranges = RangePlanner()
    private val loads = LoadPlanner(settings)
    private val scheduler = PlacementScheduler(settings)

    override fun decide(input: PlacementInput): List<ControlRecord> {
        val view = PlacementView(input, settings)
        // Keys that are not served come first, then changes of the configuration, then load balancing.
        val actions =
            ranges.releases(view) + primaries.assignments(view) + ranges.cancellations(view) + ranges.firstOwners(view) +
                ranges.moves(view) + ranges.boundarySplits(view) + loads.actions(view)
        return scheduler.due(input.nowMs, onePerRange(actions), view::rankOfSelf)
    }

    override fun handovers(input: PlacementInput): List<ControlRecord.PrimaryAssigned> =
        primaries.handovers(PlacementView(input, settings))

    /** Drops actions on a range on which an earlier action is planned already, since one of the two records would be void. */
    private fun onePerRange(actions: List<PlacementAction>): List<PlacementAction> {
        val planned = mutableSetOf<Pair<ServiceName, KeyRange>>()
        return actions.filter { action ->
            val affected = rangesOf(action.record).map { action.service to it }
            val isFree = affected.none { it in planned }
            if (isFree) planned += affected
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
