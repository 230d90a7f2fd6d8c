package yuccaflow.entry.keys.planner

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
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.KeyOwnershipSettings
import yuccaflow.entry.keys.LAST_KEY
import yuccaflow.entry.keys.PlannerTerm
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.store.KeyedStream

@DisplayName("A planner failover")
class PlannerFailoverTest {
    private val settings = KeyOwnershipSettings()
    private val PlannerSimulation.routerRecords: List<KeyedRecord> get() = data.records.getValue(KeyedStream.ROUTERS)

    @Nested
    @DisplayName("while the former planner can reach only some targets")
    inner class FormerPlannerPartitioned {
        /** Guards against a successor that waits for no grant of these targets because none of its own renewals was sent. */
        @Test
        fun `waits for the end of the grants that the former planner still renews`() = simulation(8) {
            advance(6_000)
            val former = planner()!!
            val isolatedTargets = setOf("t0", "t1")
            targets.partitionsBlockConnecting = true
            for (node in routers.keys) {
                partitions += targets.incarnations
                    .map { it.entry.id }
                    .filter { (node == former.node) != (it in isolatedTargets) }
                    .map { node to it }
            }
            former.store.isDisconnected = true
            unreachableRouters += former.node
            advance(1_500)
            targets.incarnations.filter { it.entry.id in isolatedTargets }.forEach(::removeEntry)
            advance(20_000)
            expectThat(targets.violations).isEmpty()
            expectThat(planner()?.node).isNotEqualTo(former.node)
            expectThat(ownedKeyCount()).isEqualTo(LAST_KEY + 1)
        }
    }

    @Nested
    @DisplayName("while an append is in transit")
    inner class AppendInTransit {
        /** Guards against assignments of a former planner that take effect although the next planner has not read them. */
        @Test
        fun `rejects the assignments of the former planner`() = simulation(1, routerCount = 1) {
            advance(6_000)
            val former = planner()!!
            former.store.appendDelayMs = 1_000
            targets.incarnations[0].isUp = false
            advance(900)
            val end = data.append(KeyedStream.ROUTERS, listOf(ClusterState.plannerChange(PlannerTerm("other", "life", 99))))
            former.store.appendDelayMs = 4
            advance(CLAIM_MS + settings.maxAuthorityMs + settings.grantTimeoutMs + settings.maxGrantDurationMs)
            val beforeNextTerm = routerRecords.drop(end.toInt() + 1).takeWhile { it.key != "planner" }
            expectThat(beforeNextTerm).isEmpty()
            expectThat(ownedKeyCount()).isEqualTo(LAST_KEY + 1)
        }

        /** Guards against two planners when two candidates claim the planner record before either has read the other's claim. */
        @Test
        fun `accepts only the first of two claims`() = runTest {
            val timer = VirtualTimer(testScheduler)
            val data = FakeStoreData(timer)
            val store = FakeStore(data)
            val clusterState = ClusterState(timer, RecordingEventLog())
            val dependencies = ElectionDependencies(store, store, { false }) { }
            val election = PlannerElection("r1", "life", dependencies, clusterState, timer, KeyOwnershipSettings(), RecordingEventLog())
            backgroundScope.launch { election.maintainMembership() }
            clusterState.onSnapshot(emptyList(), 0)
            testScheduler.advanceTimeBy(1_500)
            data.append(KeyedStream.ROUTERS, listOf(ClusterState.plannerChange(PlannerTerm("r2", "life", 1))))
            expectThat(election.claimIfCandidate()).isFalse()
            expectThat(data.records.getValue(KeyedStream.ROUTERS).size).isEqualTo(1)
        }
    }

    /** Guards against a planner that never moves keys because the answer to its claim was lost. */
    @Test
    fun `allows a planner whose claim got no answer to move keys`() = simulation(2) {
        advance(6_000)
        routers.values.forEach { it.store.losesAppendAnswers = true }
        planner()!!.kill()
        advance(4_000)
        routers.values.forEach { it.store.losesAppendAnswers = false }
        targets.incarnations[0].isUp = false
        advance(15_000)
        expectThat(ownedKeyCount()).isEqualTo(LAST_KEY + 1)
        expectThat(targets.violations).isEmpty()
    }

    private companion object {
        /** Time until another router has claimed the record of a planner that does not answer. */
        const val CLAIM_MS = 1_000L
    }
}
