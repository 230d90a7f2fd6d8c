package yuccaflow.entry.balance

import yuccaflow.control.rendezvousRank
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.config.ServiceConfig

/**
 * What cold targets bear from all routers together, beside the rate that their service states.
 *
 * @property factor part of the rate that may arrive in any second.
 * @property slack requests that may arrive beside that.
 */
data class ColdStartLimits(
    val factor: Double,
    val slack: Double,
)

/**
 * The requests that this router may send to cold targets: its part of what they bear from all [routers], which are given by name.
 *
 * Each router has a bucket of one token for a target. Where so many buckets could be emptied in one second that the target would get too
 * much, only some of the routers, chosen by hash, send to it.
 */
internal class ColdStartLimiter(
    private val node: String,
    private val bounds: ColdStartLimits,
    private val operators: OperatorState,
    private val routers: () -> Set<String>,
) {
    /** Tells whether the target is warm, or this router's allowance for it is not used up. */
    fun hasRoom(target: TargetState, rules: ServiceConfig, nowMs: Long): Boolean {
        if (!isCold(target, rules, nowMs)) return true
        val senders = senders(target, rules) ?: return false
        return target.coldTokens.hasToken(nowMs, perS(rules, senders), BUCKET_SIZE)
    }

    /** Counts a request to the target. Returns false when the allowance is used up. */
    fun take(target: TargetState, rules: ServiceConfig, nowMs: Long): Boolean {
        if (!isCold(target, rules, nowMs)) return true
        val senders = senders(target, rules) ?: return false
        return target.coldTokens.take(nowMs, perS(rules, senders), BUCKET_SIZE)
    }

    private fun isCold(target: TargetState, rules: ServiceConfig, nowMs: Long): Boolean {
        // Targets of a zone that was emptied may have turned cold meanwhile without a word.
        val returnedAtMs = operators.returnedAtMs(target.entry.zone)
        return nowMs < target.coldUntilMs || (returnedAtMs != null && nowMs - returnedAtMs < rules.coldStartMs + RETURN_MARGIN_MS)
    }

    /** The number of routers that send to the cold target, or null when this one is not among them. */
    private fun senders(target: TargetState, rules: ServiceConfig): Int? {
        val all = routers() + node
        val most = (rules.coldPerS * (bounds.factor - USED_PART) + bounds.slack).toInt().coerceAtLeast(1)
        if (all.size <= most) return all.size
        return most.takeIf { node in rendezvousRank(target.entry.id, all).take(most) }
    }

    private fun perS(rules: ServiceConfig, senders: Int): Double = rules.coldPerS * USED_PART / senders

    private companion object {
        const val BUCKET_SIZE = 1.0

        /** Part of the rate that is used; the rest covers routers that have started just now. */
        const val USED_PART = 0.9
        const val RETURN_MARGIN_MS = 1_000L
    }
}
