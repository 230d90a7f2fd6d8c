package yuccaflow.entry.balance

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.ManualTimer
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.telemetry.Events

/** Targets `t1` to `t3` have been in use for a minute and respond in 100 ms; `t4` has then started. */
@DisplayName("The requests that the target chooser admits")
class TargetRampTest {
    private val timer = ManualTimer(10_000)
    private val log = RecordingEventLog()
    private val operators = OperatorState(LoadControlDecoder, timer, log)
    private val directory = TargetDirectory(LoadControlDecoder, operators, timer, log) { null }
    private val coldStartLimiter = ColdStartLimiter("r", ColdStartLimits(1.5, 5.0), operators) { setOf("r") }
    private val chooser = TargetChooser(directory, "a", timer, coldStartLimiter)

    private fun setLoadControl(isOn: Boolean) = operators.onRecords(listOf(LoadControlDecoder.tableRecord(isOn)), 1)

    private fun writeTarget(number: Int, bornMs: Long = 1, coldMs: Long = 0): TargetState {
        val entry = FakeRecords.entry("t$number", number, bornMs = bornMs, service = "s").copy(coldRemainingMs = coldMs)
        directory.onRecords(listOf(FakeRecords.targetRecord(entry, 0)), 1)
        return directory.find("t$number")!!
    }

    private fun startService() = (1..3).map { writeTarget(it) }.also { targets ->
        timer.now += 60_000
        targets.forEach { state -> repeat(5) { state.recordResponse(100, 1.0) } }
    }

    private fun context(isKeyed: Boolean = false, excluded: Set<TargetState> = emptySet()) =
        ChoiceContext(LoadControlDecoder.ROUTE, FakeRecords.serviceConfig("s", isKeyed), excluded, 1_000)

    /** Starts [requests] requests at the chosen targets and returns how many [target] got. */
    private fun load(target: TargetState, requests: Int = 10): Int = (1..requests).count {
        val chosen = (chooser.choose(context()) as? TargetChoice.Chosen)?.target
        chosen?.requestStarted()
        chosen === target
    }

    /** Returns how many requests in flight [owner] gets as the only owner of a key, up to 8. */
    private fun loadOwner(owner: TargetState): Int = (1..8).count {
        (chooser.admit(owner, context(isKeyed = true), timer.now) is TargetChoice.Chosen).also { if (it) owner.requestStarted() }
    }

    private fun respond(target: TargetState, elapsedMs: Long = 100) {
        if (target.inFlight > 0) target.requestEnded()
        target.recordResponse(elapsedMs, 1.0)
        target.recordSuccess(timer.now)
    }

    @Nested
    @DisplayName("with load control")
    inner class WithLoadControl {
        init {
            setLoadControl(true)
        }

        /** Guards against a new target that gets most of the load at once, because it is the only one without requests. */
        @Test
        fun `start with one at a new target and return to normal after a few good responses`() {
            startService()
            val started = writeTarget(4)
            expectThat(load(started)).isEqualTo(1)
            expectThat(directory.rampingCount()).isEqualTo(1)
            repeat(RampUp.GOOD_RESPONSES_TO_END) { respond(started) }
            expectThat(directory.rampingCount()).isEqualTo(0)
            expectThat(load(started) > 1).isTrue()
            expectThat(log.events.map { it.first }.filter { "ramp" in it })
                .isEqualTo(listOf(Events.TARGET_RAMP_STARTED, Events.TARGET_RAMP_ENDED))
        }

        /** Guards against a slow start of a whole system, in which all targets are new. */
        @Test
        fun `are not limited when all targets are first seen together`() {
            val targets = (1..3).map { writeTarget(it, coldMs = 1_000) }
            timer.now += 1_000
            targets[0].recordResponse(100, 1.0)
            load(targets[0], requests = 9)
            expectThat(targets.sumOf { it.inFlight }).isEqualTo(9)
            expectThat(log.count(Events.TARGET_RAMP_STARTED)).isEqualTo(0)
        }

        /** Guards against full traffic at the moment at which the cold time ends. */
        @Test
        fun `start with one after the cold time, and stay within the cold start limit before`() {
            startService()
            val started = writeTarget(4, coldMs = 3_000)
            expectThat(load(started)).isLessThanOrEqualTo(1)
            expectThat(directory.rampingCount()).isEqualTo(0)
            timer.now += 3_000
            repeat(started.inFlight) { started.requestEnded() }
            expectThat(load(started)).isEqualTo(1)
            expectThat(directory.rampingCount()).isEqualTo(1)
        }

        /** Guards against full traffic at the moment at which a suspicion or a pause ends, which is the same for all routers. */
        @Test
        fun `start with one after a suspicion and after a pause`() {
            val (suspected, paused) = startService()
            suspected.recordFailure(timer.now, isUnreachable = true)
            paused.pauseUntil(timer.now + 1_000)
            timer.now += 1_000
            load(suspected)
            expectThat(listOf(suspected, paused).map { it.inFlight }).isEqualTo(listOf(1, 1))
        }

        /** Guards against keys that nobody serves while their owner is in order, and against flooding it when it is not. */
        @Test
        fun `are limited for the only owner of a key only after a refusal`() {
            startService()
            val owner = writeTarget(4)
            expectThat(loadOwner(owner)).isEqualTo(8)
            repeat(8) { owner.requestEnded() }
            owner.recordRefusal()
            expectThat(loadOwner(owner)).isEqualTo(1)
            respond(owner)
            expectThat(loadOwner(owner)).isEqualTo(8)
        }

        /** Guards against a target that stays limited after a later routing table has disabled load control. */
        @Test
        fun `are not limited after load control was disabled`() {
            startService()
            val started = writeTarget(4)
            load(started)
            setLoadControl(false)
            expectThat(directory.rampingCount()).isEqualTo(0)
            expectThat(load(started) > 0).isTrue()
        }
    }

    @Nested
    @DisplayName("without load control")
    inner class WithoutLoadControl {
        /** Guards against changed decisions in deployments without uploads and downloads. */
        @Test
        fun `are not limited for a new target, nor after a suspicion, a pause or refusals`() {
            setLoadControl(false)
            val (suspected) = startService()
            val started = writeTarget(4)
            suspected.recordFailure(timer.now, isUnreachable = true)
            timer.now += 250
            repeat(3) { started.recordRefusal() }
            load(started, requests = 40)
            expectThat(started.inFlight > 1 && suspected.inFlight > 1).isTrue()
            expectThat(log.count(Events.TARGET_RAMP_STARTED)).isEqualTo(0)
        }
    }
}
