package yuccaflow.entry.keys

/**
 * Times of the ownership of keys.
 *
 * @property grantDurationMs how long a grant lasts without renewal. It bounds how long keys of a target that fell silent are without an owner,
 * and how long they are served when no router can renew.
 * @property renewMs time between renewals.
 * @property authorityMs how long the planner may act after a read that showed no other planner. It bounds how long the keys are renewed
 * while the store is down, and how long a successor waits before it moves keys.
 * @property orderTimeoutMs how long a grant may be on its way; then it is given up.
 * @property memberTtlMs how long a silent router stays in the group.
 * @property confirmGatherMs pause after a target has confirmed a grant, which lets one append tell of several.
 * @property clockDrift how much slower another process's clock may run.
 */
internal data class KeyOwnershipSettings(
    val grantDurationMs: Long = 5_000,
    val renewMs: Long = 800,
    val renewRetryMs: Long = 150,
    val orderTimeoutMs: Long = 400,
    val releaseTimeoutMs: Long = 1_200,
    val authorityMs: Long = 5_000,
    val authorityReadWaitMs: Long = 1_000,
    val memberTtlMs: Long = 1_800,
    val joinPeriodMs: Long = 550,
    val candidateSettleMs: Long = 500,
    val planPeriodMs: Long = 200,
    val balancePeriodMs: Long = 700,
    val confirmGatherMs: Long = 20,
    val firstPlanSettleMs: Long = 1_500,
    val clockDrift: Double = 0.02,
    val marginMs: Long = 100,
) {
    /** How long a grant may last on a slow clock, counted from when it arrived. */
    val maxGrantDurationMs: Long get() = (grantDurationMs * (1 + 2 * clockDrift)).toLong() + marginMs

    /** How long another planner may act after the store has answered that it is replaced. */
    val maxAuthorityMs: Long get() = (authorityMs * (1 + 2 * clockDrift)).toLong() + marginMs
}
