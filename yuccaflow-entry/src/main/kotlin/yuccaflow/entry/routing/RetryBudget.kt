package yuccaflow.entry.routing

/**
 * Limits of the additional load that the retries of all routers together may cause, for each service.
 *
 * @property share retries allowed per request, as a fraction.
 * @property extraSends retries allowed in each window of [windowMs] in addition to [share].
 */
data class RetryBudgetSettings(
    val share: Double,
    val extraSends: Double,
    val windowMs: Long,
)

/**
 * This router's share of the retry budget for one service, as a token bucket. It starts empty, because the router's previous process may
 * have spent the budget of the current window.
 */
internal class RetryBudget(
    private val settings: RetryBudgetSettings,
    private val routerCount: () -> Int,
) {
    private var tokens = 0.0
    private var refilledAtMs: Long? = null

    /** Adds the share of one request to the budget. */
    fun deposit(nowMs: Long) {
        refill(nowMs)
        tokens = (tokens + settings.share * USED_FRACTION).coerceAtMost(capacity())
    }

    /** Takes one retry from the budget. Returns false if the budget is used up. */
    fun tryWithdraw(nowMs: Long): Boolean {
        refill(nowMs)
        if (tokens < 1) return false
        tokens--
        return true
    }

    private fun refill(nowMs: Long) {
        val before = refilledAtMs ?: nowMs
        refilledAtMs = nowMs
        tokens = (tokens + (nowMs - before) * ownExtraSends() / settings.windowMs).coerceAtMost(capacity())
    }

    private fun ownExtraSends(): Double = settings.extraSends * USED_FRACTION / routerCount()

    // Half of the router's share: one window can see a full bucket and what is refilled during the window.
    private fun capacity(): Double = maxOf(1.0, ownExtraSends() / 2)

    private companion object {
        /** Fraction of the budget that is used. The rest covers routers that are not known yet and requests that others count later. */
        const val USED_FRACTION = 0.6
    }
}
