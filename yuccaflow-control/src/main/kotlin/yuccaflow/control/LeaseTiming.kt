package yuccaflow.control

/** Durations of the lease protocol. The lease of a lost router is ended about [suspectAfterMs] + [endWaitMs] after the loss. */
data class LeaseTiming(
    val heartbeatMs: Long = 250,
    val leaseMs: Long = 1_200,
    /** Safety margin for clock drift: covers clocks whose rates differ by less than 2% over a lease. */
    val driftMarginMs: Long = 60,
    val suspectAfterMs: Long = 600,
    /** Upper bound of the random delay before a suspicion, so that the witnesses of one router do not all append it. */
    val suspectJitterMs: Long = 150,
    /** Time after which a record that has not been read back is appended again. */
    val retryAfterMs: Long = 500,
) {
    /** Minimum time between reading the record that completes the majority of witnesses and appending the end of the lease. */
    val endWaitMs: Long get() = leaseMs + driftMarginMs
}
