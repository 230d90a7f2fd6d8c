package yuccaflow.router

/**
 * Limits retries and hedges to a share of the requests: each request deposits [share] tokens, up to a balance of [burst], and each retry
 * or hedge withdraws one.
 */
internal class TokenBudget(
    private val share: Double,
    private val burst: Double,
    initial: Double,
) {
    private var tokens = initial

    /** Deposits the tokens for one request. */
    @Synchronized
    fun deposit() {
        tokens = (tokens + share).coerceAtMost(burst)
    }

    /** Withdraws one token. Returns false when the balance is below one. */
    @Synchronized
    fun tryWithdraw(): Boolean {
        if (tokens < 1) return false
        tokens--
        return true
    }
}
