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

@DisplayName("Allowances that all routers share")
class SharedLimitsTest {
    private val timer = ManualTimer()

    /** Guards against routers that together send more to a cold target than it bears. */
    @Test
    fun `a cold target gets no more than its rate and a small burst from all routers`() {
        for ((routers, perS) in listOf(1 to 20.0, 9 to 20.0, 12 to 14.0, 12 to 4.0, 88 to 20.0)) {
            val rules = FakeRecords.rules("s").copy(coldPerS = perS)
            val names = (1..routers).map { "r$it" }.toSet()
            val operators = OperatorState(FakeRecords, timer, RecordingEventLog())
            val allowances = names.map { ColdStartLimiter(it, BOUNDS, operators) { names } }
            val targets = List(routers) { TargetState(FakeRecords.entry("t", 1).copy(coldRemainingMs = 60_000), timer.now) }
            var most = 0
            repeat(5) {
                var sent = 0
                repeat(100) {
                    timer.now += 10
                    repeat(routers) { router -> if (allowances[router].take(targets[router], rules, timer.now)) sent++ }
                }
                most = maxOf(most, sent)
            }
            expectThat(most.toDouble()).isLessThanOrEqualTo(rules.coldPerS * BOUNDS.factor + BOUNDS.slack)
            expectThat(most).isGreaterThan(0)
        }
    }

    /** Guards against full traffic for targets that turned cold while their zone was empty. */
    @Test
    fun `targets of a zone that was taken back count as cold for a while`() {
        val operators = OperatorState(FakeRecords, timer, RecordingEventLog())
        operators.onRecords(listOf(KeyedRecord("empty/a", ByteArray(1), 0)), 1)
        operators.onRecords(listOf(KeyedRecord("empty/a", null, 1)), 2)
        val target = TargetState(FakeRecords.entry("t", 1), timer.now)
        val allowance = ColdStartLimiter("r", BOUNDS, operators) { setOf("r", "s") }
        val sent = (1..100).count { allowance.take(target, FakeRecords.rules("s"), timer.now) }
        expectThat(sent).isLessThanOrEqualTo(1)
    }

    /** Guards against repeats of all routers that exceed the budget of a window. */
    @Test
    fun `repeats of all routers stay inside the budget`() {
        val settings = RetryBudgetSettings(share = 0.2, extraSends = 58.0, windowMs = 10_000)
        val routers = 9
        val budgets = List(routers) { RetryBudget(settings) { routers } }
        var requests = 0
        var repeats = 0
        repeat(10_000 / 20) {
            timer.now += 20
            budgets.forEach { budget ->
                budget.earn(timer.now)
                requests++
                if (budget.spend(timer.now)) repeats++
            }
        }
        expectThat(repeats.toDouble()).isLessThanOrEqualTo(settings.share * requests + settings.extraSends)
        expectThat(repeats).isGreaterThan(100)
    }

    @Nested
    @DisplayName("with a budget of repeats and hardly any requests")
    inner class QuietRouters {
        private val settings = RetryBudgetSettings(share = 0.2, extraSends = 58.0, windowMs = 10_000)
        private val budgets = List(9) { RetryBudget(settings) { 9 } }

        private fun repeatsIn(windowMs: Long): Int {
            var repeats = 0
            repeat((windowMs / 20).toInt()) {
                timer.now += 20
                budgets.forEach { if (it.spend(timer.now)) repeats++ }
            }
            return repeats
        }

        /** Guards against routers that each use what all of them may use together. */
        @Test
        fun `all routers together send no more than the extra sends of a window`() {
            expectThat(repeatsIn(settings.windowMs).toDouble()).isLessThanOrEqualTo(settings.extraSends)
        }

        /** Guards against a budget that is saved up over quiet hours and spent in one window. */
        @Test
        fun `a quiet time does not raise what a later window may use`() {
            budgets.forEach { it.earn(timer.now) }
            timer.now += 3_600_000
            budgets.forEach { it.earn(timer.now) }
            expectThat(repeatsIn(settings.windowMs).toDouble()).isLessThanOrEqualTo(settings.extraSends)
        }

        /** Guards against a router that restarts again and again and spends a full budget each time. */
        @Test
        fun `a fresh router sends no repeat at once`() {
            expectThat(budgets.count { it.spend(timer.now) }).isEqualTo(0)
        }
    }

    private companion object {
        val BOUNDS = ColdStartLimits(factor = 1.5, slack = 5.0)
    }
}
