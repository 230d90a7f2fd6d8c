package yuccaflow.entry.keys.planner

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import yuccaflow.base.SupervisedTask
import yuccaflow.base.Supervisor
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.FakeStore
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.fake.SuspendableProcess
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.KeyOwnershipSettings
import yuccaflow.entry.keys.balance.KeyLoadTracker
import yuccaflow.entry.store.EraCheckedStore
import yuccaflow.entry.store.FollowerSettings
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.StoreEra
import yuccaflow.entry.store.StreamFollower

/** One incarnation of a router with its planner only, on top of fakes. */
internal class SimulatedRouter(
    val node: String,
    incarnation: String,
    val store: FakeStore,
    val process: SuspendableProcess,
    targets: SimulatedTargets,
    isPartitionedFrom: (String) -> Boolean,
    probe: PlannerProbe,
) {
    val log = RecordingEventLog()
    private val timer = process
    private val settings = KeyOwnershipSettings()
    val loads = KeyLoadTracker(timer)
    private val operators = OperatorState(FakeRecords, timer, log)
    val directory: TargetDirectory = TargetDirectory(FakeRecords, operators, timer, log) { targetsFollower.failedAtMs }
    val clusterState = ClusterState(timer, log)
    private val storeEra = StoreEra(log)
    private val checkedStore = EraCheckedStore(store, storeEra)
    private val operatorsFollower =
        StreamFollower(checkedStore, KeyedStream.OPERATORS, timer, log, operators, storeEra = storeEra) { FollowerSettings() }
    private val targetsFollower: StreamFollower =
        StreamFollower(checkedStore, KeyedStream.TARGETS, timer, log, directory, storeEra = storeEra) { FollowerSettings() }
    private val clusterStateFollower: StreamFollower =
        StreamFollower(checkedStore, KeyedStream.ROUTERS, timer, log, clusterState, storeEra = storeEra) {
            FollowerSettings(waitMs = if (authority.isRecordedPlanner) settings.authorityReadWaitMs else FollowerSettings().waitMs)
        }
    val authority: PlannerAuthority =
        PlannerAuthority(node, incarnation, clusterState, timer, process::timeOfDayMs, settings, log) { clusterStateFollower.confirmedAtMs }
    private val election =
        PlannerElection(
            node,
            incarnation,
            ElectionDependencies(store, checkedStore, probe) { },
            clusterState,
            timer,
            settings,
            log,
            storeEra,
        )
    private val planner = KeyPlanner(
        PlannerDependencies(
            store = checkedStore,
            clusterState = clusterState,
            operators = operators,
            directory = directory,
            authority = authority,
            election = election,
            grantClient = targets.grantClient(isPartitionedFrom),
            sameZoneRelease = { target, range ->
                if (isPartitionedFrom(target.target)) null else targets.grantClient { false }.release(target, range, 1_000)
            },
            loads = loads,
        ),
        timer,
        settings,
        log,
    )
    private var job: Job? = null

    fun start(scope: CoroutineScope) {
        job = scope.launch(process.dispatcher) {
            launch { operatorsFollower.run() }
            launch { targetsFollower.run() }
            launch { clusterStateFollower.run() }
            launch { Supervisor(timer).run(listOf(SupervisedTask("planner") { planner.run() })) }
        }
    }

    suspend fun resign() = planner.resign()

    /** Returns the answer of the router to a probe, or false if it cannot answer. */
    fun isActing(incarnation: String): Boolean = job?.isActive == true && !process.isSuspended && authority.isActing(incarnation)

    fun kill() {
        job?.cancel("killed")
    }
}
