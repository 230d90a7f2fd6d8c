package yuccaflow.entry.keys.planner

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.base.TimerService
import yuccaflow.entry.balance.TargetState
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.keys.Assignment
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.FIRST_KEY
import yuccaflow.entry.keys.KeyGrantClient
import yuccaflow.entry.keys.KeyOwnershipSettings
import yuccaflow.entry.keys.SameZoneRelease
import yuccaflow.entry.keys.TargetIncarnation
import yuccaflow.entry.keys.balance.BalanceRound
import yuccaflow.entry.keys.balance.CandidateTarget
import yuccaflow.entry.keys.balance.KeyLoadSpreader
import yuccaflow.entry.keys.balance.KeyLoadTracker
import yuccaflow.entry.keys.balance.KeyMove
import yuccaflow.entry.keys.balance.KeyRangeBalancer
import yuccaflow.entry.keys.balance.KeySampleWindow
import yuccaflow.entry.keys.balance.RecentMoves
import yuccaflow.entry.keys.describe
import yuccaflow.entry.keys.incarnationOf
import yuccaflow.entry.store.KeyedAppendResult
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events

/** The collaborators of a [KeyPlanner]. */
internal class PlannerDependencies(
    val store: KeyedStore,
    val clusterState: ClusterState,
    val operators: OperatorState,
    val directory: TargetDirectory,
    val authority: PlannerAuthority,
    val election: PlannerElection,
    val grantClient: KeyGrantClient,
    val sameZoneRelease: SameZoneRelease,
    val loads: KeyLoadTracker,
)

/**
 * Assigns the key ranges of keyed services to targets. Every router runs a [KeyPlanner], but only the elected planner, which the planner
 * record names, makes changes. The others wait to be elected.
 *
 * Every change of ownership is appended on the condition that the stream still ends where this router has read it to, and targets are
 * called only after the append. If two routers act as planner at once, the append of the slower one fails.
 */
internal class KeyPlanner(
    private val dependencies: PlannerDependencies,
    private val timer: TimerService,
    private val settings: KeyOwnershipSettings,
    private val events: EventLog,
) : PlannerContext {
    private val clusterState = dependencies.clusterState
    private val grantManager = RangeGrantManager(
        dependencies.directory,
        dependencies.grantClient,
        dependencies.sameZoneRelease,
        timer,
        settings,
        events,
        this,
    )
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private val confirmedMoves = HashSet<Assignment>()
    private val observedHolders = HashMap<String, Pair<Set<TargetIncarnation>, Long>>()
    private var balancedAtMs = 0L
    private val spreadAtMs = HashMap<String, Long>()
    private val recentMoves = RecentMoves(timer)
    private var hasResigned = false

    /** The number of moves that this router has planned to balance load. */
    var balanceMoveCount = 0L
        private set

    /** The assignments with which this router continues as planner in a new era of the store, or null. */
    private var continued: ContinuedAssignments? = null

    init {
        clusterState.onChange { wakeUp.trySend(Unit) }
        clusterState.onEraEnding(::keepForNewEra)
    }

    /**
     * Keeps what this router knows as acting planner, because the new era may lack it. Its authority is valid, so nobody else can have
     * moved keys: a successor waits for longer than the authority lasts.
     */
    private fun keepForNewEra() {
        val known = if (clusterState.planner?.hasAssignments == true) allAssignments() else continued?.assignments
        val mayContinue = known != null && !hasResigned && dependencies.authority.continueInNewEra()
        continued = if (mayContinue) ContinuedAssignments(known, timer.nowMs()) else null
    }

    /** Stops calling targets and lets another router take over. Continues as planner if the store rejects the resignation. */
    suspend fun resign() {
        hasResigned = true
        grantManager.stop()
        hasResigned = dependencies.election.resign()
    }

    override fun hasAuthority(): Boolean = !hasResigned && dependencies.authority.isValid()

    override fun mayMoveKeys(): Boolean = hasAuthority() &&
        dependencies.authority.isRecordedPlanner &&
        dependencies.election.isStateOfLatestEra() &&
        timer.nowMs() >= dependencies.election.movesAllowedAtMs

    override fun formerGrantsEndAtMs(generation: Long): Long = dependencies.election.formerGrantsEndAtMs(generation)

    override fun onGrantConfirmed(assignment: Assignment) {
        confirmedMoves += assignment
        wakeUp.trySend(Unit)
    }

    /**
     * Maintains the router's group membership, and plans while this router is the planner. Runs until cancelled. May be called again after
     * a run that failed.
     */
    suspend fun run() = try {
        runOnce()
    } finally {
        // The tasks of the grants ended with the run, and the next run must start them again.
        grantManager.stop()
    }

    private suspend fun runOnce() = coroutineScope {
        launch { dependencies.election.maintainMembership() }
        while (true) {
            withTimeoutOrNull(settings.planIntervalMs) { wakeUp.receive() }
            if (confirmedMoves.isNotEmpty()) timer.sleep(settings.confirmationBatchDelayMs)
            dependencies.directory.removeExpired()
            val toContinue = continued?.takeIf { !hasResigned && dependencies.authority.isContinuing() }
            when {
                toContinue != null -> dependencies.election.continueTerm(toContinue.assignments, toContinue.learnedAtMs)
                hasResigned || !dependencies.authority.isRecordedPlanner -> {
                    stopActing()
                    dependencies.election.claimIfCandidate()
                }
                clusterState.planner?.hasAssignments == false -> {
                    stopActing()
                    restoreAssignments()
                }
                else -> actAsPlanner(this)
            }
        }
    }

    private fun stopActing() {
        grantManager.stop()
        confirmedMoves.clear()
        continued = null
        dependencies.authority.endContinuation()
        dependencies.election.abandonContinuation()
    }

    private suspend fun actAsPlanner(scope: CoroutineScope) {
        dependencies.election.adoptTerm()
        grantManager.reconcile(scope, allAssignments())
        if (hasAuthority() && dependencies.election.isStateOfLatestEra() && !recordFormersEnded()) planServices()
    }

    private suspend fun restoreAssignments() {
        dependencies.election.adoptTerm()
        val end = clusterState.endOffset
        if (end != null && hasAuthority() && dependencies.election.restoreAssignments(withoutOverlaps(allAssignments()))) awaitEndAfter(end)
    }

    private fun allAssignments(): List<Assignment> = clusterState.services().flatMap { clusterState.ofService(it) }

    /** Cuts ranges that overlap. Appends of an older era that were executed late may have left such ranges. */
    private fun withoutOverlaps(assignments: List<Assignment>): List<Assignment> {
        val nextKeys = HashMap<String, Int>()
        return assignments.sortedBy { it.from }.mapNotNull { range ->
            val next = nextKeys[range.service] ?: FIRST_KEY
            nextKeys[range.service] = maxOf(next, range.to + 1)
            range.copy(from = maxOf(range.from, next)).takeIf { it.from <= it.to }
        }
    }

    private suspend fun recordFormersEnded(): Boolean {
        val end = clusterState.endOffset ?: return false
        return dependencies.election.recordFormersEnded().also { if (it) awaitEndAfter(end) }
    }

    private suspend fun planServices() {
        val keyed = dependencies.operators.table
            ?.services
            ?.values
            .orEmpty()
            .filter { it.isKeyed }
        // At most one append per round: the next append is conditional on the end of the stream that this one produces.
        for (service in keyed) if (plan(service.name)) return
    }

    /** Plans the keys of [service] and appends the changes. Returns whether records were appended or may have been. */
    private suspend fun plan(service: String): Boolean {
        val current = clusterState.ofService(service)
        val targets = targetsOf(service)
        if (current.isEmpty() && !areTargetsStable(service, targets)) return false
        val batch = AssignmentBatch(service, current, clusterState.era)
        confirmedMoves.retainAll(current.toSet() + confirmedMoves.filter { it.service != service })
        confirmedMoves.filter { it.service == service }.forEach(batch::confirm)
        if (!dependencies.election.mayAssign()) return append(batch)
        grantManager.fencedAssignments().filter { it.service == service }.forEach(batch::renewGeneration)
        val sample = dependencies.loads.windowOf(service).sortedKeys()
        val balancer = KeyRangeBalancer(service, targets, current, sample, busyLoad())
        val moves = balancer.necessaryMoves().ifEmpty {
            if (hasLoadControl()) {
                spreadingMoves(service) { KeyLoadSpreader(service, targets, current, sample, busyLoad(), recentMoves) }
            } else {
                balancingMoves(balancer)
            }
        }
        moves.forEach(batch::move)
        return append(batch)
    }

    private fun hasLoadControl(): Boolean = dependencies.operators.table?.hasLoadControl == true

    private fun balancingMoves(balancer: KeyRangeBalancer): List<KeyMove> {
        if (!mayMoveKeys() || timer.nowMs() - balancedAtMs < settings.minBalanceIntervalMs) return emptyList()
        val moves = balancer.balancingMoves()
        if (moves.isEmpty()) return moves
        balancedAtMs = timer.nowMs()
        balanceMoveCount += moves.size
        return moves
    }

    /** Returns the moves of a round of [service] under load control, and records them. [spreader] is called only when a round is due. */
    private fun spreadingMoves(service: String, spreader: () -> KeyLoadSpreader): List<KeyMove> {
        val lastMs = spreadAtMs[service]
        if (!mayMoveKeys() || lastMs != null && timer.nowMs() - lastMs < settings.minBalanceIntervalMs) return emptyList()
        val round = spreader().round()
        if (round.moves.isEmpty()) return emptyList()
        spreadAtMs[service] = timer.nowMs()
        round.moves.forEach(recentMoves::add)
        balanceMoveCount += round.moves.size
        logRound(service, round)
        return round.moves
    }

    private fun logRound(service: String, round: BalanceRound) = events.log(Events.BALANCE_ROUND) {
        put("service", service)
        put("moves", round.moves.size)
        put("key_share", round.movedKeyShare)
        put("hottest_before", round.hottestBefore)
        put("hottest_after", round.hottestAfter)
    }

    /**
     * Returns the relative load at which targets use [BUSY_SLOT_FRACTION] of their slots. It is scaled to the share of the routers whose
     * requests are in the samples.
     */
    private fun busyLoad(): Double =
        BUSY_SLOT_FRACTION * KeySampleWindow.WINDOW_MS * dependencies.loads.reportingRouterCount /
            maxOf(clusterState.memberCount, dependencies.loads.reportingRouterCount)

    private suspend fun append(batch: AssignmentBatch): Boolean {
        val end = clusterState.endOffset ?: return false
        val changed = batch.changed(end)
        if (changed.isEmpty() || !hasAuthority()) return false
        val result = dependencies.store.append(KeyedStream.ROUTERS, batch.records(end), end)
        if (result is KeyedAppendResult.Appended) changed.filter { it.isMoving }.forEach(::logAssigned)
        if (result !is KeyedAppendResult.Appended) {
            events.log(Events.ORDER_FAILED) {
                put("order", "append")
                put("expected_end_offset", end)
                put("outcome", result.toString())
            }
        }
        awaitEndAfter(end)
        return true
    }

    /** Waits until the stream has been read past [end], so that the next round sees the appended records. */
    private suspend fun awaitEndAfter(end: Long) {
        withTimeoutOrNull(READ_BACK_TIMEOUT_MS) {
            while ((clusterState.endOffset ?: 0) <= end) wakeUp.receive()
        }
    }

    private fun logAssigned(assignment: Assignment) = events.log(Events.RANGE_ASSIGNED) {
        describe(assignment)
        put(
            "former_target",
            assignment.formers
                .lastOrNull()
                ?.holder
                ?.target,
        )
        put("former_generation", assignment.formers.lastOrNull()?.generation)
    }

    private fun targetsOf(service: String): List<CandidateTarget> {
        val nowMs = timer.nowMs()
        val states = dependencies.directory.ofService(service)
        val weights = weightsOf(states)
        val hasWarmTarget = states.any { mayOwnKeys(it) && it.coldUntilMs <= nowMs }
        return states.mapIndexed { index, state ->
            CandidateTarget(
                holder = incarnationOf(state.entry),
                weight = weights[index],
                mayGainKeys = mayOwnKeys(state) && (!hasWarmTarget || state.coldUntilMs <= nowMs) && state.removal == null,
                mayKeepKeys = mayOwnKeys(state),
            )
        }
    }

    /**
     * Returns the weights of [states], which are proportional to their capacities. Under load control, the service times are the averages
     * of all routers, or this router's own if there are none. A target without any is typical. A reported slowdown does not count: it may
     * last for less time than a move takes.
     */
    private fun weightsOf(states: List<TargetState>): List<Double> {
        val shared = if (hasLoadControl()) states.map { dependencies.loads.serviceTimes.averageMs(it.entry.id) } else emptyList()
        val times = if (shared.any { it != null }) shared else states.map { it.serviceTimeMsOrNull }
        val known = times.filterNotNull()
        val typicalMs = if (known.isEmpty()) DEFAULT_SERVICE_TIME_MS else known.average()
        return states.mapIndexed { index, state -> state.entry.slots / (times[index] ?: typicalMs) }
    }

    private fun mayOwnKeys(state: TargetState): Boolean =
        dependencies.directory.acceptsNewWork(state) && !grantManager.isLost(incarnationOf(state.entry))

    /** Returns whether the targets of a service without any owners have not changed for long enough to distribute the keys among them. */
    private fun areTargetsStable(service: String, targets: List<CandidateTarget>): Boolean {
        val holders = targets.map { it.holder }.toSet()
        val observed = observedHolders[service]?.takeIf { it.first == holders }
            ?: (holders to timer.nowMs()).also { observedHolders[service] = it }
        return holders.isNotEmpty() && timer.nowMs() - observed.second >= settings.initialStabilityMs
    }

    /** The [assignments] of a planner that learned at [learnedAtMs] of a new era of the store. */
    private class ContinuedAssignments(
        val assignments: List<Assignment>,
        val learnedAtMs: Long,
    )

    private companion object {
        /** Fraction of a target's slots in use above which queueing noticeably delays its answers. */
        const val BUSY_SLOT_FRACTION = 0.5

        /** Service time that is assumed until a target has answered a request. */
        const val DEFAULT_SERVICE_TIME_MS = 100.0

        /** How long the planner waits to read back its own append. */
        const val READ_BACK_TIMEOUT_MS = 1_000L
    }
}
