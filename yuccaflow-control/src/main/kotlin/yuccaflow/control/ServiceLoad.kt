package yuccaflow.control

/** Loads of one divided service, from the latest reports. Only targets that are fit and reported count. */
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

    /** Requests per second of a target if all had the same. */
    val meanRate: Double = if (loads.isEmpty()) 0.0 else totalRate / loads.size

    /** Requests per second per slot over all targets. */
    val meanLoad: Double = totalRate / maxOf(1.0, loads.values.sumOf { it.capacity })

    /** Largest over mean load, weighted by capacity; 1 when nothing is known. */
    val imbalance: Double = if (meanLoad <= 0) 1.0 else (loads.keys.maxOfOrNull { loadOf(it) } ?: meanLoad) / meanLoad

    val hottest: TargetId? = loads.keys.sortedBy { it.value }.maxByOrNull { loadOf(it) }

    val targets: Set<TargetId> get() = loads.keys

    /** Requests per second per slot that [target] bears, with [extraRate] more than now. */
    fun loadOf(target: TargetId, extraRate: Double = 0.0): Double =
        loads.getValue(target).let { (it.requestsPerSecond + extraRate) / maxOf(1.0, it.capacity) }

    /** The report for exactly this range at its owner, or null when there is none yet. */
    fun of(entry: RangeEntry): RangeLoad? = byRange[entry.owner to entry.range]
}
