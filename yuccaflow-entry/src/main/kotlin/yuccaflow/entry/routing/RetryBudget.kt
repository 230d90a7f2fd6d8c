package yuccaflow.entry.routing

/**
 * What all routers together may add to the targets' load by sending requests again.
 *
 * @property share extra sends as a part of the requests.
 * @property extraSends extra sends in each window beside that part.
 */
data class RetryBudgetSettings(
    val share: Double,
    val extraSends: Double,
    val windowMs: Long,
)

/**
 * This router's part of the budget for one service. A fresh router starts with an empty budget, since its former life may have spent it.
 */
internal class RetryBudget(
    private val settings: RetryBudgetSettings,
    private val routers: () -> Int,
) {
    private var tokens = 0.0
    private var filledAtMs: Long? = null

    /** Counts one request from a caller. */
    fun earn(nowMs: Long) {
        fill(nowMs)
        tokens = (tokens + settings.share * USED_PART).coerceAtMost(burst())
    }

    /** Takes one extra send if the budget has one. */
    fun spend(nowMs: Long): Boolean {
        fill(nowMs)
        if (tokens < 1) return false
        tokens--
        return true
    }

    private fun fill(nowMs: Long) {
        val before = filledAtMs ?: nowMs
        filledAtMs = nowMs
        tokens = (tokens + (nowMs - before) * ownExtra() / settings.windowMs).coerceAtMost(burst())
    }

    private fun ownExtra(): Double = settings.extraSends * USED_PART / routers()

    // With a full bucket, one window can see the burst and what flows in meanwhile.
    private fun burst(): Double = maxOf(1.0, ownExtra() / 2)

    private companion object {
        /** Part of the budget that is used; the rest covers routers whose number is not known yet and requests that others count later. */
        const val USED_PART = 0.6
    }
}
