package yuccaflow.entry.balance

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.config.RequestKind
import yuccaflow.entry.config.Route
import yuccaflow.entry.config.ServiceShare
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.directory.TargetEntry
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.ManualTimer
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.store.KeyedRecord

/** Uses up to two targets, which are in the router's own zone unless a test says otherwise. */
@DisplayName("The target chooser")
class TargetChooserTest {
    private val timer = ManualTimer(10_000)
    private val log = RecordingEventLog()
    private val operators = OperatorState(FakeRecords, timer, log)
    private val directory = TargetDirectory(FakeRecords, operators, timer, log) { null }
    private val coldStartLimiter = ColdStartLimiter("r", ColdStartLimits(1.5, 5.0), operators) { setOf("r") }
    private val chooser = TargetChooser(directory, "a", timer, coldStartLimiter)
    private val route = Route("read", "h", "/", RequestKind.IDEMPOTENT, 1_000, 200, 2, 1, persistentListOf(ServiceShare("s", 1.0)))

    private fun entry(id: String, zone: String = "a") = FakeRecords.entry(id, id.drop(1).toInt(), zone = zone, service = "s")

    private fun write(entry: TargetEntry) {
        val change = FakeRecords.targetChange(entry)
        directory.onRecords(listOf(KeyedRecord(change.key, change.value, 0)), 1)
    }

    private fun choose(excluded: Set<TargetState> = emptySet(), remainingMs: Long = 1_000): String? {
        val choice = chooser.choose(ChoiceContext(route, FakeRecords.serviceConfig("s"), excluded, remainingMs))
        return (choice as? TargetChoice.Chosen)?.target?.entry?.id
    }

    /** The distinct targets of many choices, in the order of their first choice. */
    private fun chosen(excluded: Set<TargetState> = emptySet()) = List(CHOICES) { choose(excluded) }.distinct()

    @Nested
    @DisplayName("does not choose")
    inner class Ineligible {
        /** Guards against new requests to a target that has announced that it is leaving. */
        @Test
        fun `a draining target`() {
            write(entry("t1").copy(isDraining = true))
            write(entry("t2"))
            expectThat(chosen()).isEqualTo(listOf("t2"))
        }

        /** Guards against new requests to a zone that the operators have emptied. */
        @Test
        fun `a target in an emptied zone`() {
            write(entry("t1", zone = "z"))
            operators.onRecords(listOf(KeyedRecord("empty/z", ByteArray(1), 0)), 1)
            expectThat(chosen()).isEqualTo(listOf(null))
        }

        /** Guards against a retry at the target that has just failed. */
        @Test
        fun `a target that has been tried`() {
            write(entry("t1"))
            write(entry("t2"))
            expectThat(chosen(excluded = setOf(directory.find("t1")!!))).isEqualTo(listOf("t2"))
        }

        /** Guards against requests to a target that cannot be reached. */
        @Test
        fun `a suspected target, even if it is the only one`() {
            write(entry("t1"))
            directory.find("t1")!!.recordFailure(timer.now, isUnreachable = true)
            expectThat(chosen()).isEqualTo(listOf(null))
        }

        /** Guards against requests that are refused at a cold target while a warm one has capacity. */
        @Test
        fun `a cold target without tokens, but a warm one`() {
            write(entry("t1").copy(coldRemainingMs = 60_000))
            write(entry("t2"))
            coldStartLimiter.tryAcquire(directory.find("t1")!!, FakeRecords.serviceConfig("s"), timer.now)
            expectThat(chosen()).isEqualTo(listOf("t2"))
        }
    }

    /** Guards against requests to a cold target that the cold-start limiter does not count. */
    @Test
    fun `sends a target that has turned cold no more than the cold-start limiter allows`() {
        write(entry("t1"))
        write(entry("t1").copy(coldRemainingMs = 60_000))
        expectThat((1..CHOICES).count { choose() != null }).isLessThanOrEqualTo(1)
    }

    /** Guards against a request that waits at an overloaded target until its deadline has passed. */
    @Test
    fun `refuses a request that no target is expected to answer in time`() {
        write(entry("t1"))
        expectThat(choose(remainingMs = 10)).isNull()
    }

    /** Guards against an unbounded queue at the target when callers have long deadlines. */
    @Test
    fun `refuses requests if the queue of the only target is long`() {
        write(entry("t1"))
        repeat(QUEUED) { directory.find("t1")!!.requestStarted() }
        expectThat(choose(remainingMs = 1_000_000)).isNull()
    }

    private companion object {
        const val CHOICES = 20
        const val QUEUED = 20
    }
}
