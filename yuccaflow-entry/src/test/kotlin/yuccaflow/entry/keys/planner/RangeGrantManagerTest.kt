package yuccaflow.entry.keys.planner

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
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isTrue
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.KEYED_SERVICE
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.fake.VirtualTimer
import yuccaflow.entry.keys.Assignment
import yuccaflow.entry.keys.FencedKeyRange
import yuccaflow.entry.keys.FormerHolder
import yuccaflow.entry.keys.KeyGrantClient
import yuccaflow.entry.keys.KeyGrantResult
import yuccaflow.entry.keys.KeyOwnershipSettings
import yuccaflow.entry.keys.TargetEndpoint
import yuccaflow.entry.keys.incarnationOf
import yuccaflow.entry.store.KeyedRecord

@DisplayName("The grant manager of key ranges")
class RangeGrantManagerTest {
    private val scheduler = TestCoroutineScheduler()
    private val timer = VirtualTimer(scheduler)
    private val scope = CoroutineScope(StandardTestDispatcher(scheduler))
    private val log = RecordingEventLog()
    private val settings = KeyOwnershipSettings()
    private val sentCalls = ArrayList<SentCall>()
    private var answer: KeyGrantResult = KeyGrantResult.Done(null)

    /** How much later than its timeout a call is abandoned, as on a busy event loop. */
    private var eventLoopDelayMs = 0L

    private class SentCall(
        val operation: String,
        val target: String,
        val generation: Long,
        val startedAtMs: Long,
        val endedAtMs: Long,
    )

    /** Returns [answer] for calls to `t0`, after the timeout unless it is [KeyGrantResult.Done]. All other calls succeed. */
    private val grantClient = object : KeyGrantClient {
        override suspend fun grant(
            target: TargetEndpoint,
            range: FencedKeyRange,
            grantDurationMs: Long,
            handover: String?,
            timeoutMs: Long,
            maySend: () -> Boolean,
        ) =
            send("grant", target, range, timeoutMs)

        override suspend fun release(target: TargetEndpoint, range: FencedKeyRange, timeoutMs: Long) =
            send("release", target, range, timeoutMs)

        private suspend fun send(operation: String, target: TargetEndpoint, range: FencedKeyRange, timeoutMs: Long): KeyGrantResult {
            val startedAtMs = timer.nowMs()
            val result = if (target.target == "t0") answer else KeyGrantResult.Done(null)
            delay(if (result is KeyGrantResult.Done) 1 else timeoutMs + eventLoopDelayMs)
            sentCalls += SentCall(operation, target.target, range.generation, startedAtMs, timer.nowMs())
            return result
        }
    }

    private var isAuthorized = true
    private var hasFormerPlannerEnded = true

    private val planner = object : PlannerContext {
        override fun hasAuthority() = isAuthorized

        override fun mayMoveKeys() = isAuthorized && hasFormerPlannerEnded

        override fun formerGrantsEndAtMs(generation: Long) = Long.MIN_VALUE

        override fun onGrantConfirmed(assignment: Assignment) = Unit
    }

    private val operators = OperatorState(FakeRecords, timer, log)
    private val directory = TargetDirectory(FakeRecords, operators, timer, log) { null }
    private val grantManager = RangeGrantManager(directory, grantClient, { _, _ -> null }, timer, settings, log, planner)

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

    private fun expectGrantedElsewhereAfterExpiry() {
        val first = assignment(0, 5)
        grantManager.reconcile(scope, listOf(first))
        advance(100)
        grantManager.reconcile(scope, listOf(movedFrom(first, 1, 9)))
        advance(20_000)
        val lastEndedAtMs = sentCalls.filter { it.target == "t0" && it.operation == "grant" }.maxOf { it.endedAtMs }
        val granted = sentCalls.first { it.target == "t1" }
        expectThat(granted.startedAtMs).isGreaterThanOrEqualTo(lastEndedAtMs + settings.grantDurationMs)
    }

    /** Guards against a new holder while the former one has a valid grant that arrived just before the call was abandoned. */
    @Test
    fun `measures a grant from the latest time at which an unanswered grant call may have arrived`() {
        answer = KeyGrantResult.NoAnswer("silent")
        expectGrantedElsewhereAfterExpiry()
    }

    @Nested
    @DisplayName("when a former holder refuses connections")
    inner class RefusedConnection {
        private val holderEntry = FakeRecords.entry("t0", 1)

        /** Moves the keys of `t0`, which refuses connections from now on, to `t1`, and lets [durationMs] pass. */
        private fun moveFromRefusingHolder(durationMs: Long) {
            val first = assignment(0, 5)
            grantManager.reconcile(scope, listOf(first))
            advance(100)
            answer = KeyGrantResult.ConnectionRefused("closed")
            grantManager.reconcile(scope, listOf(movedFrom(first, 1, 9)))
            advance(durationMs)
        }

        private fun expectGrantedElsewhereOnlyAfterExpiry() {
            moveFromRefusingHolder(durationMs = 20_000)
            val lastGrantedAtMs = sentCalls.filter { it.target == "t0" && it.operation == "grant" }.maxOf { it.startedAtMs }
            val granted = sentCalls.first { it.target == "t1" }
            expectThat(granted.startedAtMs).isGreaterThanOrEqualTo(lastGrantedAtMs + settings.grantDurationMs)
        }

        /** Guards against a new holder while a draining target, which has closed its port, still runs requests for the keys. */
        @Test
        fun `waits until the grant of a draining target has expired`() {
            directory.onRecords(listOf(FakeRecords.targetRecord(holderEntry.copy(isDraining = true), 1)), 2)
            expectGrantedElsewhereOnlyAfterExpiry()
        }

        /** Guards against a new holder while a target that removed its entry without draining still runs requests for the keys. */
        @Test
        fun `waits until the grant of a target without an entry has expired`() {
            directory.onRecords(listOf(FakeRecords.targetRecord(holderEntry, 1)), 2)
            directory.onRecords(listOf(KeyedRecord("t0", null, 2)), 3)
            expectGrantedElsewhereOnlyAfterExpiry()
        }

        /** Guards against a new holder while a target, to which only some paths reset connections, still runs requests for the keys. */
        @Test
        fun `waits until the grant of a target that is not leaving has expired`() {
            directory.onRecords(listOf(FakeRecords.targetRecord(holderEntry, 1)), 2)
            expectGrantedElsewhereOnlyAfterExpiry()
        }

        /** Guards against keys that stay without an owner for longer than the grant of their crashed target can last. */
        @Test
        fun `grants the keys elsewhere as soon as the grant has expired`() {
            directory.onRecords(listOf(FakeRecords.targetRecord(holderEntry, 1)), 2)
            // A release may be under way when the grant expires.
            moveFromRefusingHolder(settings.maxGrantDurationMs + settings.releaseTimeoutMs)
            expectThat(sentCalls.filter { it.target == "t1" }).isNotEmpty()
        }
    }

    /** Guards against a restarted target, which holds nothing, that is given keys with the generation of its former incarnation (OWNER). */
    @Test
    fun `sends no renewal to a target whose next incarnation is known`() {
        val entry = FakeRecords.entry("t1", 2)
        directory.onRecords(listOf(FakeRecords.targetRecord(entry, 1)), 2)
        grantManager.reconcile(scope, listOf(assignment(1, 5)))
        advance(2_000)
        expectThat(sentCalls).isNotEmpty()
        directory.onRecords(listOf(FakeRecords.targetRecord(entry.copy(bornMs = 2), 2)), 3)
        sentCalls.clear()
        advance(5_000)
        expectThat(sentCalls).isEmpty()
    }

    /** Guards against keys that stay without an owner although their target has ended and another one uses its address. */
    @Test
    fun `takes the keys at once from a target at whose address another one answers`() {
        val first = assignment(0, 5)
        grantManager.reconcile(scope, listOf(first))
        advance(100)
        answer = KeyGrantResult.OtherTarget("t9")
        grantManager.reconcile(scope, listOf(movedFrom(first, 1, 9)))
        advance(settings.releaseTimeoutMs + 100)
        expectThat(sentCalls.filter { it.target == "t1" }).isNotEmpty()
    }

    /** Guards against a new holder while the former one has a valid grant that arrived after its timeout because of a busy event loop. */
    @Test
    fun `measures a grant from when an unanswered grant call was actually abandoned`() {
        answer = KeyGrantResult.NoAnswer("silent")
        eventLoopDelayMs = 1_000
        expectGrantedElsewhereAfterExpiry()
    }

    /** Guards against a queued grant that is sent after its assignment was replaced, when the keys have another holder. */
    @Test
    fun `does not send a queued grant whose assignment was replaced`() {
        answer = KeyGrantResult.NotSent("cut")
        val assignments = (0..9).map { assignment(0, 5, from = it * 10, to = it * 10 + 9) }
        grantManager.reconcile(scope, assignments)
        advance(100)
        val replacedAtMs = timer.nowMs()
        grantManager.reconcile(scope, assignments.mapIndexed { index, old -> movedFrom(old, 1, 9L + index) })
        advance(20_000)
        expectThat(sentCalls.filter { it.target == "t0" && it.operation == "grant" && it.startedAtMs > replacedAtMs }).isEmpty()
        expectThat(sentCalls.filter { it.target == "t1" }).isNotEmpty()
    }

    /** Guards against a holder that must stop its work to get a new generation for keys that it already holds. */
    @Test
    fun `grants a new generation to the same holder without a release`() {
        val first = assignment(1, 5)
        grantManager.reconcile(scope, listOf(first))
        advance(100)
        grantManager.reconcile(scope, listOf(movedFrom(first, 1, 9)))
        advance(100)
        expectThat(sentCalls.filter { it.operation == "release" }).isEmpty()
        expectThat(sentCalls.map { it.generation }).contains(9L)
    }

    @Nested
    @DisplayName("while a grant is in transit")
    inner class GrantInTransit {
        /** Guards against a release that overtakes an earlier grant, which would give the keys back to the former holder. */
        @Test
        fun `releases the keys only after that grant call has ended`() {
            answer = KeyGrantResult.NoAnswer("silent")
            val first = assignment(0, 5)
            grantManager.reconcile(scope, listOf(first))
            advance(100)
            grantManager.reconcile(scope, listOf(movedFrom(first, 1, 9)))
            advance(5_000)
            val grant = sentCalls.single { it.target == "t0" && it.operation == "grant" }
            expectThat(sentCalls.first { it.operation == "release" }.startedAtMs).isGreaterThanOrEqualTo(grant.endedAtMs)
        }

        /** Guards against calls by a former planner whose authority expires while the calls are queued. */
        @Test
        fun `sends none of the grants queued behind it after the authority has expired`() {
            answer = KeyGrantResult.NoAnswer("silent")
            grantManager.reconcile(scope, (0..9).map { assignment(0, 5, from = it * 10, to = it * 10 + 9) })
            advance(100)
            isAuthorized = false
            advance(5_000)
            expectThat(sentCalls.filter { it.startedAtMs > 100 }).isEmpty()
        }
    }

    /** Guards against keys that are taken from their holder while a former planner may still renew the grant. */
    @Test
    fun `takes no keys from a holder while a former planner may be active`() {
        hasFormerPlannerEnded = false
        val first = assignment(0, 5)
        grantManager.reconcile(scope, listOf(movedFrom(first, 1, 9)))
        advance(5_000)
        expectThat(sentCalls).isEmpty()
        hasFormerPlannerEnded = true
        advance(1_000)
        expectThat(sentCalls).isNotEmpty()
    }

    @Nested
    @DisplayName("renews")
    inner class Renewals {
        private fun renewalsPerSecond(rangeCount: Int): Double {
            val ranges = (0 until rangeCount).map { assignment(0, 5L + it, from = it * 10, to = it * 10 + 9).copy(isMoving = false) }
            grantManager.reconcile(scope, ranges)
            advance(RENEWAL_PERIOD_MS)
            return sentCalls.size * 1_000.0 / RENEWAL_PERIOD_MS
        }

        /** Guards against a planner that is kept busy by renewals of targets with many small ranges, so that grants expire. */
        @Test
        fun `ten ranges of a target far less than ten times as often as one`() {
            val single = renewalsPerSecond(1)
            grantManager.stop()
            sentCalls.clear()
            expectThat(renewalsPerSecond(10)).isLessThan(5 * single)
        }

        /** Guards against grants that expire because one renewal was lost. */
        @Test
        fun `each grant often enough for a second attempt before it expires`() {
            val failedAttemptMs = settings.grantTimeoutMs + settings.retryDelayMs
            expectThat(settings.renewIntervalMs(1_000) + 2 * failedAttemptMs).isLessThan(settings.grantDurationMs)
        }
    }

    /** Guards against keys that stay with an unresponsive target for as long as the store has its entry. */
    @Test
    fun `marks a holder as lost if it has answered no renewal for the duration of a grant`() {
        answer = KeyGrantResult.NoAnswer("silent")
        val unanswered = assignment(0, 5).copy(isMoving = false)
        grantManager.reconcile(scope, listOf(unanswered))
        advance(settings.grantDurationMs - 100)
        expectThat(grantManager.isLost(unanswered.holder)).isFalse()
        advance(2_000)
        expectThat(grantManager.isLost(unanswered.holder)).isTrue()
    }

    private companion object {
        const val RENEWAL_PERIOD_MS = 20_000L
    }
}
