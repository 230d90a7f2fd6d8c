package yuccaflow.entry.keys.planner

import yuccaflow.base.TimerService
import yuccaflow.entry.keys.Assignment
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.KeyOwnershipSettings
import yuccaflow.entry.keys.PlannerTerm
import yuccaflow.entry.keys.generationOf
import yuccaflow.entry.store.JoinResult
import yuccaflow.entry.store.KeyedAppendResult
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.RouterGroup
import yuccaflow.entry.store.StoreEra
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
    private val storeEra: StoreEra = StoreEra(events),
) {
    private val member = memberName(node, incarnation)
    private var membership: JoinResult.Joined? = null
    private var joinedAtMs = 0L
    private var candidateSinceMs: Long? = null
    private var isDisconnected = false

    /** The era and the number of the term that this router has started last. */
    private var currentTerm = 0L to 0L

    /** The era and the number of the term in which this router wants to continue, from the append of its record on, or null. */
    private var continuedTerm: Pair<Long, Long>? = null
    private var hasResigned = false

    /** When this router, as planner, may start to move keys, because the former planner can no longer call targets. */
    var movesAllowedAtMs: Long = Long.MAX_VALUE
        private set

    private var formerGrantsEndAtMs = Long.MAX_VALUE

    /** The highest generation that may have been set before this router became the planner. */
    private var termStartGeneration = Long.MAX_VALUE

    /** When the last grant of an older era that this router does not know has ended. */
    private var unknownGrantsEndAtMs = Long.MIN_VALUE

    /** Returns when a former planner's last grant of [generation] expires, or [Long.MIN_VALUE] if the generation was set in this term. */
    fun formerGrantsEndAtMs(generation: Long): Long = if (generation > termStartGeneration) Long.MIN_VALUE else formerGrantsEndAtMs

    /**
     * Returns whether generations may be given out. After the loss of store records, another target may have a grant on any key that the
     * assignments do not show, until the grants of older eras have ended.
     */
    fun mayAssign(): Boolean = timer.nowMs() >= unknownGrantsEndAtMs

    /** Returns whether the state was read in the latest known era, so that changes may be derived from it and appended. */
    fun isStateOfLatestEra(): Boolean = clusterState.era == storeEra.current

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
            val haveFormersEnded = timer.nowMs() >= movesAllowedAtMs && own.hasNoUnknownGrants
            val vacancy = own.copy(node = "", life = "", term = own.term + 1, haveFormersEnded = haveFormersEnded)
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
        if (hasResigned || !isStateOfLatestEra()) return false
        val former = clusterState.planner
        val era = clusterState.era
        val mayClaim = if (former == null && era > 0) mayClaimFirstOfEra() else mayReplace(former)
        // The era may have changed during the calls above, and the end of the stream is one of the former era then.
        return mayClaim && clusterState.era == era && isStateOfLatestEra() && claim(former, end)
    }

    /** An earlier incarnation of this router has certainly ended, so there is no need to probe it. */
    private suspend fun mayReplace(former: PlannerTerm?): Boolean =
        former?.node == node || (isCandidate(isFirst = former == null) && !isAlive(former))

    /**
     * Returns whether this router may be the first planner of a new era: none of the planners that may still act answers that it does. A
     * former planner need not be the candidate, because the group still lists it, so that the candidate waits for it.
     */
    private suspend fun mayClaimFirstOfEra(): Boolean {
        val (own, others) = clusterState.plannersOfOlderEras.partition { it.node == node }
        if (own.isNotEmpty()) return others.none { dependencies.probe.isActing(it) }
        return isCandidate(isFirst = !clusterState.hasHadPlanner) && others.none { isAlive(it) }
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
        val term = PlannerTerm(
            node,
            incarnation,
            (former?.term ?: latestTermOfOlderEras()) + 1,
            haveFormersEnded = haveAllEnded(former),
            era = clusterState.era,
            isRestored = former?.isRestored ?: false,
            isSettled = former?.isSettled ?: false,
        )
        val result = dependencies.store.append(KeyedStream.ROUTERS, listOf(ClusterState.plannerChange(term)), end)
        if (result !is KeyedAppendResult.Appended) return false
        currentTerm = term.era to term.term
        startTerm(former, term, end + 1)
        dependencies.onClaimed()
        events.log(Events.PLANNER_CLAIMED) {
            put("term", term.term)
            put("former_planner", former?.node)
            put("end_offset", end)
            put("moves_allowed_in_ms", movesAllowedAtMs - timer.nowMs())
            if (term.era > 0) {
                put("era", term.era)
                put("assigns_in_ms", (unknownGrantsEndAtMs - timer.nowMs()).coerceAtLeast(0))
            }
        }
        return true
    }

    private fun latestTermOfOlderEras(): Long = clusterState.plannersOfOlderEras.maxOfOrNull { it.term } ?: 0

    /**
     * Claims in a new era, as the planner that was acting when it began, and writes [assignments] with the claim. The times until which
     * this router waits for former planners stay, because none of them can have learned of the claim. A former planner that this router
     * had not read of may still act on a record that is lost now, so that new generations wait until its grants have ended.
     */
    suspend fun continueTerm(assignments: List<Assignment>, learnedAtMs: Long) {
        val end = clusterState.endOffset?.takeIf { clusterState.planner == null } ?: return
        if (hasResigned || !isStateOfLatestEra()) return
        val term = PlannerTerm(node, incarnation, latestTermOfOlderEras() + 1, era = clusterState.era, isRestored = true)
        unknownGrantsEndAtMs = learnedAtMs + settings.unknownGrantsMs
        continuedTerm = term.era to term.term
        val changes = listOf(ClusterState.plannerChange(term)) + assignments.map { ClusterState.rangeChange(it, term.era) }
        val result = dependencies.store.append(KeyedStream.ROUTERS, changes + clusterState.removalsOfOlderEras(), end)
        if (result !is KeyedAppendResult.Appended) return
        dependencies.onClaimed()
        events.log(Events.PLANNER_CONTINUED) {
            put("term", term.term)
            put("era", term.era)
            put("assignments", assignments.size)
            put("end_offset", end)
            put("assigns_in_ms", (unknownGrantsEndAtMs - timer.nowMs()).coerceAtLeast(0))
        }
    }

    /** Gives up continuing the term of a former era, because this router has stopped renewing grants. */
    fun abandonContinuation() {
        continuedTerm = null
    }

    /** Starts the term of a planner record that names this router although its append got no answer, or that it continues in a new era. */
    fun adoptTerm() {
        val term = clusterState.planner ?: return
        val number = term.era to term.term
        if (number == currentTerm) return
        currentTerm = number
        if (number == continuedTerm) return
        startTerm(PlannerTerm(UNKNOWN_NODE, "", 0), term, clusterState.endOffset ?: Long.MAX_VALUE)
    }

    /**
     * Writes the assignments of this era, in which this router is the planner, once all grants of older eras have ended. The latest known
     * holders keep their keys, with new generations. Returns whether records were appended or may have been.
     */
    suspend fun restoreAssignments(latestKnown: List<Assignment>): Boolean {
        val own = clusterState.planner?.takeIf { isRecordedPlanner() && !it.hasAssignments } ?: return false
        val end = clusterState.endOffset ?: return false
        if (!mayAssign() || !isStateOfLatestEra()) return false
        val restored = latestKnown.mapIndexed { index, assignment ->
            val generation = generationOf(own.era, end + 1 + index)
            assignment.copy(generation = generation, formers = emptyList(), isMoving = true)
        }
        val settled = own.copy(haveFormersEnded = true, isRestored = true, isSettled = true)
        val changes = listOf(ClusterState.plannerChange(settled)) + restored.map { ClusterState.rangeChange(it, own.era) }
        val result = dependencies.store.append(KeyedStream.ROUTERS, changes + clusterState.removalsOfOlderEras(), end)
        events.log(if (result is KeyedAppendResult.Appended) Events.ASSIGNMENTS_RESTORED else Events.ORDER_FAILED) {
            if (result !is KeyedAppendResult.Appended) {
                put("order", "restore")
                put("outcome", result.toString())
            }
            put("era", own.era)
            put("assignments", restored.size)
            put("end_offset", end)
        }
        return true
    }

    /** Starts [term] after that of [former]. No generation was set in it up to [endOffset]. */
    private fun startTerm(former: PlannerTerm?, term: PlannerTerm, endOffset: Long) {
        val nowMs = timer.nowMs()
        termStartGeneration = if (endOffset == Long.MAX_VALUE) endOffset else generationOf(term.era, endOffset - 1)
        unknownGrantsEndAtMs = if (term.hasNoUnknownGrants) Long.MIN_VALUE else nowMs + settings.unknownGrantsMs
        val formerEndsAtMs = if (haveAllEnded(former)) nowMs else nowMs + settings.maxAuthorityMs
        movesAllowedAtMs = formerEndsAtMs
        formerGrantsEndAtMs =
            if (former == null && term.era == 0L) nowMs else formerEndsAtMs + settings.grantTimeoutMs + settings.maxGrantDurationMs
    }

    /**
     * Returns whether [former] and the planners before it call no targets any more, although their grants may still be valid. A planner
     * that resigned, or an earlier incarnation of this router, has ended, but if that was early in its term, the planner before it may be
     * active.
     */
    private fun haveAllEnded(former: PlannerTerm?): Boolean =
        former?.let { (it.isVacant || it.node == node) && it.haveFormersEnded } ?: (clusterState.era == 0L)

    /**
     * Records that all former planners, and in a new era their unknown grants, have ended, once that is certain, so that the next term need
     * not wait for them. Returns whether the record was appended or may have been.
     */
    suspend fun recordFormersEnded(): Boolean {
        val own = clusterState.planner?.takeIf { isRecordedPlanner() && !(it.haveFormersEnded && it.hasNoUnknownGrants) } ?: return false
        val end = clusterState.endOffset ?: return false
        if (timer.nowMs() < movesAllowedAtMs || !mayAssign() || !isStateOfLatestEra()) return false
        val ended = own.copy(haveFormersEnded = true, isSettled = own.era > 0)
        dependencies.store.append(KeyedStream.ROUTERS, listOf(ClusterState.plannerChange(ended)), end)
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
