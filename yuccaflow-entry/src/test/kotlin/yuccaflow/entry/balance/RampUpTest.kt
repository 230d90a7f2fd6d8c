package yuccaflow.entry.balance

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import yuccaflow.entry.fake.ManualTimer

/** The service's typical response takes 100 ms, and the target has 16 slots, unless a test says otherwise. */
@DisplayName("The ramp of a target")
class RampUpTest {
    private val timer = ManualTimer(10_000)
    private val context = FakeSurroundings()
    private val rampUp = RampUp(timer, context)

    private class FakeSurroundings : RampContext {
        override var isEnabled = true
        override var slots = 16
        override var ownServiceTimeMs: Double? = null
        override var typicalServiceTimeMs: Double? = 100.0
        override var isOneOfManyNew = false
        var started: List<RampCause> = emptyList()
        var ended: List<RampEnd> = emptyList()

        override fun onStarted(cause: RampCause) {
            started += cause
        }

        override fun onEnded(cause: RampCause, reason: RampEnd, durationMs: Long, limit: Int) {
            ended += reason
        }
    }

    /** The number of requests in flight that the ramp allows, up to [MANY]. */
    private fun limit(isOnlyOwner: Boolean = false) = (0 until MANY).count { rampUp.allowsRequest(it, isOnlyOwner) }

    private fun start(cause: RampCause = RampCause.FIRST_SEEN) {
        rampUp.startAt(timer.now, cause)
        limit()
    }

    private fun respond(serviceTimeMs: Double, times: Int = 1, mayTakeLong: Boolean = false) =
        repeat(times) { rampUp.recordResponse(serviceTimeMs, mayTakeLong) }

    private fun trouble(times: Int = 1) = repeat(times) {
        timer.now += 200
        rampUp.recordProblem()
    }

    @Nested
    @DisplayName("for a restarted target that is slow at first")
    inner class SlowAtFirst {
        /** Guards against many routers that fill the queue of a target which cannot keep up yet. */
        @Test
        fun `keeps one request in flight while the responses are several times slower`() {
            start()
            respond(500.0, times = 10)
            expectThat(limit()).isEqualTo(1)
        }

        /** Guards against a limit that grows while the target is still slower than usual. */
        @Test
        fun `neither grows nor shrinks with responses between usual and much slower`() {
            start()
            respond(100.0)
            respond(300.0, times = 10)
            expectThat(limit()).isEqualTo(2)
        }

        /** Guards against a target that stays limited after it has warmed up. */
        @Test
        fun `ends soon after the responses have become as fast as usual`() {
            start()
            respond(500.0, times = 10)
            respond(120.0, times = RampUp.GOOD_RESPONSES_TO_END)
            expectThat(limit()).isEqualTo(MANY)
            expectThat(context.ended).isEqualTo(listOf(RampEnd.USUAL_SPEED))
        }

        /** Guards against refused keys, which no other target can serve, while their owner is in order. */
        @Test
        fun `limits the only owner of a key only while its responses are slow`() {
            start()
            expectThat(limit(isOnlyOwner = true)).isEqualTo(MANY)
            respond(500.0)
            expectThat(limit(isOnlyOwner = true)).isEqualTo(1)
            respond(100.0)
            expectThat(limit(isOnlyOwner = true)).isEqualTo(MANY)
            expectThat(limit()).isEqualTo(2)
        }

        /** Guards against an owner whose keys stay refused because of one sign of trouble long ago. */
        @Test
        fun `stops limiting the only owner some time after the last slow response`() {
            start()
            respond(500.0)
            timer.now += 2_500
            expectThat(limit(isOnlyOwner = true)).isEqualTo(MANY)
        }
    }

    @Nested
    @DisplayName("for a target that is healthy at once")
    inner class HealthyAtOnce {
        /** Guards against a new target that stays nearly idle while the others are busy. */
        @Test
        fun `adds one request for each good response and ends after a few`() {
            start()
            val limits = List(RampUp.GOOD_RESPONSES_TO_END) { limit().also { respond(100.0) } }
            expectThat(limits).isEqualTo(listOf(1, 2, 3, 4))
            expectThat(limit()).isEqualTo(MANY)
        }

        /** Guards against a ramp that outlasts a target's own capacity. */
        @Test
        fun `ends when the limit has reached the slots`() {
            context.slots = 3
            start()
            respond(100.0, times = 2)
            expectThat(context.ended).isEqualTo(listOf(RampEnd.LIMIT_REACHED))
        }

        /** Guards against a target on a slow machine that can never prove itself. */
        @Test
        fun `measures a target that has always been slower by its own speed`() {
            context.ownServiceTimeMs = 280.0
            start(RampCause.SUSPECTED)
            respond(450.0, times = RampUp.GOOD_RESPONSES_TO_END)
            expectThat(context.ended).isEqualTo(listOf(RampEnd.USUAL_SPEED))
        }

        /** Guards against a large transfer that is taken for a slow target. */
        @Test
        fun `does not count a response as slow that takes long because of its size`() {
            start()
            respond(100.0)
            respond(5_000.0, mayTakeLong = true)
            expectThat(limit()).isEqualTo(2)
        }

        /** Guards against a slow start of the whole system, when no target has responded yet or all are equally new. */
        @Test
        fun `does not start without a typical response or together with most other targets`() {
            context.typicalServiceTimeMs = null
            start()
            context.typicalServiceTimeMs = 100.0
            context.isOneOfManyNew = true
            start()
            start(RampCause.COLD)
            expectThat(limit()).isEqualTo(MANY)
            expectThat(context.started).isEqualTo(emptyList())
        }

        /** Guards against a changed decision for deployments without load control. */
        @Test
        fun `never limits without load control`() {
            context.isEnabled = false
            RampCause.entries.forEach { start(it) }
            trouble(times = 5)
            expectThat(limit()).isEqualTo(MANY)
            expectThat(context.started).isEqualTo(emptyList())
        }
    }

    @Nested
    @DisplayName("for a target that refuses")
    inner class Refusing {
        /** Guards against a limit that stays above what the target accepts. */
        @Test
        fun `halves the limit at each refusal but allows one request`() {
            start()
            respond(100.0, times = 3)
            val limits = List(4) { limit().also { trouble() } }
            expectThat(limits).isEqualTo(listOf(4, 2, 1, 1))
        }

        /** Guards against a collapse of the limit because several requests of one round are refused together. */
        @Test
        fun `halves the limit once for refusals that come together`() {
            start()
            respond(100.0, times = 3)
            repeat(3) { rampUp.recordProblem() }
            expectThat(limit()).isEqualTo(2)
        }

        /** Guards against a target that counts as proven although it has refused requests in between. */
        @Test
        fun `counts good responses from the last refusal`() {
            start()
            respond(100.0, times = 3)
            trouble()
            respond(100.0, times = 3)
            expectThat(rampUp.isRamping).isTrue()
        }

        /** Guards against all keys' requests being sent to an owner that refuses them. */
        @Test
        fun `limits the only owner of a key`() {
            start()
            trouble()
            expectThat(limit(isOnlyOwner = true)).isEqualTo(1)
        }
    }

    @Nested
    @DisplayName("for a target that fails again")
    inner class FailingAgain {
        /** Guards against full traffic at the moment at which the next suspicion ends. */
        @Test
        fun `starts again with one request after the next suspicion`() {
            start(RampCause.SUSPECTED)
            respond(100.0, times = 2)
            rampUp.startAt(timer.now + 500, RampCause.SUSPECTED)
            expectThat(rampUp.isRamping).isFalse()
            timer.now += 500
            expectThat(limit()).isEqualTo(1)
            expectThat(context.started).isEqualTo(listOf(RampCause.SUSPECTED, RampCause.SUSPECTED))
            expectThat(context.ended).isEqualTo(listOf(RampEnd.INTERRUPTED))
        }

        /** Guards against full traffic between a success that ends a suspicion early and the time at which it would have ended. */
        @Test
        fun `starts at once when a success ends the suspicion`() {
            rampUp.startAt(timer.now + 500, RampCause.SUSPECTED)
            rampUp.suspicionEnded()
            expectThat(limit()).isEqualTo(1)
        }

        /** Guards against a short suspicion that hides the end of a longer cold time. */
        @Test
        fun `waits for the latest of the times from which on it may get requests`() {
            rampUp.startAt(timer.now + 3_000, RampCause.COLD)
            rampUp.startAt(timer.now + 250, RampCause.SUSPECTED)
            timer.now += 3_000
            limit()
            expectThat(context.started).isEqualTo(listOf(RampCause.COLD))
        }
    }

    @Nested
    @DisplayName("with few requests per router")
    inner class FewRequests {
        /** Guards against a target that a router limits for as long as it has hardly any requests for it. */
        @Test
        fun `ends after a while without trouble`() {
            start()
            timer.now += RampUp.PROBLEM_FREE_MS
            expectThat(limit()).isEqualTo(MANY)
            expectThat(context.ended).isEqualTo(listOf(RampEnd.TIME))
        }

        /** Guards against a ramp that runs out while the target is in trouble. */
        @Test
        fun `counts that time from the last trouble`() {
            start()
            repeat(30) { trouble() }
            expectThat(limit()).isEqualTo(1)
        }

        /** Guards against a late ramp for a target that the other routers have been using for long. */
        @Test
        fun `does not start if the target was not needed until long after its recovery`() {
            rampUp.startAt(timer.now, RampCause.PAUSED)
            timer.now += RampUp.PROBLEM_FREE_MS
            expectThat(limit()).isEqualTo(MANY)
            expectThat(context.started).isEqualTo(emptyList())
        }
    }

    private companion object {
        const val MANY = 50
    }
}
