package yuccaflow.entry.peer

import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import yuccaflow.base.TimerService
import yuccaflow.entry.fake.FakeStore
import yuccaflow.entry.fake.FakeStoreData
import yuccaflow.entry.fake.LoopbackHttpClient
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.fake.StubKeyGrantClient
import yuccaflow.entry.fake.VirtualTimer
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.KeyLoadTracker
import yuccaflow.entry.keys.KeyOwnershipSettings
import yuccaflow.entry.keys.PlannerAuthority
import yuccaflow.entry.keys.PlannerTerm
import yuccaflow.entry.keys.RouterMember
import yuccaflow.entry.store.FollowerSettings
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.StreamFollower
import yuccaflow.entry.store.StreamReadResult
import yuccaflow.http.SocketAddress

@DisplayName("A store whose router records come from the planner")
class PlannerBackedStoreTest {
    private class CountingStore(
        private val store: FakeStore,
    ) : KeyedStore by store {
        var reads = 0

        override suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long): StreamReadResult {
            reads++
            return store.read(stream, fromOffset, waitMs)
        }
    }

    private class World(
        timer: TimerService,
    ) {
        val data = FakeStoreData(timer)
        var isConfirmed = true
        private val log = RecordingEventLog()
        private val records = ClusterState(timer, log)
        private val authority = PlannerAuthority("planner", "life", records, timer, timer::nowMs, KeyOwnershipSettings(), log) {
            timer.nowMs().takeIf { isConfirmed }
        }
        private val plannerStore = FakeStore(data)
        private val handler =
            relayHandler(
                DirectStoreAccess(plannerStore, plannerStore, timer),
                KeyLoadTracker(timer),
                StubKeyGrantClient,
                PlannerEndpoint(authority, records, timer),
            )
        val store = CountingStore(FakeStore(data))
        val fed = PlannerBackedStore(store, { SocketAddress("10.0.0.1", 1) }, RelayClient(LoopbackHttpClient(handler)), timer)
        private val follower = StreamFollower(plannerStore, KeyedStream.ROUTERS, timer, log, records) { FollowerSettings() }

        suspend fun runPlanner() = follower.run()

        fun appendPlanner(life: String) =
            data.append(KeyedStream.ROUTERS, listOf(ClusterState.plannerChange(PlannerTerm("planner", life, 1))))

        fun appendMember(node: String) =
            data.append(KeyedStream.ROUTERS, listOf(ClusterState.memberChange(RouterMember(node, "a", "10.0.0.9:1"))))
    }

    private fun world(run: suspend TestScope.(World) -> Unit) = runTest {
        val world = World(VirtualTimer(testScheduler))
        world.appendPlanner("life")
        val planner = launch { world.runPlanner() }
        testScheduler.advanceTimeBy(100)
        run(world)
        planner.cancel()
    }

    private fun keys(result: StreamReadResult) = (result as StreamReadResult.Read).records.map { it.key }

    /** Guards against a call to the store from every router for every record. */
    @Test
    fun `gets a new record from the planner without a call to the store`() = world { world ->
        val reading = async { world.fed.read(KeyedStream.ROUTERS, 1, 25_000) }
        testScheduler.advanceTimeBy(200)
        world.appendMember("r1")
        val startedAtMs = testScheduler.currentTime
        expectThat(keys(reading.await())).containsExactly("member/r1")
        expectThat(testScheduler.currentTime - startedAtMs).isLessThan(100)
        expectThat(world.store.reads).isEqualTo(0)
    }

    /** Guards against a router that misses a successor's records because the former planner still answers. */
    @Test
    fun `reads the store when the planner has lost its authority`() = world { world ->
        val reading = async { world.fed.read(KeyedStream.ROUTERS, 1, 25_000) }
        testScheduler.advanceTimeBy(200)
        world.isConfirmed = false
        testScheduler.advanceTimeBy(600)
        expectThat(world.store.reads).isEqualTo(1)
        world.appendMember("r1")
        expectThat(keys(reading.await())).containsExactly("member/r1")
    }

    /** Guards against records that are left out because the planner has forgotten them. */
    @Test
    fun `reads the store for records that the planner does not have`() = world { world ->
        expectThat(keys(world.fed.read(KeyedStream.ROUTERS, 0, 25_000))).containsExactly("planner")
        expectThat(world.store.reads).isEqualTo(1)
    }

    /** Guards against a router that has claimed the planner record and waits at its predecessor to see it. */
    @Test
    fun `leaves the planner at once when the store has news`() = world { world ->
        val reading = async { world.fed.read(KeyedStream.ROUTERS, 1, 25_000) }
        testScheduler.advanceTimeBy(200)
        world.fed.readStore()
        testScheduler.advanceTimeBy(10)
        expectThat(world.store.reads).isEqualTo(1)
        world.appendMember("r1")
        expectThat(keys(reading.await())).containsExactly("member/r1")
    }
}
