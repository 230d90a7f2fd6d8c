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
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import yuccaflow.base.TimerService
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.FakeStore
import yuccaflow.entry.fake.FakeStoreData
import yuccaflow.entry.fake.LoopbackHttpClient
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.fake.StubKeyGrantClient
import yuccaflow.entry.fake.VirtualTimer
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.KeyOwnershipSettings
import yuccaflow.entry.keys.PlannerTerm
import yuccaflow.entry.keys.RouterMember
import yuccaflow.entry.keys.balance.KeyLoadTracker
import yuccaflow.entry.keys.planner.PlannerAuthority
import yuccaflow.entry.store.FollowerSettings
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.StreamFollower
import yuccaflow.entry.store.StreamReadResult
import yuccaflow.http.SocketAddress

@DisplayName("The planner-backed store")
class PlannerBackedStoreTest {
    private class CountingStore(
        private val store: FakeStore,
    ) : KeyedStore by store {
        var readCount = 0

        override suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long, onArriving: (Long) -> Unit): StreamReadResult {
            readCount++
            return store.read(stream, fromOffset, waitMs)
        }
    }

    private class Fixture(
        timer: TimerService,
    ) {
        val data = FakeStoreData(timer)
        var isConfirmed = true
        private val log = RecordingEventLog()
        private val clusterState = ClusterState(timer, log)
        private val authority = PlannerAuthority("planner", "life", clusterState, timer, timer::nowMs, KeyOwnershipSettings(), log) {
            timer.nowMs().takeIf { isConfirmed }
        }
        private val plannerStore = FakeStore(data)
        private val handler =
            relayHandler(
                DirectStoreAccess(plannerStore, plannerStore, timer, RecordingEventLog()),
                KeyLoadTracker(timer),
                TargetDirectory(FakeRecords, OperatorState(FakeRecords, timer, log), timer, log) { null },
                StreamPositions(emptyList(), timer),
                StubKeyGrantClient(),
                PlannerEndpoint(authority, clusterState, timer),
            )
        val store = CountingStore(FakeStore(data))
        val plannerBackedStore =
            PlannerBackedStore(store, { SocketAddress("10.0.0.1", 1) }, RelayClient(LoopbackHttpClient(handler)), timer)
        private val follower = StreamFollower(plannerStore, KeyedStream.ROUTERS, timer, log, clusterState) { FollowerSettings() }

        suspend fun runPlanner() = follower.run()

        fun appendPlanner(life: String) =
            data.append(KeyedStream.ROUTERS, listOf(ClusterState.plannerChange(PlannerTerm("planner", life, 1))))

        fun appendMember(node: String) =
            data.append(KeyedStream.ROUTERS, listOf(ClusterState.memberChange(RouterMember(node, "a", "10.0.0.9:1"))))
    }

    private fun withFixture(run: suspend TestScope.(Fixture) -> Unit) = runTest {
        val fixture = Fixture(VirtualTimer(testScheduler))
        fixture.appendPlanner("life")
        val planner = launch { fixture.runPlanner() }
        testScheduler.advanceTimeBy(100)
        run(fixture)
        planner.cancel()
    }

    private fun keys(result: StreamReadResult) = (result as StreamReadResult.Read).records.map { it.key }

    /** Guards against one call to the store per router and record. */
    @Test
    fun `gets a new record from the planner without a call to the store`() = withFixture { fixture ->
        val pendingRead = async { fixture.plannerBackedStore.read(KeyedStream.ROUTERS, 1, 25_000) }
        testScheduler.advanceTimeBy(200)
        fixture.appendMember("r1")
        val startedAtMs = testScheduler.currentTime
        expectThat(keys(pendingRead.await())).containsExactly("member/r1")
        expectThat(testScheduler.currentTime - startedAtMs).isLessThan(100)
        expectThat(fixture.store.readCount).isEqualTo(0)
    }

    /** Guards against a router that misses the records of the next planner because the former one still answers. */
    @Test
    fun `reads the store after the planner has lost its authority`() = withFixture { fixture ->
        val pendingRead = async { fixture.plannerBackedStore.read(KeyedStream.ROUTERS, 1, 25_000) }
        testScheduler.advanceTimeBy(200)
        fixture.isConfirmed = false
        testScheduler.advanceTimeBy(600)
        expectThat(fixture.store.readCount).isEqualTo(1)
        fixture.appendMember("r1")
        expectThat(keys(pendingRead.await())).containsExactly("member/r1")
    }

    /** Guards against missing records that the planner no longer keeps. */
    @Test
    fun `reads the store for records that the planner does not have`() = withFixture { fixture ->
        expectThat(keys(fixture.plannerBackedStore.read(KeyedStream.ROUTERS, 0, 25_000))).containsExactly("planner")
        expectThat(fixture.store.readCount).isEqualTo(1)
    }

    /** Guards against a router that has claimed the planner record and waits for that record at its predecessor. */
    @Test
    fun `stops waiting at the planner when it is bypassed`() = withFixture { fixture ->
        val pendingRead = async { fixture.plannerBackedStore.read(KeyedStream.ROUTERS, 1, 25_000) }
        testScheduler.advanceTimeBy(200)
        fixture.plannerBackedStore.bypassPlanner()
        testScheduler.advanceTimeBy(10)
        expectThat(fixture.store.readCount).isEqualTo(1)
        fixture.appendMember("r1")
        expectThat(keys(pendingRead.await())).containsExactly("member/r1")
    }

    /** Guards against routers on small hosts that stand for planner although it answers, or that never do although it is lost. */
    @Test
    fun `knows since when the planner has not answered`() = withFixture { fixture ->
        fixture.appendMember("r1")
        testScheduler.advanceTimeBy(100)
        fixture.plannerBackedStore.read(KeyedStream.ROUTERS, 1, 25_000)
        expectThat(fixture.plannerBackedStore.plannerSilentSinceMs).isNull()
        fixture.isConfirmed = false
        val lostAtMs = testScheduler.currentTime
        val pendingRead = async { fixture.plannerBackedStore.read(KeyedStream.ROUTERS, 2, 25_000) }
        testScheduler.advanceTimeBy(600)
        expectThat(fixture.plannerBackedStore.plannerSilentSinceMs).isNotNull().isGreaterThanOrEqualTo(lostAtMs)
        pendingRead.cancel()
    }
}
