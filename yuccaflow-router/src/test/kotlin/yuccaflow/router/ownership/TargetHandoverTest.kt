package yuccaflow.router.ownership

import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Tag
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

/** One target of an undivided service on a system without other callers; its primary hands it over. */
@DisplayName("A target that its primary hands over")
class TargetHandoverTest {
    private class Run(
        private val scope: TestScope,
        val system: FakeSystem,
    ) {
        val log get() = system.world.log
        val nowMs get() = system.world.timer.nowMs()
        val id = TargetId("t$PLAIN_INDEX")
        val target = system.target(PLAIN_INDEX)
        val former: FakeRouterNode by lazy { system.owners.first { it.router.id == primary() } }
        private val spec by lazy {
            former.router.membership
                .state()
                .value.config.targets
                .getValue(id)
        }

        fun pass(ms: Long) {
            scope.testScheduler.advanceTimeBy(ms)
            scope.testScheduler.runCurrent()
        }

        fun primary(): RouterId = log
            .table()
            .primaries
            .getValue(id)
            .router

        /** Sends one request through the former primary. The list holds its result as soon as there is one: null without a permit. */
        fun send(): List<WorkResult?> {
            val results = mutableListOf<WorkResult?>()
            former.router.scope.launch { results += former.gateway.send(spec, null, FakeSystem.RUN_LIMIT_MS, idempotent = false) }
            return results
        }

        fun beginHandover() {
            former.router.scope.launch { former.ownership.handOver(HANDOVER_TIMEOUT_MS) }
            pass(STEP_MS)
        }

        fun permit(): WorkPermit = former.ownership.permit(id, ServiceName("plain"), null, idempotent = false)

        fun runsSince(atMs: Long) = target.runs.filter { it.startMs >= atMs }
    }

    private fun withSystem(body: Run.() -> Unit) = runTest {
        val system = FakeSystem(testScheduler, routerCount = 3)
        system.start()
        val run = Run(this, system)
        try {
            run.pass(START_MS)
            expectThat(run.permit()).isA<WorkPermit.Granted>()
            body(run)
        } finally {
            system.stop()
        }
    }

    private fun strikt.api.Assertion.Builder<WorkPermit>.isLeaving() =
        isA<WorkPermit.Denied>().get { reason }.isEqualTo(DenialReason.LEAVING)

    @Nested
    @DisplayName("while its running requests end")
    inner class WhileRequestsEnd {
        /** Guards against new work that keeps a handover from ever coming to its end, or that still runs when the next primary starts. */
        @Test
        fun `gets no new work`() = withSystem {
            target.freeze()
            val running = send()
            pass(STEP_MS)
            val atMs = nowMs
            beginHandover()
            expectThat(permit()).isLeaving()
            val later = send()
            pass(STEP_MS)
            target.wake()
            pass(100)
            expectThat(running.single()).isA<WorkResult.Answered>()
            expectThat(later).isEqualTo(listOf(null))
            expectThat(runsSince(atMs).size).isEqualTo(1)
            expectThat(primary()).isNotEqualTo(former.router.id)
        }
    }

    @Nested
    @DisplayName("while it is not known whether the handover was recorded")
    inner class WhileRecordIsUnknown {
        /** Guards against work of a former primary whose handover was recorded although the answer to its append was lost. */
        @Test
        fun `gets no new work before the append is repeated`() = withSystem {
            log.losesRequest = { true }
            beginHandover()
            val atMs = nowMs
            val later = (1..REQUESTS).flatMap { send().also { pass(STEP_MS) } }
            expectThat(permit()).isLeaving()
            log.losesRequest = { false }
            expectThat(later).isEqualTo(List(REQUESTS) { null })
            expectThat(runsSince(atMs)).isEmpty()
            pass(HANDED_OVER_WITHIN_MS)
            expectThat(primary()).isNotEqualTo(former.router.id)
        }

        /** Guards against a repeated append that certainly failed and is taken for the outcome of the first one, which was recorded. */
        @Test
        @Tag("known-red")
        fun `gets no new work after a repeated append has failed`() = withSystem {
            log.losesAnswer = { true.also { log.isDown = true } }
            beginHandover()
            expectThat(primary()).isNotEqualTo(former.router.id)
            repeat(REPEATS_MS / STEP_MS.toInt()) {
                pass(STEP_MS)
                expectThat(permit()).isLeaving()
            }
        }
    }

    /** Guards against a target that nobody serves because a handover that was certainly not recorded left it stopped. */
    @Test
    fun `gets work again when the handover was certainly not recorded`() = withSystem {
        log.isDown = true
        beginHandover()
        expectThat(permit()).isLeaving()
        val endMs = nowMs + HANDED_OVER_WITHIN_MS
        while (permit() is WorkPermit.Denied && nowMs < endMs) pass(STEP_MS)
        val served = send()
        pass(100)
        expectThat(served.single()).isA<WorkResult.Answered>()
        expectThat(primary()).isEqualTo(former.router.id)
    }

    private companion object {
        /** The first target of the undivided service. */
        const val PLAIN_INDEX = 9
        const val START_MS = 6_000L
        const val STEP_MS = 10L
        const val HANDOVER_TIMEOUT_MS = 10_000L

        /** Requests that are sent before the append of the handover is repeated. */
        const val REQUESTS = 5

        /** Time in which a handover ends when its append fails at first, or is given up. */
        const val HANDED_OVER_WITHIN_MS = 2_000L

        /** Contains the first repeat of the append; the lease of the former primary lasts for longer. */
        const val REPEATS_MS = 800
    }
}
