package yuccaflow.entry.balance

/** A token bucket whose rate and size are passed with each call, because both depend on the number of routers. A new bucket is full. */
internal class TokenBucket {
    private var tokens: Double? = null
    private var refilledAtMs = 0L

    /** Takes one token if there is one. */
    fun tryAcquire(nowMs: Long, ratePerS: Double, size: Double): Boolean {
        val before = tokens
        val refilled = if (before == null) size else minOf(size, before + (nowMs - refilledAtMs) * ratePerS / MS_PER_S)
        refilledAtMs = nowMs
        tokens = if (refilled >= 1) refilled - 1 else refilled
        return refilled >= 1
    }

    /** Returns whether [tryAcquire] would succeed. */
    fun hasToken(nowMs: Long, ratePerS: Double, size: Double): Boolean {
        val before = tokens ?: return size >= 1
        return minOf(size, before + (nowMs - refilledAtMs) * ratePerS / MS_PER_S) >= 1
    }

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}
