package yuccaflow.entry.keys

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.FakeStore
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.fake.SuspendableProcess
import yuccaflow.entry.store.FollowerSettings
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.StreamFollower

/** The planning part of one life of a router, on fakes. */
internal class PlanningRouter(
    val node: String,
    life: String,
    val store: FakeStore,
    val process: SuspendableProcess,
    targets: HoldingTargets,
    isCutFrom: (String) -> Boolean,
    probe: PlannerProbe,
) {
    val log = RecordingEventLog()
    private val timer = process
    private val settings = KeyOwnershipSettings()
    private val operators = OperatorState(FakeRecords, timer, log)
    private val directory: TargetDirectory = TargetDirectory(FakeRecords, operators, timer, log) { targetsFollower.failedAtMs }
    val records = ClusterState(timer, log)
    private val operatorsFollower = StreamFollower(store, KeyedStream.OPERATORS, timer, log, operators) { FollowerSettings() }
    private val targetsFollower: StreamFollower =
        StreamFollower(store, KeyedStream.TARGETS, timer, log, directory) { FollowerSettings() }
    private val recordsFollower: StreamFollower = StreamFollower(store, KeyedStream.ROUTERS, timer, log, records) {
        FollowerSettings(waitMs = if (authority.isRecordedPlanner) settings.authorityReadWaitMs else FollowerSettings().waitMs)
    }
    val authority: PlannerAuthority =
        PlannerAuthority(node, life, records, timer, process::timeOfDayMs, settings, log) { recordsFollower.confirmedAtMs }
    private val election = PlannerElection(node, life, ElectionDependencies(store, store, probe) { }, records, timer, settings, log)
    private val planner = KeyPlanner(
        PlannerDependencies(
            zone = node,
            store = store,
            records = records,
            operators = operators,
            directory = directory,
            authority = authority,
            election = election,
            orders = targets.orders(isCutFrom),
            sameZoneRelease = {
                target,
                range,
                ->
                if (isCutFrom(target.target)) null else targets.orders { false }.release(target, range, 1_000)
            },
            loads = KeyLoadTracker(timer),
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
            launch { recordsFollower.run() }
            launch { planner.run() }
        }
    }

    suspend fun resign() = planner.resign()

    /** What the router answers when it is asked, and false when it cannot answer. */
    fun isActing(life: String): Boolean = job?.isActive == true && !process.isSuspended && authority.isActing(life)

    fun kill() {
        job?.cancel("killed")
    }
}
