package yuccaflow.entry.keys.planner

import kotlinx.coroutines.test.TestCoroutineScheduler
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.fake.VirtualTimer
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.HostCapacity
import yuccaflow.entry.keys.KeyOwnershipSettings
import yuccaflow.entry.keys.PlannerTerm
import yuccaflow.entry.keys.RouterMember
import yuccaflow.entry.store.KeyedChange
import yuccaflow.entry.store.KeyedRecord

@DisplayName("A router stands for planner")
class PlannerCandidacyTest {
    private val scheduler = TestCoroutineScheduler()
    private val timer = VirtualTimer(scheduler)
    private val settings = KeyOwnershipSettings()
    private val clusterState = ClusterState(timer, RecordingEventLog())
    private var silentSinceMs: Long? = null

    private fun candidacy(cores: Double, linkMbps: Double = 0.0) =
        PlannerCandidacy(HostCapacity(cores, linkMbps), clusterState, timer, settings) { silentSinceMs }

    private fun addMember(node: String, cores: Double, linkMbps: Double = 0.0) = apply(
        ClusterState.memberChange(RouterMember(node, "a", "10.0.0.1:80", cores, linkMbps)),
    )

    private fun addPlanner() = apply(ClusterState.plannerChange(PlannerTerm("large", "life", 1)))

    private fun apply(change: KeyedChange) =
        clusterState.onRecords(listOf(KeyedRecord(change.key, change.value, 0)), 1)

    private fun advance(ms: Long) {
        scheduler.advanceTimeBy(ms)
        scheduler.runCurrent()
    }

    @Nested
    @DisplayName("while a planner answers")
    inner class PlannerAnswers {
        /** Guards against a planner on a host that is too small for its work, so that grants expire and keys move late. */
        @Test
        fun `only on a large host`() {
            addMember("large", 1.5)
            addMember("small", 0.225)
            addPlanner()
            expectThat(candidacy(0.225).stands()).isFalse()
            expectThat(candidacy(0.75).stands()).isTrue()
        }

        /** Guards against a planner whose link is full when many keys move, so that it reads and renews seconds late. */
        @Test
        fun `only on a host with a wide link`() {
            addMember("wide", 1.5, linkMbps = 200.0)
            addMember("narrow", 0.75, linkMbps = 10.0)
            addPlanner()
            expectThat(candidacy(0.75, linkMbps = 10.0).stands()).isFalse()
            expectThat(candidacy(0.75, linkMbps = 200.0).stands()).isTrue()
        }

        /** Guards against a group without candidates if no host has both a fast processor and a wide link. */
        @Test
        fun `on the best hosts if none is the best in everything`() {
            addMember("fast", 2.0, linkMbps = 50.0)
            addMember("wide", 0.2, linkMbps = 200.0)
            addPlanner()
            expectThat(candidacy(2.0, linkMbps = 50.0).stands()).isTrue()
            expectThat(candidacy(0.2, linkMbps = 200.0).stands()).isFalse()
        }

        /** Guards against a group without candidates if all hosts are alike or do not report their capacity. */
        @Test
        fun `on any host if all are alike`() {
            addMember("one", 0.6)
            addMember("other", 0.6)
            addPlanner()
            expectThat(candidacy(0.6).stands()).isTrue()
        }
    }

    /** Guards against keys without an owner because all large hosts are lost. */
    @Test
    fun `on a small host if no planner has answered for a while`() {
        addMember("large", 1.5)
        addPlanner()
        val small = candidacy(0.225)
        silentSinceMs = timer.nowMs()
        advance(settings.smallHostDelayMs - 1)
        expectThat(small.stands()).isFalse()
        advance(1)
        expectThat(small.stands()).isTrue()
    }

    /** Guards against a first planner on a small host because no planner has answered since the start of the system. */
    @Test
    fun `at the first start only on a large host, until large ones have had time to claim the role`() {
        addMember("large", 1.5)
        silentSinceMs = timer.nowMs()
        val small = candidacy(0.225)
        val large = candidacy(1.5)
        advance(settings.capacitiesKnownMs)
        expectThat(large.stands()).isTrue()
        advance(settings.largeHostsSettleMs - 1)
        expectThat(small.stands()).isFalse()
        advance(1)
        expectThat(small.stands()).isTrue()
    }

    /** Guards against small hosts that join the group, which rebalances, because the first planner has not answered them yet. */
    @Test
    fun `not on a small host right after the first planner has claimed the role`() {
        addMember("large", 1.5)
        silentSinceMs = timer.nowMs()
        val small = candidacy(0.225)
        advance(settings.capacitiesKnownMs + settings.smallHostDelayMs - 1)
        addPlanner()
        expectThat(small.stands()).isFalse()
        advance(settings.smallHostDelayMs - 1)
        expectThat(small.stands()).isFalse()
        advance(1)
        expectThat(small.stands()).isTrue()
    }

    /** Guards against a first planner on a small host because the membership records of the large ones have not been read yet. */
    @Test
    fun `only after the capacities of the other hosts can be known`() {
        addMember("small", 0.225)
        val small = candidacy(0.225)
        expectThat(small.stands()).isFalse()
        advance(settings.capacitiesKnownMs)
        expectThat(small.stands()).isTrue()
    }
}
