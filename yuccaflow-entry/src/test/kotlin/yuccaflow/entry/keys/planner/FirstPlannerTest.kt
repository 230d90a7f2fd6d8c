package yuccaflow.entry.keys.planner

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import yuccaflow.entry.fake.FakeStore
import yuccaflow.entry.fake.FakeStoreData
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.fake.VirtualTimer
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.HostCapacity
import yuccaflow.entry.keys.KeyOwnershipSettings
import yuccaflow.entry.keys.RouterMember
import yuccaflow.entry.store.FollowerSettings
import yuccaflow.entry.store.JoinResult
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.RouterGroup
import yuccaflow.entry.store.StreamFollower

@DisplayName("The first planner, while the group rebalances with each router that joins")
class FirstPlannerTest {
    private val scheduler = TestCoroutineScheduler()
    private val timer = VirtualTimer(scheduler)
    private val scope = CoroutineScope(StandardTestDispatcher(scheduler))
    private val data = FakeStoreData(timer)
    private val settings = KeyOwnershipSettings()
    private val group = RebalancingGroup()

    /** Node and time of each claim. */
    private val claims = ArrayList<Pair<String, Long>>()

    /** Gives its work to the latest router that has joined. */
    private class RebalancingGroup : RouterGroup {
        private val joined = LinkedHashSet<String>()

        override suspend fun join(member: String, generation: Long, ttlMs: Long): JoinResult {
            delay(CALL_MS)
            joined += member
            return JoinResult.Joined(joined.size.toLong(), joined.last() == member)
        }

        override suspend fun members(): Set<String> = setOf(joined.last())

        override suspend fun leave(member: String) {
            joined -= member
        }
    }

    @AfterEach
    fun stop() = scope.cancel()

    private fun addMember(node: String, capacity: HostCapacity) {
        val member = RouterMember(node, "a", "10.0.0.1:80", capacity.cores, capacity.linkMbps)
        data.append(KeyedStream.ROUTERS, listOf(ClusterState.memberChange(member)))
    }

    /** Starts a router after [startMs]. The planner answers it only [PLANNER_ANSWER_MS] after it has read the record of the planner. */
    private fun startRouter(node: String, capacity: HostCapacity, startMs: Long) = scope.launch {
        delay(startMs)
        addMember(node, capacity)
        val log = RecordingEventLog()
        val store = FakeStore(data)
        val clusterState = ClusterState(timer, log)
        val startedAtMs = timer.nowMs()
        var silentSinceMs: Long? = startedAtMs
        val candidacy = PlannerCandidacy(capacity, clusterState, timer, settings) { silentSinceMs }
        val dependencies = ElectionDependencies(group, store, { true }, candidacy::stands) { claims += node to timer.nowMs() }
        val election = PlannerElection(node, "life", dependencies, clusterState, timer, settings, log)
        launch { StreamFollower(store, KeyedStream.ROUTERS, timer, log, clusterState) { FollowerSettings() }.run() }
        launch { election.maintainMembership() }
        launch {
            delay(PLANNING_OFFSET_MS)
            while (clusterState.planner == null) {
                delay(settings.planIntervalMs)
                election.claimIfCandidate()
            }
            delay(PLANNER_ANSWER_MS)
            silentSinceMs = null
        }
    }

    private fun advance(ms: Long) {
        scheduler.advanceTimeBy(ms)
        scheduler.runCurrent()
    }

    /** Guards against a first planner on a small host, whose link or processor is too small for all routers and targets (CONFIG, DRAIN). */
    @Test
    fun `is on a large host if the last of these join when small hosts would take over from a lost planner`() {
        repeat(SMALL_HOSTS) { startRouter("small$it", SMALL, startMs = 50L * it) }
        repeat(LARGE_HOSTS) { startRouter("large$it", LARGE, startMs = 300L * it) }
        advance(RUN_MS)
        expectThat(claims.map { it.first }).isEqualTo(listOf("large${LARGE_HOSTS - 1}"))
    }

    /** Guards against keys without owners for long if all large hosts are lost before the first election. */
    @Test
    fun `is on a small host within a bound if no large host is up`() {
        addMember("lost", LARGE)
        repeat(SMALL_HOSTS) { startRouter("small$it", SMALL, startMs = 50L * it) }
        advance(RUN_MS)
        expectThat(claims.size).isEqualTo(1)
        expectThat(claims.single().second).isIn(0..NO_LARGE_HOST_BOUND_MS)
    }

    private companion object {
        const val CALL_MS = 4L
        const val RUN_MS = 20_000L

        /** Time from the start of the system within which a site of small hosts must have a planner. */
        const val NO_LARGE_HOST_BOUND_MS = 12_000L
        const val PLANNER_ANSWER_MS = 1_000L

        /** Lets a heartbeat that ends a candidacy come before the planning round in which the role could be claimed. */
        const val PLANNING_OFFSET_MS = 70L
        const val SMALL_HOSTS = 12
        const val LARGE_HOSTS = 5
        val LARGE = HostCapacity(cores = 1.5, linkMbps = 200.0)
        val SMALL = HostCapacity(cores = 0.225, linkMbps = 10.0)
    }
}
