package yuccaflow.entry.keys

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.base.TimerService
import yuccaflow.entry.balance.TargetState
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.store.KeyedAppendResult
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events

/** What the planner reads and writes. */
internal class PlannerDependencies(
    val zone: String,
    val store: KeyedStore,
    val records: ClusterState,
    val operators: OperatorState,
    val directory: TargetDirectory,
    val authority: PlannerAuthority,
    val election: PlannerElection,
    val orders: KeyGrantClient,
    val sameZoneRelease: SameZoneRelease,
    val loads: KeyLoadTracker,
)

/**
 * The planning duty of one router. Every router runs it; all but the one that the planner record names only wait.
 *
 * Every change of ownership is appended on the condition that the stream still ends where this router has read it, before any order
 * is sent. So of two planners at once, the slower one's append fails.
 */
internal class KeyPlanner(
    private val parts: PlannerDependencies,
    private val timer: TimerService,
    private val settings: KeyOwnershipSettings,
    private val events: EventLog,
) : PlannerStanding {
    private val records = parts.records
    private val keeper = RangeKeeper(parts.zone, parts.directory, parts.orders, parts.sameZoneRelease, timer, settings, events, this)
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private val confirmed = HashSet<Assignment>()
    private val targetsSeen = HashMap<String, Pair<Set<TargetIncarnation>, Long>>()
    private var balancedAtMs = 0L
    private var hasResigned = false

    init {
        records.onChange { wakeUp.trySend(Unit) }
    }

    /** Stops giving orders and lets another router take over. Goes on when the store does not take the resignation. */
    suspend fun resign() {
        hasResigned = true
        keeper.stop()
        hasResigned = parts.election.resign()
    }

    override fun mayOrder(): Boolean = !hasResigned && parts.authority.isValid()

    override fun mayMove(): Boolean = mayOrder() && timer.nowMs() >= parts.election.movesAllowedAtMs

    override fun formerGrantsEndAtMs(generation: Long): Long = parts.election.formerGrantsEndAtMs(generation)

    override fun confirmed(assignment: Assignment) {
        confirmed += assignment
        wakeUp.trySend(Unit)
    }

    /** Stays in the group and plans whenever this router is the planner, until cancelled. */
    suspend fun run() = coroutineScope {
        launch { parts.election.stayInGroup() }
        while (true) {
            withTimeoutOrNull(settings.planPeriodMs) { wakeUp.receive() }
            if (confirmed.isNotEmpty()) timer.sleep(settings.confirmGatherMs)
            parts.directory.removeExpired()
            if (hasResigned || !parts.authority.isRecordedPlanner) {
                keeper.stop()
                confirmed.clear()
                parts.election.claimIfCandidate()
            } else {
                parts.election.adoptTerm()
                keeper.keep(this, records.services().flatMap { records.ofService(it) })
                if (mayOrder()) planServices()
            }
        }
    }

    private suspend fun planServices() {
        val keyed = parts.operators.table
            ?.services
            ?.values
            .orEmpty()
            .filter { it.isKeyed }
        // One append at a time: the next one needs the end of the stream that this one makes.
        for (service in keyed) if (plan(service.name)) return
    }

    /** Returns true when records were appended or might have been. */
    private suspend fun plan(service: String): Boolean {
        val present = records.ofService(service)
        val targets = targetsOf(service)
        if (present.isEmpty() && !isSettled(service, targets)) return false
        val batch = AssignmentBatch(service, present)
        confirmed.retainAll(present.toSet() + confirmed.filter { it.service != service })
        confirmed.filter { it.service == service }.forEach(batch::confirm)
        keeper.needNewGeneration().filter { it.service == service }.forEach(batch::renewGeneration)
        val plan = KeyPlan(service, targets, present, parts.loads.windowOf(service).sortedKeys(), busyLoad())
        val necessary = plan.necessaryMoves()
        val moves = necessary.ifEmpty { balancing(plan) }
        moves.forEach(batch::move)
        return append(batch)
    }

    private fun balancing(plan: KeyPlan): List<KeyMove> {
        if (!mayMove() || timer.nowMs() - balancedAtMs < settings.balancePeriodMs) return emptyList()
        return plan.balancingMoves().also { if (it.isNotEmpty()) balancedAtMs = timer.nowMs() }
    }

    /** The load at which the requests of all routers, of which the samples are a part, use [BUSY_PART] of the slots. */
    private fun busyLoad(): Double =
        BUSY_PART * KeySampleWindow.WINDOW_MS * parts.loads.reportingRouterCount /
            maxOf(records.memberCount, parts.loads.reportingRouterCount)

    private suspend fun append(batch: AssignmentBatch): Boolean {
        val end = records.endOffset ?: return false
        val changed = batch.changed(end)
        if (changed.isEmpty() || !mayOrder()) return false
        val result = parts.store.append(KeyedStream.ROUTERS, batch.records(end), end)
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

    /** Waits until the stream has been read past [end], so that the next plan sees what was appended. */
    private suspend fun awaitEndAfter(end: Long) {
        withTimeoutOrNull(READ_BACK_MS) {
            while ((records.endOffset ?: 0) <= end) wakeUp.receive()
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

    private fun targetsOf(service: String): List<KeyTarget> {
        val nowMs = timer.nowMs()
        val states = parts.directory.ofService(service)
        val known = states.mapNotNull { it.knownServiceTimeMs }
        val typicalMs = if (known.isEmpty()) UNKNOWN_WORK_MS else known.average()
        val canPreferWarm = states.any { isFit(it) && it.coldUntilMs <= nowMs }
        return states.map { state ->
            KeyTarget(
                holder = incarnationOf(state.entry),
                weight = state.entry.slots / state.serviceTimeMs(typicalMs),
                isOpen = isFit(state) && (!canPreferWarm || state.coldUntilMs <= nowMs) && state.entryRemovedAtMs == null,
                isStaying = isFit(state),
            )
        }
    }

    private fun isFit(state: TargetState): Boolean =
        parts.directory.acceptsNewWork(state) && !keeper.isLost(incarnationOf(state.entry))

    /** Tells whether the targets of a service without any owner have been the same for long enough to divide the keys among them. */
    private fun isSettled(service: String, targets: List<KeyTarget>): Boolean {
        val holders = targets.map { it.holder }.toSet()
        val seen = targetsSeen[service]?.takeIf { it.first == holders } ?: (holders to timer.nowMs()).also { targetsSeen[service] = it }
        return holders.isNotEmpty() && timer.nowMs() - seen.second >= settings.firstPlanSettleMs
    }

    private companion object {
        /** Above this part of its slots in use, a target's answers begin to wait for each other noticeably. */
        const val BUSY_PART = 0.5

        /** Work time of a request while no target has answered one. */
        const val UNKNOWN_WORK_MS = 100.0

        /** How long the planner waits to read back what it appended. */
        const val READ_BACK_MS = 1_000L
    }
}
