package yuccaflow.entry.keys

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
import yuccaflow.entry.store.KeyedChange
import yuccaflow.entry.store.KeyedStream
import kotlin.random.Random

/** Routers, targets and a store on virtual time, with faults that a test sets. */
internal class PlanningWorld(
    seed: Int,
    routerCount: Int = 3,
) {
    val random = Random(seed)
    val scheduler = TestCoroutineScheduler()
    val timer = VirtualTimer(scheduler)
    val scope = CoroutineScope(StandardTestDispatcher(scheduler))
    val data = FakeStoreData(timer)
    val targets = HoldingTargets(timer, scope, random)
    val cuts = HashSet<Pair<String, String>>()

    /** Routers that other routers get no answer from. */
    val silentRouters = HashSet<String>()
    val routers = LinkedHashMap<String, PlanningRouter>()
    private var lives = 0
    private var addresses = 0

    init {
        data.append(KeyedStream.OPERATORS, listOf(FakeRecords.tableChange(1)))
        repeat(5) { startTarget("t$it") }
        repeat(routerCount) { startRouter("r$it") }
    }

    fun startRouter(node: String) {
        val isCutFrom = { target: String -> (node to target) in cuts }
        val probe = PlannerProbe { planner -> planner.node !in silentRouters && routers[planner.node]?.isActing(planner.life) ?: false }
        val router = PlanningRouter(node, "life${lives++}", FakeStore(data), SuspendableProcess(scheduler), targets, isCutFrom, probe)
        routers[node] = router
        router.start(scope)
    }

    fun startTarget(id: String) {
        val entry = FakeRecords.entry(id, ++addresses, bornMs = timer.nowMs() + 1)
        targets.start(entry)
        data.append(KeyedStream.TARGETS, listOf(FakeRecords.targetChange(entry)))
    }

    /** Ends the life of a target and starts the next one at once under the same id and address. Its entry comes [entryMs] later. */
    fun restartInPlace(life: HoldingTargets.Life, entryMs: Long) {
        life.isUp = false
        val entry = life.entry.copy(bornMs = timer.nowMs() + 1, coldRemainingMs = 3_000)
        targets.start(entry)
        scope.launch {
            delay(entryMs)
            rewrite(entry)
        }
    }

    fun advance(ms: Long) {
        scheduler.advanceTimeBy(ms)
        scheduler.runCurrent()
    }

    /** Keys that exactly one live target holds. */
    fun heldKeys(): Int = (FIRST_KEY..LAST_KEY step STEP).count { key -> holdersOf(key) == 1 } * STEP

    private fun holdersOf(key: Int) = targets.lives.count { it.holds(FencedKeyRange(key, key, 0)) }

    /** Suspends the router for [ms]; its steady clock [standsStill] or goes on. */
    fun suspend(router: PlanningRouter, ms: Long, standsStill: Boolean) {
        router.process.suspend()
        scope.launch {
            delay(ms)
            router.process.resume(if (standsStill) ms else 0)
        }
    }

    fun planner(): PlanningRouter? = routers.values.firstOrNull { it.authority.isValid() }

    /** Writes the entry of a target anew. */
    fun rewrite(entry: TargetEntry) {
        data.append(KeyedStream.TARGETS, listOf(FakeRecords.targetChange(entry)))
    }

    /** The entry of a target disappears from the store. */
    fun removeEntry(target: HoldingTargets.Life) {
        data.append(KeyedStream.TARGETS, listOf(KeyedChange(target.entry.id, null)))
    }

    fun close() = scope.cancel()

    private companion object {
        const val STEP = 256
    }
}

/** Runs a test in a world of its own. */
internal fun world(seed: Int, routerCount: Int = 3, run: PlanningWorld.() -> Unit) {
    val world = PlanningWorld(seed, routerCount)
    try {
        world.run()
    } finally {
        world.close()
    }
}
