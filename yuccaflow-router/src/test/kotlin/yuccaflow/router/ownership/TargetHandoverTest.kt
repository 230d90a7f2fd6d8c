package yuccaflow.router.ownership

import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import yuccaflow.control.RouterId
import yuccaflow.control.ServiceName
import yuccaflow.control.TargetId
import yuccaflow.external.WorkResult
import yuccaflow.router.fake.FakeRouterNode
import yuccaflow.router.fake.FakeSystem

/** The primary of a target hands it over. The target serves a service that is not keyed, and gets no requests other than the test's. */
@DisplayName("A target that its primary hands over")
class TargetHandoverTest {
    private class Scenario(
        private val scope: TestScope,
        val system: FakeSystem,
    ) {
        val log get() = system.environment.log
        val nowMs get() = system.environment.timer.nowMs()
        val id = TargetId("t$PLAIN_INDEX")
        val target = system.target(PLAIN_INDEX)
        val formerPrimary: FakeRouterNode by lazy { system.nodes.first { it.router.id == primary() } }
        private val spec by lazy {
            formerPrimary.router.membership
                .state()
                .value.config.targets
                .getValue(id)
        }

        fun advanceTime(ms: Long) {
            scope.testScheduler.advanceTimeBy(ms)
            scope.testScheduler.runCurrent()
        }

        fun primary(): RouterId = log
            .table()
            .primaries
            .getValue(id)
            .router

        /** Sends one request through the former primary. The list gets its result once known; null means no permit. */
        fun send(): List<WorkResult?> {
            val results = mutableListOf<WorkResult?>()
            formerPrimary.router.scope.launch {
                results += formerPrimary.gateway.send(spec, null, FakeSystem.RUN_LIMIT_MS, idempotent = false)
            }
            return results
        }

        fun beginHandover() {
            formerPrimary.router.scope.launch { formerPrimary.ownership.handOver(HANDOVER_TIMEOUT_MS) }
            advanceTime(STEP_MS)
        }

        fun permit(): WorkPermit = formerPrimary.ownership.permit(id, ServiceName("plain"), null, idempotent = false)

        fun runsSince(atMs: Long) = target.runs.filter { it.startMs >= atMs }
    }

    private fun withSystem(body: Scenario.() -> Unit) = runTest {
        val system = FakeSystem(testScheduler, routerCount = 3)
        system.start()
        val scenario = Scenario(this, system)
        try {
            scenario.advanceTime(START_MS)
            expectThat(scenario.permit()).isA<WorkPermit.Granted>()
            body(scenario)
        } finally {
            system.stop()
        }
    }

    private fun strikt.api.Assertion.Builder<WorkPermit>.isLeaving() =
        isA<WorkPermit.Denied>().get { reason }.isEqualTo(DenialReason.LEAVING)

    @Nested
    @DisplayName("while its running requests end")
    inner class WhileRequestsEnd {
        /** New requests would keep the handover from ending, or would still be running when the next primary starts to send. */
        @Test
        fun `gets no new work`() = withSystem {
            target.freeze()
            val running = send()
            advanceTime(STEP_MS)
            val atMs = nowMs
            beginHandover()
            expectThat(permit()).isLeaving()
            val laterResults = send()
            advanceTime(STEP_MS)
            target.unfreeze()
            advanceTime(100)
            expectThat(running.single()).isA<WorkResult.Answered>()
            expectThat(laterResults).isEqualTo(listOf(null))
            expectThat(runsSince(atMs).size).isEqualTo(1)
            expectThat(primary()).isNotEqualTo(formerPrimary.router.id)
        }
    }

    @Nested
    @DisplayName("while it is not known whether the handover was recorded")
    inner class WhileRecordIsUnknown {
        /** The handover may have been recorded although the answer to its append was lost, so the former primary must not send. */
        @Test
        fun `gets no new work before the append is repeated`() = withSystem {
            log.losesAppendRequest = { true }
            beginHandover()
            val atMs = nowMs
            val laterResults = (1..REQUESTS).flatMap { send().also { advanceTime(STEP_MS) } }
            expectThat(permit()).isLeaving()
            log.losesAppendRequest = { false }
            expectThat(laterResults).isEqualTo(List(REQUESTS) { null })
            expectThat(runsSince(atMs)).isEmpty()
            advanceTime(HANDED_OVER_WITHIN_MS)
            expectThat(primary()).isNotEqualTo(formerPrimary.router.id)
        }

        /** The certain failure of a retried append must not be taken for the outcome of the first append, which was recorded. */
        @Test
        fun `gets no new work after a repeated append has failed`() = withSystem {
            log.losesAppendAnswer = { true.also { log.isDown = true } }
            beginHandover()
            expectThat(primary()).isNotEqualTo(formerPrimary.router.id)
            repeat(RETRY_WINDOW_MS / STEP_MS.toInt()) {
                advanceTime(STEP_MS)
                expectThat(permit()).isLeaving()
            }
        }
    }

    /** A handover that was certainly not recorded must not leave the target without a router that sends to it. */
    @Test
    fun `gets work again when the handover was certainly not recorded`() = withSystem {
        log.isDown = true
        beginHandover()
        expectThat(permit()).isLeaving()
        val endMs = nowMs + HANDED_OVER_WITHIN_MS
        while (permit() is WorkPermit.Denied && nowMs < endMs) advanceTime(STEP_MS)
        val served = send()
        advanceTime(100)
        expectThat(served.single()).isA<WorkResult.Answered>()
        expectThat(primary()).isEqualTo(formerPrimary.router.id)
    }

    private companion object {
        /** Index of the first target of the service that is not keyed. */
        const val PLAIN_INDEX = 9
        const val START_MS = 6_000L
        const val STEP_MS = 10L
        const val HANDOVER_TIMEOUT_MS = 10_000L

        /** Requests sent before the append of the handover is retried. */
        const val REQUESTS = 5

        /** Time in which a handover completes or is abandoned when its first append fails. */
        const val HANDED_OVER_WITHIN_MS = 2_000L

        /** Includes the first retry of the append, and is shorter than the lease of the former primary. */
        const val RETRY_WINDOW_MS = 800
    }
}
