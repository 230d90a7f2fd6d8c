package yuccaflow.entry.balance

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.ManualTimer
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.routing.RetryBudget
import yuccaflow.entry.routing.RetryBudgetSettings
import yuccaflow.entry.store.KeyedRecord

@DisplayName("Limits that all routers share")
class SharedLimitsTest {
    private val timer = ManualTimer()

    /** Guards against routers that together exceed the request rate of a cold target. */
    @Test
    fun `all routers together send a cold target no more than its rate and a small burst`() {
        for ((routers, coldPerS) in listOf(1 to 20.0, 9 to 20.0, 12 to 14.0, 12 to 4.0, 88 to 20.0)) {
            val serviceConfig = FakeRecords.serviceConfig("s").copy(coldPerS = coldPerS)
            val names = (1..routers).map { "r$it" }.toSet()
            val operators = OperatorState(FakeRecords, timer, RecordingEventLog())
            val limiters = names.map { ColdStartLimiter(it, LIMITS, operators) { names } }
            val targets = List(routers) { TargetState(FakeRecords.entry("t", 1).copy(coldRemainingMs = 60_000), timer.now) }
            var maxPerS = 0
            repeat(5) {
                var sent = 0
                repeat(100) {
                    timer.now += 10
                    repeat(routers) { router -> if (limiters[router].tryAcquire(targets[router], serviceConfig, timer.now)) sent++ }
                }
                maxPerS = maxOf(maxPerS, sent)
            }
            expectThat(maxPerS.toDouble()).isLessThanOrEqualTo(serviceConfig.coldPerS * LIMITS.factor + LIMITS.slack)
            expectThat(maxPerS).isGreaterThan(0)
        }
    }

    /** Guards against full traffic to targets that turned cold while their zone was emptied. */
    @Test
    fun `targets of a returned zone count as cold for a while`() {
        val operators = OperatorState(FakeRecords, timer, RecordingEventLog())
        operators.onRecords(listOf(KeyedRecord("empty/a", ByteArray(1), 0)), 1)
        operators.onRecords(listOf(KeyedRecord("empty/a", null, 1)), 2)
        val target = TargetState(FakeRecords.entry("t", 1), timer.now)
        val limiter = ColdStartLimiter("r", LIMITS, operators) { setOf("r", "s") }
        val sent = (1..100).count { limiter.tryAcquire(target, FakeRecords.serviceConfig("s"), timer.now) }
        expectThat(sent).isLessThanOrEqualTo(1)
    }

    /** Guards against retries of all routers that together exceed the budget of a window. */
    @Test
    fun `retries of all routers stay within the budget`() {
        val settings = RetryBudgetSettings(share = 0.2, extraSends = 58.0, windowMs = 10_000)
        val routers = 9
        val budgets = List(routers) { RetryBudget(settings) { routers } }
        var requests = 0
        var retries = 0
        repeat(10_000 / 20) {
            timer.now += 20
            budgets.forEach { budget ->
                budget.deposit(timer.now)
                requests++
                if (budget.tryWithdraw(timer.now)) retries++
            }
        }
        expectThat(retries.toDouble()).isLessThanOrEqualTo(settings.share * requests + settings.extraSends)
        expectThat(retries).isGreaterThan(100)
    }

    @Nested
    @DisplayName("with a retry budget and hardly any requests")
    inner class FewRequests {
        private val settings = RetryBudgetSettings(share = 0.2, extraSends = 58.0, windowMs = 10_000)
        private val budgets = List(9) { RetryBudget(settings) { 9 } }

        private fun retriesIn(windowMs: Long): Int {
            var retries = 0
            repeat((windowMs / 20).toInt()) {
                timer.now += 20
                budgets.forEach { if (it.tryWithdraw(timer.now)) retries++ }
            }
            return retries
        }

        /** Guards against routers that each spend the budget of all routers. */
        @Test
        fun `all routers together retry no more often than the extra sends of a window allow`() {
            expectThat(retriesIn(settings.windowMs).toDouble()).isLessThanOrEqualTo(settings.extraSends)
        }

        /** Guards against a budget that accumulates over idle hours and is spent in one window. */
        @Test
        fun `an idle period does not raise the budget of a later window`() {
            budgets.forEach { it.deposit(timer.now) }
            timer.now += 3_600_000
            budgets.forEach { it.deposit(timer.now) }
            expectThat(retriesIn(settings.windowMs).toDouble()).isLessThanOrEqualTo(settings.extraSends)
        }

        /** Guards against a router that restarts repeatedly and spends a full budget each time. */
        @Test
        fun `a newly started router has no budget at first`() {
            expectThat(budgets.count { it.tryWithdraw(timer.now) }).isEqualTo(0)
        }
    }

    private companion object {
        val LIMITS = ColdStartLimits(factor = 1.5, slack = 5.0)
    }
}
