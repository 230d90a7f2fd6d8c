package yuccaflow.entry.keys.planner

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import yuccaflow.entry.directory.TargetEntry
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.FakeStore
import yuccaflow.entry.fake.FakeStoreData
import yuccaflow.entry.fake.SuspendableProcess
import yuccaflow.entry.fake.VirtualTimer
import yuccaflow.entry.keys.FIRST_KEY
import yuccaflow.entry.keys.FencedKeyRange
import yuccaflow.entry.keys.LAST_KEY
import yuccaflow.entry.store.KeyedChange
import yuccaflow.entry.store.KeyedStream
import kotlin.random.Random

/** A simulation of routers, targets and a store in virtual time, with fault injection. */
internal class PlannerSimulation(
    seed: Int,
    routerCount: Int = 3,
) {
    val random = Random(seed)
    val scheduler = TestCoroutineScheduler()
    val timer = VirtualTimer(scheduler)
    val scope = CoroutineScope(StandardTestDispatcher(scheduler))
    val data = FakeStoreData(timer)
    val targets = SimulatedTargets(timer, scope, random)

    /** The pairs of router and target that cannot reach each other. */
    val partitions = HashSet<Pair<String, String>>()

    /** Routers that do not answer the probes of other routers. */
    val unreachableRouters = HashSet<String>()
    val routers = LinkedHashMap<String, SimulatedRouter>()
    private var startedRouters = 0
    private var startedTargets = 0

    init {
        data.append(KeyedStream.OPERATORS, listOf(FakeRecords.tableChange(1)))
        repeat(5) { startTarget("t$it") }
        repeat(routerCount) { startRouter("r$it") }
    }

    fun startRouter(node: String) {
        val isPartitionedFrom = { target: String -> (node to target) in partitions }
        val probe = PlannerProbe { planner ->
            planner.node !in unreachableRouters && routers[planner.node]?.isActing(planner.life) ?: false
        }
        val router = SimulatedRouter(
            node,
            "life${startedRouters++}",
            FakeStore(data),
            SuspendableProcess(scheduler),
            targets,
            isPartitionedFrom,
            probe,
        )
        routers[node] = router
        router.start(scope)
    }

    fun startTarget(id: String) {
        val entry = FakeRecords.entry(id, ++startedTargets, bornMs = timer.nowMs() + 1)
        targets.start(entry)
        data.append(KeyedStream.TARGETS, listOf(FakeRecords.targetChange(entry)))
    }

    /**
     * Restarts the target of [incarnation] at once with the same id and address. The new incarnation writes its entry [entryDelayMs] later.
     */
    fun restartInPlace(incarnation: SimulatedTargets.Incarnation, entryDelayMs: Long) {
        incarnation.isUp = false
        val entry = incarnation.entry.copy(bornMs = timer.nowMs() + 1, coldRemainingMs = 3_000)
        targets.start(entry)
        scope.launch {
            delay(entryDelayMs)
            writeEntry(entry)
        }
    }

    fun advance(ms: Long) {
        scheduler.advanceTimeBy(ms)
        scheduler.runCurrent()
    }

    /** Returns the number of keys that exactly one running target holds, estimated from one key in every [SAMPLING_STEP]. */
    fun ownedKeyCount(): Int = (FIRST_KEY..LAST_KEY step SAMPLING_STEP).count { key -> ownerCountOf(key) == 1 } * SAMPLING_STEP

    private fun ownerCountOf(key: Int) = targets.incarnations.count { it.holds(FencedKeyRange(key, key, 0)) }

    /** Suspends the router for [ms]. [isClockStopped] tells whether its monotonic clock stops meanwhile. */
    fun suspend(router: SimulatedRouter, ms: Long, isClockStopped: Boolean) {
        router.process.suspend()
        scope.launch {
            delay(ms)
            router.process.resume(if (isClockStopped) ms else 0)
        }
    }

    fun planner(): SimulatedRouter? = routers.values.firstOrNull { it.authority.isValid() }

    /** Writes an entry of a target to the store. */
    fun writeEntry(entry: TargetEntry) {
        data.append(KeyedStream.TARGETS, listOf(FakeRecords.targetChange(entry)))
    }

    /** Removes the entry of a target from the store. */
    fun removeEntry(target: SimulatedTargets.Incarnation) {
        data.append(KeyedStream.TARGETS, listOf(KeyedChange(target.entry.id, null)))
    }

    /** Lets the store lose the records since its copy. Operators and targets write theirs again within [MAX_REWRITE_DELAY_MS]. */
    fun loseRecords() {
        data.loseSinceCopy().forEach { (stream, records) ->
            records.forEach { record ->
                scope.launch {
                    delay(random.nextLong(MAX_REWRITE_DELAY_MS))
                    data.append(stream, listOf(KeyedChange(record.key, record.value)))
                }
            }
        }
    }

    fun close() = scope.cancel()

    private companion object {
        const val SAMPLING_STEP = 256
        const val MAX_REWRITE_DELAY_MS = 1_500L
    }
}

/** Runs a test in a new simulation. */
internal fun simulation(seed: Int, routerCount: Int = 3, run: PlannerSimulation.() -> Unit) {
    val simulation = PlannerSimulation(seed, routerCount)
    try {
        simulation.run()
    } finally {
        simulation.close()
    }
}
