package yuccaflow.control

/** Bounds and times of the placement rules. */
data class PlacementSettings(
    /** Delay per rank before a router acts on a need that the routers ranked before it have left. */
    val rankDelayMs: Long = 500,
    /** Time after which a record that was not read back is returned again. */
    val repeatMs: Long = 500,
    /** Time after which a target that its primary cannot reach counts as lost. */
    val lostAfterMs: Long = 800,
    /** Largest over mean load that is left alone, weighted by capacity. */
    val imbalanceBound: Double = 1.25,
    /** Time for which the imbalance must last before a range is moved for it. */
    val imbalanceLastsMs: Long = 3_000,
    /** Rebalancing moves of one service within a minute. */
    val rebalancesPerMinute: Int = 12,
    /** Concurrent moves to one target, so that it can take the ramp. */
    val movesPerTarget: Int = 4,
    /** Share of the mean load of a target above which a single key is split off. */
    val hotKeyShare: Double = 0.5,
    /** Share of the mean load of a target up to which a part of a range moves to the owner of its neighbour, to be merged with it. */
    val quietShare: Double = 0.2,
    /** Time for which nothing must keep two parts of a range apart before they are merged. */
    val quietForMs: Long = 60_000,
    /** Requests per second of a service below which its loads say nothing. */
    val loadFloor: Double = 10.0,
    /** Time between two handovers that only even out the number of targets per router. */
    val handoverIntervalMs: Long = 1_000,
)
