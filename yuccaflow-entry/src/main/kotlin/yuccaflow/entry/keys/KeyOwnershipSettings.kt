package yuccaflow.entry.keys

/**
 * Timing of key ownership.
 *
 * @property grantDurationMs how long a grant lasts without renewal. It bounds how long the keys of an unresponsive target stay without an
 * owner, and how long keys are served while no router can renew grants.
 * @property minRenewIntervalMs time between renewals of the only grant of a target. Each one also shows whether the target is running.
 * @property maxRenewIntervalMs longest time between renewals of a grant. It leaves time for further attempts before the grant expires.
 * @property retryDelayMs delay before a failed call to a target is repeated, and between checks whether calls are allowed again.
 * @property refusedRetryDelayMs longest delay before a release is repeated at a target that refuses connections.
 * @property grantTimeoutMs how long a grant may be in transit before it is abandoned.
 * @property authorityMs how long the planner may act after the start of a read that showed no other planner. It bounds how long grants are
 * renewed while the store is down, and how long a successor waits before it moves keys.
 * @property authorityReadWaitMs the longest wait of the planner's reads of the routers' stream, which confirm its authority.
 * @property memberTtlMs how long a router stays in the group without a heartbeat.
 * @property joinIntervalMs time between the heartbeats of a router to the group.
 * @property candidateStabilityMs how long a router must have been the candidate before it becomes the first planner.
 * @property capacitiesKnownMs how long the routers wait for each other's membership records at the first start of the system.
 * @property smallHostDelayMs how long routers on small hosts leave it to those on larger ones to replace a planner that does not answer.
 * @property largeHostsSettleMs how long routers on small hosts leave the first election to those on larger ones, which start at different
 * times and each cause a rebalance of the group when they join.
 * @property planIntervalMs the longest time between two planning rounds.
 * @property minBalanceIntervalMs the shortest time between two moves that balance load.
 * @property confirmationBatchDelayMs delay after a target has confirmed a grant, so that one append can cover several confirmations.
 * @property initialStabilityMs how long the targets of a service must not change before its keys are distributed for the first time.
 * @property clockDrift assumed upper bound of the fraction by which the clock of another process is slower.
 * @property timingMarginMs margin that is added to time limits which another process observes.
 */
internal data class KeyOwnershipSettings(
    val grantDurationMs: Long = 5_000,
    val minRenewIntervalMs: Long = 800,
    val maxRenewIntervalMs: Long = 2_000,
    val retryDelayMs: Long = 150,
    val refusedRetryDelayMs: Long = 1_000,
    val grantTimeoutMs: Long = 400,
    val releaseTimeoutMs: Long = 1_200,
    val authorityMs: Long = 5_000,
    val authorityReadWaitMs: Long = 1_000,
    val memberTtlMs: Long = 1_800,
    val joinIntervalMs: Long = 550,
    val candidateStabilityMs: Long = 500,
    val capacitiesKnownMs: Long = 3_500,
    val smallHostDelayMs: Long = 1_500,
    val largeHostsSettleMs: Long = 5_000,
    val planIntervalMs: Long = 200,
    val minBalanceIntervalMs: Long = 700,
    val confirmationBatchDelayMs: Long = 20,
    val initialStabilityMs: Long = 1_500,
    val clockDrift: Double = 0.02,
    val timingMarginMs: Long = 100,
) {
    /**
     * Returns the time between renewals of each grant of a target that has [rangeCount] grants. A target with many grants is called about
     * as often as one with a single grant, so that the work of the planner grows with the targets and not with the ranges.
     */
    fun renewIntervalMs(rangeCount: Int): Long = (minRenewIntervalMs * rangeCount).coerceAtMost(maxRenewIntervalMs)

    /** How long a grant may last on a target with a slow clock, counted from its arrival there. */
    val maxGrantDurationMs: Long get() = (grantDurationMs * (1 + 2 * clockDrift)).toLong() + timingMarginMs

    /** How long another planner may continue to act after the store has confirmed that it was replaced. */
    val maxAuthorityMs: Long get() = (authorityMs * (1 + 2 * clockDrift)).toLong() + timingMarginMs

    /** How long after a claim in a new era of the store a grant may be valid that the planner does not know, as its record was lost. */
    val unknownGrantsMs: Long get() = maxAuthorityMs + grantTimeoutMs + maxGrantDurationMs
}
