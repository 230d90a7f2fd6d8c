package yuccaflow.entry.balance

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import yuccaflow.entry.admission.AdmissionResult
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.config.RequestKind
import yuccaflow.entry.config.Route
import yuccaflow.entry.config.ServiceShare
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.ManualTimer
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.store.KeyedRecord
import kotlin.random.Random

/** Targets have four slots and answer in 200 ms; the objective is 800 ms. */
@DisplayName("The target chooser under load control")
class LoadControlledChoiceTest {
    private val timer = ManualTimer(10_000)
    private val log = RecordingEventLog()
    private val operators = OperatorState(FakeRecords, timer, log)
    private val directory = TargetDirectory(FakeRecords, operators, timer, log) { null }
    private val limiter = ColdStartLimiter("r", ColdStartLimits(1.5, 5.0), operators) { setOf("r") }
    private val chooser = TargetChooser(directory, "a", timer, limiter, Random(1))
    private val route = Route("read", "h", "/", RequestKind.IDEMPOTENT, 5_000, 800, 2, 0, persistentListOf(ServiceShare("s", 1.0)))
    private var requests = 0

    private fun addTargets(count: Int, zone: (Int) -> String = { "a" }) = (1..count).map { number ->
        val entry = FakeRecords.entry("t$number", number, zone = zone(number), service = "s")
        val change = FakeRecords.targetChange(entry)
        directory.onRecords(listOf(KeyedRecord(change.key, change.value, 0)), 1)
        directory.find("t$number")!!.apply { recordResponse(200, 1.0) }
    }

    private fun choose(remainingMs: Long = 3_000): TargetChoice =
        chooser.choose(ChoiceContext(route, FakeRecords.serviceConfig("s"), emptySet(), remainingMs, "r${requests++}", true))

    private fun chosenCounts(choices: Int) = List(choices) { (choose() as TargetChoice.Chosen).target }.groupingBy { it }.eachCount()

    /** Guards against routers that all choose the same best target and overload it. */
    @Test
    fun `does not send nearly all requests to the best target`() {
        val targets = addTargets(8)
        targets.drop(1).forEach { target -> repeat(4) { target.requestStarted() } }
        val counts = chosenCounts(400)
        expectThat(counts.getValue(targets[0])).isLessThan(200)
        expectThat(counts.size).isEqualTo(8)
    }

    /** Guards against traffic between zones, which is charged, because a sample has no target of the own zone. */
    @Test
    fun `prefers targets of its zone`() {
        addTargets(9) { if (it <= 3) "a" else "b" }
        val counts = chosenCounts(300)
        expectThat(counts.filterKeys { it.entry.zone == "a" }.values.sum()).isGreaterThan(270)
    }

    /** Guards against a refusal although a target outside the sample is free. */
    @Test
    fun `admits a request if any target has capacity`() {
        val targets = addTargets(8)
        targets.dropLast(1).forEach { target -> repeat(80) { target.requestStarted() } }
        repeat(20) { expectThat(choose()).isA<TargetChoice.Chosen>() }
    }

    /** Guards against a limit that is too short for fast targets and too long for slow ones. */
    @Test
    fun `limits the queue in time and not in requests`() {
        val target = addTargets(1).single()
        repeat(16) { target.requestStarted() }
        expectThat(choose()).isA<TargetChoice.Chosen>()
        repeat(80) { target.recordResponse(600, 1.0) }
        expectThat(choose()).isA<TargetChoice.None>()
    }

    /** Guards against refused callers that return together, and against refusals that do not name their cause. */
    @Test
    fun `gives refused callers one place after the other`() {
        val target = addTargets(1).single()
        repeat(30) { target.requestStarted() }
        val refusals = List(3) { choose() as TargetChoice.None }
        expectThat(refusals.map { it.decision?.result }.distinct()).isEqualTo(listOf(AdmissionResult.QUEUE_TOO_LONG))
        // The queue drains by one request in 50 ms: 200 ms on four slots.
        expectThat(refusals.map { it.retryAfterMs - refusals[0].retryAfterMs }).isEqualTo(listOf(0L, 50L, 100L))
    }

    /** Guards against work for a caller that no longer waits, at a target that this router has not asked for long. */
    @Test
    fun `refuses a request with little time left`() {
        addTargets(1)
        timer.now += 60_000
        expectThat((choose(remainingMs = 100) as? TargetChoice.None)?.decision?.result).isEqualTo(AdmissionResult.TOO_LATE)
    }

    /** Guards against a target that is never asked again because it was slow once. */
    @Test
    fun `lets one request through in a while if only old answers are too slow`() {
        val target = addTargets(1).single()
        repeat(80) { target.recordResponse(4_000, 1.0) }
        expectThat(List(5) { choose() }.count { it is TargetChoice.Chosen }).isEqualTo(1)
        timer.now += 1_000
        expectThat(choose()).isA<TargetChoice.Chosen>()
    }

    /** Guards against short requests that are refused because a large transfer to the same target took long. */
    @Test
    fun `does not expect a short request to take as long as a large transfer`() {
        val target = addTargets(1).single()
        repeat(20) { target.recordResponse(20_000, 1.0, isLargeTransfer = true, weighedAtMs = timer.now) }
        repeat(5) { expectThat(choose()).isA<TargetChoice.Chosen>() }
    }

    /** Guards against a target that gets no requests for long after it was slow, because only requests could show that it is fast again. */
    @Test
    fun `returns to a target that was slow`() {
        val targets = addTargets(8)
        repeat(80) { targets[0].recordResponse(1_600, 1.0, weighedAtMs = timer.now) }
        expectThat(chosenCounts(200)[targets[0]]).isEqualTo(null)
        timer.now += 60_000
        targets.forEach { target -> target.requestStarted() }
        targets[0].requestEnded()
        targets.drop(1).forEach { target -> repeat(5) { target.requestStarted() } }
        expectThat(chosenCounts(200)[targets[0]] ?: 0).isGreaterThan(20)
        repeat(3) { targets[0].recordResponse(200, 1.0, weighedAtMs = timer.now) }
        expectThat(targets[0].serviceTimeMsOrNull!!).isLessThan(300.0)
    }

    /** Guards against a caller with a high priority that is told to return behind callers whose requests wait for a shorter queue. */
    @Test
    fun `gives callers of each priority places of their own`() {
        val target = addTargets(1).single()
        repeat(30) { target.requestStarted() }
        val lowPriority = route.copy(priority = 4)
        repeat(20) { chooser.choose(ChoiceContext(lowPriority, FakeRecords.serviceConfig("s"), emptySet(), 3_000, "low$it", true)) }
        expectThat((choose() as TargetChoice.None).retryAfterMs).isLessThan(300)
    }
}
