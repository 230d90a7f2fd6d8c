package yuccaflow.entry.keys

import yuccaflow.base.TimerService
import yuccaflow.entry.store.JoinResult
import yuccaflow.entry.store.KeyedAppendResult
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.RouterGroup
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events

/** Asks another router about its work as planner. */
internal fun interface PlannerProbe {
    /** Returns true when [planner] answers that it acts as planner in this life, false otherwise and when it does not answer. */
    suspend fun isActing(planner: PlannerTerm): Boolean
}

/**
 * What an election works with.
 *
 * @property onClaimed called when this router has appended a planner record that names it.
 */
internal class ElectionDependencies(
    val group: RouterGroup,
    val store: KeyedStore,
    val probe: PlannerProbe,
    val onClaimed: () -> Unit,
)

/**
 * Decides which router plans. The group of live routers names one candidate; it claims the planner record by a conditional append when
 * there is no planner, or when the recorded one neither has a part of the group's work nor answers that it acts. Only the record counts:
 * two candidates at once are harmless.
 */
internal class PlannerElection(
    private val node: String,
    private val life: String,
    private val parts: ElectionDependencies,
    private val records: ClusterState,
    private val timer: TimerService,
    private val settings: KeyOwnershipSettings,
    private val events: EventLog,
) {
    private val member = memberName(node, life)
    private var joined: JoinResult.Joined? = null
    private var joinedAtMs = 0L
    private var candidateSinceMs: Long? = null
    private var hasLost = false
    private var startedTerm = 0L
    private var hasResigned = false

    /** From when on this router as planner may move keys: the former planner can give no order any more. */
    var movesAllowedAtMs: Long = Long.MAX_VALUE
        private set

    private var formerGrantsEndAtMs = Long.MAX_VALUE

    /** Where the stream ended when this router became the planner. */
    private var termEndOffset = Long.MAX_VALUE

    /** Until when a grant of [generation] by a former planner may last; long ago when this term has made the generation. */
    fun formerGrantsEndAtMs(generation: Long): Long = if (generation > termEndOffset) Long.MIN_VALUE else formerGrantsEndAtMs

    /** Stays in the group until cancelled, or until this router resigns. */
    suspend fun stayInGroup() {
        while (!hasResigned) {
            val startedAtMs = timer.nowMs()
            val result = parts.group.join(member, joined?.generation ?: 0, settings.memberTtlMs)
            when (result) {
                is JoinResult.Joined -> noteJoined(result, startedAtMs)
                is JoinResult.Failed -> noteFailed(result)
            }
            timer.sleep((startedAtMs + settings.joinPeriodMs - timer.nowMs()).coerceAtLeast(0))
        }
    }

    /**
     * Gives the planner record up if it names this life, and leaves the group, so that another router can follow at once. Returns false
     * when the record could not be given up.
     */
    suspend fun resign(): Boolean {
        hasResigned = true
        var hasGivenUp = true
        val own = records.planner?.takeIf { it.node == node && it.life == life }
        val end = records.endOffset
        if (own != null && end != null) {
            val vacancy = PlannerTerm(node = "", life = "", term = own.term + 1, haveFormersEnded = timer.nowMs() >= movesAllowedAtMs)
            val result = parts.store.append(KeyedStream.ROUTERS, listOf(ClusterState.plannerChange(vacancy)), end)
            // Without an answer the record may stand, now or seconds later.
            hasGivenUp = result is KeyedAppendResult.Appended || result is KeyedAppendResult.Unknown
        }
        parts.group.leave(member)
        return hasGivenUp
    }

    /** Claims the planner record if this router is to do so. Returns true when it has become the planner. */
    suspend fun claimIfCandidate(): Boolean {
        val end = records.endOffset ?: return false
        if (hasResigned) return false
        val former = records.planner
        // The earlier life of this router has ended for certain, so nobody need be asked.
        val mayClaim = former?.node == node || (isCandidate(isFirst = former == null) && !isAlive(former))
        return mayClaim && claim(former, end)
    }

    /** While the routers start for the first time, the group deals its work anew with each of them, so a candidate waits a little. */
    private fun isCandidate(isFirst: Boolean): Boolean {
        val sinceMs = candidateSinceMs ?: return false
        val nowMs = timer.nowMs()
        return nowMs - joinedAtMs <= settings.memberTtlMs && (!isFirst || nowMs - sinceMs >= settings.candidateSettleMs)
    }

    private suspend fun isAlive(planner: PlannerTerm?): Boolean {
        if (planner == null || planner.isVacant) return false
        val members = parts.group.members() ?: return true
        // The group names no member that has no part of its work, as the ones that joined last.
        return memberName(planner.node, planner.life) in members || parts.probe.isActing(planner)
    }

    private suspend fun claim(former: PlannerTerm?, end: Long): Boolean {
        val term = PlannerTerm(node, life, (former?.term ?: 0) + 1)
        val result = parts.store.append(KeyedStream.ROUTERS, listOf(ClusterState.plannerChange(term)), end)
        if (result !is KeyedAppendResult.Appended) return false
        startedTerm = term.term
        startTerm(former, end + 1)
        parts.onClaimed()
        events.log(Events.PLANNER_CLAIMED) {
            put("term", term.term)
            put("former_planner", former?.node)
            put("end_offset", end)
            put("moves_allowed_in_ms", movesAllowedAtMs - timer.nowMs())
        }
        return true
    }

    /** Notes that this router is the planner by a record whose append got no answer. */
    fun adoptTerm() {
        val term = records.planner ?: return
        if (term.term == startedTerm) return
        startedTerm = term.term
        startTerm(PlannerTerm(UNKNOWN_NODE, "", 0), records.endOffset ?: Long.MAX_VALUE)
    }

    private fun startTerm(former: PlannerTerm?, endOffset: Long) {
        val nowMs = timer.nowMs()
        termEndOffset = endOffset
        // A planner that has resigned, or an earlier life of this router, gives no more orders; the grants that it gave may last.
        // The one before it may still act when the resignation came soon.
        val hasEnded = former == null || (former.isVacant && former.haveFormersEnded) || former.node == node
        val formerEndsAtMs = if (hasEnded) nowMs else nowMs + settings.maxAuthorityMs
        movesAllowedAtMs = formerEndsAtMs
        formerGrantsEndAtMs = if (former == null) nowMs else formerEndsAtMs + settings.orderTimeoutMs + settings.maxGrantDurationMs
    }

    private fun noteJoined(result: JoinResult.Joined, startedAtMs: Long) {
        if (hasLost || joined == null) {
            events.log(Events.GROUP_JOINED) {
                put("generation", result.generation)
                put("is_candidate", result.isCandidate)
            }
        }
        hasLost = false
        joined = result
        joinedAtMs = startedAtMs
        candidateSinceMs = if (result.isCandidate) candidateSinceMs ?: startedAtMs else null
    }

    private fun noteFailed(result: JoinResult.Failed) {
        if (!hasLost) events.log(Events.GROUP_LOST) { put("reason", result.reason) }
        hasLost = true
    }

    private fun memberName(node: String, life: String) = "$node/$life"

    private companion object {
        /** Stands for a former planner that may be any other router. */
        const val UNKNOWN_NODE = "?"
    }
}
