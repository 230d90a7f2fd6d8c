package yuccaflow.entry.keys

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isTrue
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.KEYED_SERVICE
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.fake.VirtualTimer

@DisplayName("The keeper of key ranges")
class RangeKeeperTest {
    private val scheduler = TestCoroutineScheduler()
    private val timer = VirtualTimer(scheduler)
    private val scope = CoroutineScope(StandardTestDispatcher(scheduler))
    private val log = RecordingEventLog()
    private val settings = KeyOwnershipSettings()
    private val sent = ArrayList<Sent>()
    private var answer: KeyGrantResult = KeyGrantResult.Done(null)

    /** How much later than its time an order is given up, because the event loop is busy. */
    private var stallMs = 0L

    private class Sent(
        val order: String,
        val target: String,
        val generation: Long,
        val startedAtMs: Long,
        val givenUpAtMs: Long,
    )

    /** Orders to `t0` end as [answer] says, after their whole time if there is none; the others are carried out. */
    private val orders = object : KeyGrantClient {
        override suspend fun grant(
            target: TargetEndpoint,
            range: FencedKeyRange,
            grantDurationMs: Long,
            handover: String?,
            timeoutMs: Long,
            maySend: () -> Boolean,
        ) =
            send("grant", target, range, timeoutMs)

        override suspend fun release(target: TargetEndpoint, range: FencedKeyRange, timeoutMs: Long) = send(
            "release",
            target,
            range,
            timeoutMs,
        )

        private suspend fun send(order: String, target: TargetEndpoint, range: FencedKeyRange, timeoutMs: Long): KeyGrantResult {
            val startedAtMs = timer.nowMs()
            val result = if (target.target == "t0") answer else KeyGrantResult.Done(null)
            delay(if (result is KeyGrantResult.Done) 1 else timeoutMs + stallMs)
            sent += Sent(order, target.target, range.generation, startedAtMs, timer.nowMs())
            return result
        }
    }

    private var hasAuthority = true
    private var formerHasEnded = true

    private val standing = object : PlannerStanding {
        override fun mayOrder() = hasAuthority

        override fun mayMove() = hasAuthority && formerHasEnded

        override fun formerGrantsEndAtMs(generation: Long) = Long.MIN_VALUE

        override fun confirmed(assignment: Assignment) = Unit
    }

    private val operators = OperatorState(FakeRecords, timer, log)
    private val directory = TargetDirectory(FakeRecords, operators, timer, log) { null }
    private val keeper = RangeKeeper("a", directory, orders, { _, _ -> null }, timer, settings, log, standing)

    private fun assignment(number: Int, generation: Long, from: Int = 0, to: Int = 99, formers: List<FormerHolder> = emptyList()) =
        Assignment(KEYED_SERVICE, from, to, incarnationOf(FakeRecords.entry("t$number", number + 1)), generation, formers, isMoving = true)

    private fun movedFrom(former: Assignment, number: Int, generation: Long) =
        assignment(number, generation, former.from, former.to, listOf(FormerHolder(former.holder, former.generation)))

    private fun advance(ms: Long) {
        scheduler.advanceTimeBy(ms)
        scheduler.runCurrent()
    }

    @AfterEach
    fun stop() = scope.cancel()

    private fun expectGrantedElsewhereAfterHold() {
        val first = assignment(0, 5)
        keeper.keep(scope, listOf(first))
        advance(100)
        keeper.keep(scope, listOf(movedFrom(first, 1, 9)))
        advance(20_000)
        val lastGivenUpAtMs = sent.filter { it.target == "t0" && it.order == "grant" }.maxOf { it.givenUpAtMs }
        val granted = sent.first { it.target == "t1" }
        expectThat(granted.startedAtMs).isGreaterThanOrEqualTo(lastGivenUpAtMs + settings.grantDurationMs)
    }

    /** Guards against a new holder while a grant that arrived late, shortly before it was given up, still lasts at the former one. */
    @Test
    fun `counts a hold from the latest moment at which its unanswered grant may have arrived`() {
        answer = KeyGrantResult.NoAnswer("silent")
        expectGrantedElsewhereAfterHold()
    }

    /** Guards against a new holder while a grant lasts that arrived after its time, because a busy event loop gave it up late. */
    @Test
    fun `counts a hold from when its unanswered grant was given up in fact`() {
        answer = KeyGrantResult.NoAnswer("silent")
        stallMs = 1_000
        expectGrantedElsewhereAfterHold()
    }

    /** Guards against the grant of a replaced range that waited for its turn and leaves when the keys have another holder. */
    @Test
    fun `does not send a grant that waits for its turn when its range is replaced`() {
        answer = KeyGrantResult.NotSent("cut")
        val parts = (0..9).map { assignment(0, 5, from = it * 10, to = it * 10 + 9) }
        keeper.keep(scope, parts)
        advance(100)
        val replacedAtMs = timer.nowMs()
        keeper.keep(scope, parts.mapIndexed { index, part -> movedFrom(part, 1, 9L + index) })
        advance(20_000)
        expectThat(sent.filter { it.target == "t0" && it.order == "grant" && it.startedAtMs > replacedAtMs }).isEmpty()
        expectThat(sent.filter { it.target == "t1" }).isNotEmpty()
    }

    /** Guards against a holder that must stop its work to get a new generation of what it holds. */
    @Test
    fun `grants a renewed generation without a release at the same holder`() {
        val first = assignment(1, 5)
        keeper.keep(scope, listOf(first))
        advance(100)
        keeper.keep(scope, listOf(movedFrom(first, 1, 9)))
        advance(100)
        expectThat(sent.filter { it.order == "release" }).isEmpty()
        expectThat(sent.map { it.generation }).contains(9L)
    }

    @Nested
    @DisplayName("while a grant is on its way")
    inner class GrantOnItsWay {
        /** Guards against a release that overtakes the grant before it: the former holder would hold the keys again. */
        @Test
        fun `releases the keys only after that grant was given up`() {
            answer = KeyGrantResult.NoAnswer("silent")
            val first = assignment(0, 5)
            keeper.keep(scope, listOf(first))
            advance(100)
            keeper.keep(scope, listOf(movedFrom(first, 1, 9)))
            advance(5_000)
            val grant = sent.single { it.target == "t0" && it.order == "grant" }
            expectThat(sent.first { it.order == "release" }.startedAtMs).isGreaterThanOrEqualTo(grant.givenUpAtMs)
        }

        /** Guards against an order of a former planner: its authority ends while the order waits for its turn. */
        @Test
        fun `sends none of the grants that wait behind it once the authority has ended`() {
            answer = KeyGrantResult.NoAnswer("silent")
            keeper.keep(scope, (0..9).map { assignment(0, 5, from = it * 10, to = it * 10 + 9) })
            advance(100)
            hasAuthority = false
            advance(5_000)
            expectThat(sent.filter { it.startedAtMs > 100 }).isEmpty()
        }
    }

    /** Guards against keys that are taken from their holder while a former planner may still grant them. */
    @Test
    fun `takes no keys from a holder while a former planner may act`() {
        formerHasEnded = false
        val first = assignment(0, 5)
        keeper.keep(scope, listOf(movedFrom(first, 1, 9)))
        advance(5_000)
        expectThat(sent).isEmpty()
        formerHasEnded = true
        advance(1_000)
        expectThat(sent).isNotEmpty()
    }

    /** Guards against keys that stay with a target that answers nothing, for as long as its entry stands. */
    @Test
    fun `counts a holder as lost when it has answered no renewal for as long as a grant lasts`() {
        answer = KeyGrantResult.NoAnswer("silent")
        val silent = assignment(0, 5).copy(isMoving = false)
        keeper.keep(scope, listOf(silent))
        advance(settings.grantDurationMs - 100)
        expectThat(keeper.isLost(silent.holder)).isFalse()
        advance(2_000)
        expectThat(keeper.isLost(silent.holder)).isTrue()
    }
}
