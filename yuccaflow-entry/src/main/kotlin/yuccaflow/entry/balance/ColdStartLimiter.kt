package yuccaflow.entry.balance

import yuccaflow.control.rendezvousRank
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.config.ServiceConfig

/**
 * How far the requests of all routers together may exceed the request rate that a service states for its cold targets.
 *
 * In any second, a cold target may receive [factor] times that rate, plus [slack] requests.
 */
data class ColdStartLimits(
    val factor: Double,
    val slack: Double,
)

/**
 * Limits the requests that this router sends to cold targets to its share of the rate that all [routers] together may send.
 *
 * Each router has a bucket of one token per target. If the number of routers is so large that emptying all buckets within one second
 * would exceed the limit, only a subset of the routers, chosen by rendezvous hashing, sends to the target.
 *
 * @property node name of this router.
 * @property routers returns the names of all known routers.
 */
internal class ColdStartLimiter(
    private val node: String,
    private val limits: ColdStartLimits,
    private val operators: OperatorState,
    private val routers: () -> Set<String>,
) {
    /** Returns whether [tryAcquire] would succeed: the target is warm, or this router still has a token for it. */
    fun wouldAdmit(target: TargetState, serviceConfig: ServiceConfig, nowMs: Long): Boolean {
        if (!isCold(target, serviceConfig, nowMs)) return true
        val senders = senderCount(target, serviceConfig) ?: return false
        return target.coldTokens.hasToken(nowMs, ratePerS(serviceConfig, senders), BUCKET_SIZE)
    }

    /** Takes a token for a request if the target is cold. Returns false if this router has no token left for the target. */
    fun tryAcquire(target: TargetState, serviceConfig: ServiceConfig, nowMs: Long): Boolean {
        if (!isCold(target, serviceConfig, nowMs)) return true
        val senders = senderCount(target, serviceConfig) ?: return false
        return target.coldTokens.tryAcquire(nowMs, ratePerS(serviceConfig, senders), BUCKET_SIZE)
    }

    private fun isCold(target: TargetState, serviceConfig: ServiceConfig, nowMs: Long): Boolean {
        // Targets of an emptied zone may have turned cold meanwhile without reporting it.
        val returnedAtMs = operators.returnedAtMs(target.entry.zone)
        return nowMs < target.coldUntilMs ||
            (returnedAtMs != null && nowMs - returnedAtMs < serviceConfig.coldStartMs + ZONE_RETURN_MARGIN_MS)
    }

    /** Returns the number of routers that send to the cold target, or null if this router is not one of them. */
    private fun senderCount(target: TargetState, serviceConfig: ServiceConfig): Int? {
        val all = routers() + node
        val maxSenders = (serviceConfig.coldPerS * (limits.factor - USED_FRACTION) + limits.slack).toInt().coerceAtLeast(1)
        if (all.size <= maxSenders) return all.size
        return maxSenders.takeIf { node in rendezvousRank(target.entry.id, all).take(maxSenders) }
    }

    private fun ratePerS(serviceConfig: ServiceConfig, senders: Int): Double = serviceConfig.coldPerS * USED_FRACTION / senders

    private companion object {
        const val BUCKET_SIZE = 1.0

        /** Fraction of the stated rate that is used. The rest covers routers that have just started and are not counted yet. */
        const val USED_FRACTION = 0.9

        /** How much longer than the cold-start time the targets of a returned zone count as cold. */
        const val ZONE_RETURN_MARGIN_MS = 1_000L
    }
}
