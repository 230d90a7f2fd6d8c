package yuccaflow.entry.keys

import yuccaflow.base.TimerService
import yuccaflow.entry.store.JoinResult
import yuccaflow.entry.store.KeyedAppendResult
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.RouterGroup
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events

/** Checks whether the router that is recorded as planner is active. */
internal fun interface PlannerProbe {
    /** Returns whether [planner] answers that this incarnation of it acts as planner. Returns false if it does not answer. */
    suspend fun isActing(planner: PlannerTerm): Boolean
}

/**
 * The collaborators of a [PlannerElection].
 *
 * @property mayStand returns whether this router should be in the group from which the planner is chosen.
 * @property onClaimed called when this router has appended a planner record that names it.
 */
internal class ElectionDependencies(
    val group: RouterGroup,
    val store: KeyedStore,
    val probe: PlannerProbe,
    val mayStand: () -> Boolean = { true },
    val onClaimed: () -> Unit,
)

/**
 * Elects the planner. The group of live routers names one candidate. The candidate claims the planner record by a conditional append if
 * there is no planner, or if the recorded planner neither has a share of the group's work nor answers that it is active. Only the record is
 * authoritative, so two candidates at the same time do no harm.
 */
internal class PlannerElection(
    private val node: String,
    private val incarnation: String,
    private val dependencies: ElectionDependencies,
    private val clusterState: ClusterState,
    private val timer: TimerService,
    private val settings: KeyOwnershipSettings,
    private val events: EventLog,
) {
    private val member = memberName(node, incarnation)
    private var membership: JoinResult.Joined? = null
    private var joinedAtMs = 0L
    private var candidateSinceMs: Long? = null
    private var isDisconnected = false
    private var currentTerm = 0L
    private var hasResigned = false

    /** When this router, as planner, may start to move keys, because the former planner can no longer call targets. */
    var movesAllowedAtMs: Long = Long.MAX_VALUE
        private set

    private var formerGrantsEndAtMs = Long.MAX_VALUE

    /** The end of the stream when this router became the planner. */
    private var termStartOffset = Long.MAX_VALUE

    /** Returns when a former planner's last grant of [generation] expires, or [Long.MIN_VALUE] if the generation was set in this term. */
    fun formerGrantsEndAtMs(generation: Long): Long = if (generation > termStartOffset) Long.MIN_VALUE else formerGrantsEndAtMs

    /**
     * Maintains the group membership until cancelled or until this router resigns. The planner stays a member, because the others take a
     * missing one for a lost one.
     */
    suspend fun maintainMembership() {
        while (!hasResigned) {
            if (!isRecordedPlanner() && !dependencies.mayStand()) {
                timer.sleep(settings.joinIntervalMs)
                continue
            }
            val startedAtMs = timer.nowMs()
            val result = dependencies.group.join(member, membership?.generation ?: 0, settings.memberTtlMs)
            when (result) {
                is JoinResult.Joined -> onJoined(result, startedAtMs)
                is JoinResult.Failed -> onJoinFailed(result)
            }
            timer.sleep((startedAtMs + settings.joinIntervalMs - timer.nowMs()).coerceAtLeast(0))
        }
    }

    /**
     * Vacates the planner record if it names this incarnation, and leaves the group, so that another router can take over at once. Returns
     * false if the record could not be vacated.
     */
    suspend fun resign(): Boolean {
        hasResigned = true
        var isReleased = true
        val own = clusterState.planner?.takeIf { isRecordedPlanner() }
        val end = clusterState.endOffset
        if (own != null && end != null) {
            val vacancy = PlannerTerm(node = "", life = "", term = own.term + 1, haveFormersEnded = timer.nowMs() >= movesAllowedAtMs)
            val result = dependencies.store.append(KeyedStream.ROUTERS, listOf(ClusterState.plannerChange(vacancy)), end)
            // An append without an answer may have been executed, or may be executed seconds later.
            isReleased = result is KeyedAppendResult.Appended || result is KeyedAppendResult.Unknown
        }
        dependencies.group.leave(member)
        return isReleased
    }

    /** Claims the planner record if this router is the one to do so. Returns true if it has become the planner. */
    suspend fun claimIfCandidate(): Boolean {
        val end = clusterState.endOffset ?: return false
        if (hasResigned) return false
        val former = clusterState.planner
        // An earlier incarnation of this router has certainly ended, so there is no need to probe it.
        val mayClaim = former?.node == node || (isCandidate(isFirst = former == null) && !isAlive(former))
        return mayClaim && claim(former, end)
    }

    /**
     * Returns whether this router is the candidate. Before the first planner, it must have been so for a while, because the group
     * redistributes its work with each router that joins during the first start of the system.
     */
    private fun isCandidate(isFirst: Boolean): Boolean {
        val sinceMs = candidateSinceMs ?: return false
        val nowMs = timer.nowMs()
        return nowMs - joinedAtMs <= settings.memberTtlMs && (!isFirst || nowMs - sinceMs >= settings.candidateStabilityMs)
    }

    private fun isRecordedPlanner(): Boolean = clusterState.planner?.let { it.node == node && it.life == incarnation } ?: false

    private suspend fun isAlive(planner: PlannerTerm?): Boolean {
        if (planner == null || planner.isVacant) return false
        val members = dependencies.group.members() ?: return true
        // The group does not list members without a share of its work, such as the latest ones to join.
        return memberName(planner.node, planner.life) in members || dependencies.probe.isActing(planner)
    }

    private suspend fun claim(former: PlannerTerm?, end: Long): Boolean {
        val term = PlannerTerm(node, incarnation, (former?.term ?: 0) + 1, haveFormersEnded = haveAllEnded(former))
        val result = dependencies.store.append(KeyedStream.ROUTERS, listOf(ClusterState.plannerChange(term)), end)
        if (result !is KeyedAppendResult.Appended) return false
        currentTerm = term.term
        startTerm(former, end + 1)
        dependencies.onClaimed()
        events.log(Events.PLANNER_CLAIMED) {
            put("term", term.term)
            put("former_planner", former?.node)
            put("end_offset", end)
            put("moves_allowed_in_ms", movesAllowedAtMs - timer.nowMs())
        }
        return true
    }

    /** Starts the term of a planner record that names this router although its append got no answer. */
    fun adoptTerm() {
        val term = clusterState.planner ?: return
        if (term.term == currentTerm) return
        currentTerm = term.term
        startTerm(PlannerTerm(UNKNOWN_NODE, "", 0), clusterState.endOffset ?: Long.MAX_VALUE)
    }

    private fun startTerm(former: PlannerTerm?, endOffset: Long) {
        val nowMs = timer.nowMs()
        termStartOffset = endOffset
        val formerEndsAtMs = if (haveAllEnded(former)) nowMs else nowMs + settings.maxAuthorityMs
        movesAllowedAtMs = formerEndsAtMs
        formerGrantsEndAtMs = if (former == null) nowMs else formerEndsAtMs + settings.grantTimeoutMs + settings.maxGrantDurationMs
    }

    /**
     * Returns whether [former] and the planners before it call no targets any more, although their grants may still be valid. A planner
     * that resigned, or an earlier incarnation of this router, has ended, but if that was early in its term, the planner before it may be
     * active.
     */
    private fun haveAllEnded(former: PlannerTerm?): Boolean =
        former == null || ((former.isVacant || former.node == node) && former.haveFormersEnded)

    /**
     * Records that all former planners have ended, once that is certain, so that the next term of this router need not wait for them.
     * Returns whether the record was appended or may have been.
     */
    suspend fun recordFormersEnded(): Boolean {
        val own = clusterState.planner?.takeIf { isRecordedPlanner() && !it.haveFormersEnded } ?: return false
        val end = clusterState.endOffset ?: return false
        if (timer.nowMs() < movesAllowedAtMs) return false
        dependencies.store.append(KeyedStream.ROUTERS, listOf(ClusterState.plannerChange(own.copy(haveFormersEnded = true))), end)
        return true
    }

    private fun onJoined(result: JoinResult.Joined, startedAtMs: Long) {
        if (isDisconnected || membership == null) {
            events.log(Events.GROUP_JOINED) {
                put("generation", result.generation)
                put("is_candidate", result.isCandidate)
            }
        }
        isDisconnected = false
        membership = result
        joinedAtMs = startedAtMs
        candidateSinceMs = if (result.isCandidate) candidateSinceMs ?: startedAtMs else null
    }

    private fun onJoinFailed(result: JoinResult.Failed) {
        if (!isDisconnected) events.log(Events.GROUP_LOST) { put("reason", result.reason) }
        isDisconnected = true
    }

    private fun memberName(node: String, incarnation: String) = "$node/$incarnation"

    private companion object {
        /** Placeholder for a former planner that may be any other router. */
        const val UNKNOWN_NODE = "?"
    }
}
