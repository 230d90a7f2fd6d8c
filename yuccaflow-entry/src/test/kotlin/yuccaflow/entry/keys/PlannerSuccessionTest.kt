package yuccaflow.entry.keys

import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotEqualTo
import yuccaflow.entry.fake.FakeStore
import yuccaflow.entry.fake.FakeStoreData
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.fake.VirtualTimer
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.store.KeyedStream

@DisplayName("A change of the planner")
class PlannerSuccessionTest {
    private val PlanningWorld.routerRecords: List<KeyedRecord> get() = data.records.getValue(KeyedStream.ROUTERS)

    @Nested
    @DisplayName("while the former planner is cut off from all but some targets")
    inner class FormerCutOff {
        /** Guards against a successor whose own renewals never left, and which therefore knows of no grant that it must wait for. */
        @Test
        fun `waits for the end of the grants that the former planner still renews`() = world(8) {
            advance(6_000)
            val former = planner()!!
            val island = setOf("t0", "t1")
            targets.cutsKeepOrders = true
            for (node in routers.keys) {
                cuts += targets.lives
                    .map { it.entry.id }
                    .filter { (node == former.node) != (it in island) }
                    .map { node to it }
            }
            former.store.isDisconnected = true
            silentRouters += former.node
            advance(1_500)
            targets.lives.filter { it.entry.id in island }.forEach(::removeEntry)
            advance(20_000)
            expectThat(targets.violations).isEmpty()
            expectThat(planner()?.node).isNotEqualTo(former.node)
            expectThat(heldKeys()).isEqualTo(LAST_KEY + 1)
        }
    }

    @Nested
    @DisplayName("while an append is on its way")
    inner class LateAppend {
        /** Guards against assignments of a former planner that count although the next planner has not seen them. */
        @Test
        fun `voids the assignments of the former planner`() = world(1, routerCount = 1) {
            advance(6_000)
            val former = planner()!!
            former.store.appendDelayMs = 1_000
            targets.lives[0].isUp = false
            advance(900)
            val end = data.append(KeyedStream.ROUTERS, listOf(ClusterState.plannerChange(PlannerTerm("other", "life", 99))))
            former.store.appendDelayMs = 4
            advance(10_000)
            val beforeNextTerm = routerRecords.drop(end.toInt() + 1).takeWhile { it.key != "planner" }
            expectThat(beforeNextTerm).isEmpty()
            expectThat(heldKeys()).isEqualTo(LAST_KEY + 1)
        }

        /** Guards against two planners by two candidates of which neither has read the other's claim. */
        @Test
        fun `lets only the first of two claims count`() = runTest {
            val timer = VirtualTimer(testScheduler)
            val data = FakeStoreData(timer)
            val store = FakeStore(data)
            val records = ClusterState(timer, RecordingEventLog())
            val parts = ElectionDependencies(store, store, { false }) { }
            val election = PlannerElection("r1", "life", parts, records, timer, KeyOwnershipSettings(), RecordingEventLog())
            backgroundScope.launch { election.stayInGroup() }
            records.onSnapshot(emptyList(), 0)
            testScheduler.advanceTimeBy(1_500)
            data.append(KeyedStream.ROUTERS, listOf(ClusterState.plannerChange(PlannerTerm("r2", "life", 1))))
            expectThat(election.claimIfCandidate()).isFalse()
            expectThat(data.records.getValue(KeyedStream.ROUTERS).size).isEqualTo(1)
        }
    }

    /** Guards against a planner that never moves keys because the answer to its claim was lost. */
    @Test
    fun `lets a planner move keys whose claim got no answer`() = world(2) {
        advance(6_000)
        routers.values.forEach { it.store.losesAppendAnswers = true }
        planner()!!.kill()
        advance(4_000)
        routers.values.forEach { it.store.losesAppendAnswers = false }
        targets.lives[0].isUp = false
        advance(15_000)
        expectThat(heldKeys()).isEqualTo(LAST_KEY + 1)
        expectThat(targets.violations).isEmpty()
    }
}
