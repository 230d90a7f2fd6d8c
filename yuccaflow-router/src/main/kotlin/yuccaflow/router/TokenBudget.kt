package yuccaflow.router

/** Allows extra sends as a share of the requests: each request adds [share] of a token, up to [burst]. */
internal class TokenBudget(
    private val share: Double,
    private val burst: Double,
    initial: Double,
) {
    private var tokens = initial

    /** Counts one request. */
    @Synchronized
    fun deposit() {
        tokens = (tokens + share).coerceAtMost(burst)
    }

    /** Tells whether one extra send is allowed, and counts it. */
    @Synchronized
    fun tryWithdraw(): Boolean {
        if (tokens < 1) return false
        tokens--
        return true
    }
}
