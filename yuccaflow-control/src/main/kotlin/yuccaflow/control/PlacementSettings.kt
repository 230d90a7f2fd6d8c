package yuccaflow.control

/** Limits and delays of the placement policy. */
data class PlacementSettings(
    /** Delay per rank before a router appends a record that the routers ranked before it have not appended. */
    val rankDelayMs: Long = 500,
    /** Time after which a record that has not been read back is returned again. */
    val retryAfterMs: Long = 500,
    /** Time after which a target that its primary cannot reach is treated as lost. */
    val lostAfterMs: Long = 800,
    /** Largest tolerated ratio of the highest to the mean load of the targets, relative to their capacities. */
    val maxImbalance: Double = 1.25,
    /** Time for which an imbalance must persist before a range is moved. */
    val imbalanceDelayMs: Long = 3_000,
    /** Maximum number of rebalancing moves per service and minute. */
    val maxRebalancesPerMinute: Int = 12,
    /** Maximum number of concurrent moves to one target, so that its load grows gradually. */
    val maxMovesPerTarget: Int = 4,
    /** Request rate of a single key, as a share of the mean rate per target, above which the key is split off. */
    val hotKeyShare: Double = 0.5,
    /** Request rate, as a share of the mean rate per target, up to which a range moves to the owner of an adjacent one to be merged. */
    val mergeShare: Double = 0.2,
    /** Time for which two adjacent ranges must have been mergeable before they are merged. */
    val mergeDelayMs: Long = 60_000,
    /** Requests per second of a service below which its loads are too small to act on. */
    val minServiceRate: Double = 10.0,
    /** Minimum time between two handovers that only even out the number of targets per router. */
    val handoverIntervalMs: Long = 1_000,
)
