package yuccaflow.control

/** Times of the lease rules. A router lost at a moment has its lease ended about [suspectAfterMs] + [endWaitMs] later. */
data class LeaseTiming(
    val heartbeatMs: Long = 250,
    val leaseMs: Long = 1_200,
    /** Covers clocks whose rates differ by less than 2% over a lease. */
    val driftMarginMs: Long = 60,
    val suspectAfterMs: Long = 600,
    /** Longest random delay before a suspicion, so that the witnesses of one router do not all write. */
    val suspectSpreadMs: Long = 150,
    /** Time after which a record that was not read back is appended again. */
    val repeatMs: Long = 500,
) {
    /** Time from reading the last record that is needed until the end of a lease may be appended. */
    val endWaitMs: Long get() = leaseMs + driftMarginMs
}
