package yuccaflow.entry.keys.planner

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.KEYED_SERVICE
import yuccaflow.entry.fake.LOAD_CONTROL_VERSION
import yuccaflow.entry.keys.LAST_KEY
import yuccaflow.entry.keys.balance.ReportedServiceTime
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.telemetry.Events

@DisplayName("A planner that balances load")
class PlannerBalancingTest {
    /** Records requests for a few adjacent keys at the planner for [ms]. */
    private fun PlannerSimulation.sendHotRequests(ms: Long) = repeat((ms / STEP_MS).toInt()) {
        planner()?.loads?.let { loads -> repeat(REQUESTS_PER_STEP) { loads.recordRequest(KEYED_SERVICE, HOT_KEYS.random(random)) } }
        advance(STEP_MS)
    }

    /** Returns the largest share of the hot keys that one target holds. */
    private fun PlannerSimulation.largestHotShare(): Double {
        val ranges = planner()!!.clusterState.ofService(KEYED_SERVICE)
        val holders = HOT_KEYS.mapNotNull { key -> ranges.firstOrNull { key in it.from..it.to }?.holder }
        return holders
            .groupingBy { it }
            .eachCount()
            .values
            .max()
            .toDouble() / HOT_KEYS.count()
    }

    /** Guards against hot keys that stay together under load control, and against keys with two owners while many ranges move. */
    @Test
    fun `spreads hot keys under load control`() = simulation(21) {
        advance(5_000)
        data.append(KeyedStream.OPERATORS, listOf(FakeRecords.tableChange(LOAD_CONTROL_VERSION)))
        sendHotRequests(4_000)
        expectThat(routers.values.sumOf { it.log.count(Events.BALANCE_ROUND) }).isGreaterThan(0)
        expectThat(largestHotShare() < 0.5).isEqualTo(true)
        advance(3_000)
        expectThat(ownedKeyCount()).isEqualTo(LAST_KEY + 1)
        expectThat(targets.violations).isEmpty()
    }

    /** Guards against a planner that takes a slow target for a typical one, because it has hardly seen its responses itself. */
    @Test
    fun `assigns fewer hot keys to a target that other routers report as slow`() = simulation(22) {
        advance(5_000)
        data.append(KeyedStream.OPERATORS, listOf(FakeRecords.tableChange(LOAD_CONTROL_VERSION)))
        advance(500)
        val slow = planner()!!.clusterState.find(KEYED_SERVICE, HOT_KEYS.first)!!.holder
        repeat(10) {
            routers.values.forEach { router ->
                targets.incarnations.forEach { target ->
                    val meanMs = if (target.entry.id == slow.target) 1_000.0 else 100.0
                    router.loads.serviceTimes.addReport(mapOf(target.entry.id to ReportedServiceTime(meanMs, 5)))
                }
            }
            sendHotRequests(400)
        }
        val ranges = planner()!!.clusterState.ofService(KEYED_SERVICE)
        val keptBySlow = HOT_KEYS.count { key -> ranges.first { key in it.from..it.to }.holder == slow }
        expectThat(keptBySlow).isLessThan(HOT_KEYS.count() / 10)
        expectThat(targets.violations).isEmpty()
    }

    /** Guards against changed decisions where load control is not enabled. */
    @Test
    fun `runs no rounds of load control without a route that enables it`() = simulation(21) {
        advance(5_000)
        sendHotRequests(4_000)
        expectThat(routers.values.sumOf { it.log.count(Events.BALANCE_ROUND) }).isEqualTo(0)
    }

    private companion object {
        const val STEP_MS = 50L
        const val REQUESTS_PER_STEP = 20
        val HOT_KEYS = 30_000..30_199
    }
}
