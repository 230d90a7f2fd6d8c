package yuccaflow.control

/** Load of one keyed service, from the latest reports. Covers only possible destinations whose load has been reported. */
internal class ServiceLoad(
    view: PlacementView,
    val service: ServiceName,
) {
    private val loads: Map<TargetId, TargetLoad> =
        view
            .destinations(service)
            .mapNotNull { view.input.loads[it.id] }
            .filter { it.isReachable && it.service == service }
            .associateBy { it.target }

    private val byRange: Map<Pair<TargetId, KeyRange>, RangeLoad> =
        loads.values.flatMap { load -> load.ranges.map { (load.target to it.range) to it } }.toMap()

    val totalRate: Double = loads.values.sumOf { it.requestsPerSecond }

    /** Mean requests per second per target. */
    val meanRate: Double = if (loads.isEmpty()) 0.0 else totalRate / loads.size

    /** Requests per second per slot over all targets. */
    val meanLoad: Double = totalRate / maxOf(1.0, loads.values.sumOf { it.capacity })

    /** Ratio of the highest target load to [meanLoad]; 1 if nothing is known. */
    val imbalance: Double = if (meanLoad <= 0) 1.0 else (loads.keys.maxOfOrNull { loadOf(it) } ?: meanLoad) / meanLoad

    val hottest: TargetId? = loads.keys.sortedBy { it.value }.maxByOrNull { loadOf(it) }

    val targets: Set<TargetId> get() = loads.keys

    /** Requests per second per slot of [target] if its request rate changed by [extraRate]. */
    fun loadOf(target: TargetId, extraRate: Double = 0.0): Double =
        loads.getValue(target).let { (it.requestsPerSecond + extraRate) / maxOf(1.0, it.capacity) }

    /** The reported load of the range of [entry] at its owner; null if there is no report for these bounds yet. */
    fun rangeLoad(entry: RangeEntry): RangeLoad? = byRange[entry.owner to entry.range]
}
