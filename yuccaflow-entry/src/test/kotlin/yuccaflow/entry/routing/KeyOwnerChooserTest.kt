package yuccaflow.entry.routing

import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import yuccaflow.entry.balance.ChoiceContext
import yuccaflow.entry.balance.ColdStartLimiter
import yuccaflow.entry.balance.ColdStartLimits
import yuccaflow.entry.balance.TargetChoice
import yuccaflow.entry.balance.TargetChooser
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.config.RequestKind
import yuccaflow.entry.config.Route
import yuccaflow.entry.config.ServiceShare
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.directory.TargetEntry
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.KEYED_SERVICE
import yuccaflow.entry.fake.ManualTimer
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.keys.Assignment
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.FIRST_KEY
import yuccaflow.entry.keys.FormerHolder
import yuccaflow.entry.keys.LAST_KEY
import yuccaflow.entry.keys.incarnationOf
import yuccaflow.entry.store.KeyedRecord

/** Target `t1` owns all keys. */
@DisplayName("The key owner chooser")
class KeyOwnerChooserTest {
    private val timer = ManualTimer(10_000)
    private val log = RecordingEventLog()
    private val operators = OperatorState(FakeRecords, timer, log)
    private val directory = TargetDirectory(FakeRecords, operators, timer, log) { null }
    private val records = ClusterState(timer, log)
    private val targetChooser =
        TargetChooser(directory, "a", timer, ColdStartLimiter("r", ColdStartLimits(1.5, 5.0), operators) { setOf("r") })
    private val chooser = KeyOwnerChooser(records, directory, operators, targetChooser, timer) { }
    private val route =
        Route("read", "h", "/", RequestKind.IDEMPOTENT, 1_000, 200, 2, 1, persistentListOf(ServiceShare(KEYED_SERVICE, 1.0)))
    private val owner = FakeRecords.entry("t1", 1, zone = "z", bornMs = 5)
    private val former = FakeRecords.entry("t2", 2, zone = "z", bornMs = 5)

    init {
        write(owner)
        assign(isMoving = false)
    }

    private fun write(entry: TargetEntry, writtenAfterMs: Long = timer.now) =
        FakeRecords.targetChange(entry).let { writeTarget(it.key, it.value, writtenAfterMs) }

    private fun writeTarget(id: String, value: ByteArray?, writtenAfterMs: Long = timer.now) =
        directory.onRecords(listOf(KeyedRecord(id, value, 0)), 1, writtenAfterMs)

    private fun emptyZone(writtenAfterMs: Long) = operators.onRecords(listOf(KeyedRecord("empty/z", ByteArray(1), 0)), 1, writtenAfterMs)

    private fun assign(isMoving: Boolean, generation: Long = 1, formers: List<FormerHolder> = emptyList()) {
        val assignment = Assignment(KEYED_SERVICE, FIRST_KEY, LAST_KEY, incarnationOf(owner), generation, formers, isMoving)
        val change = ClusterState.rangeChange(assignment)
        records.onRecords(listOf(KeyedRecord(change.key, change.value, 0)), 1)
    }

    private suspend fun chosenTarget(): String? {
        val context = ChoiceContext(route, FakeRecords.serviceConfig(KEYED_SERVICE, isKeyed = true), emptySet(), 1_000)
        return (chooser.choose(KEY, context) as? TargetChoice.Chosen)?.target?.entry?.id
    }

    @Nested
    @DisplayName("given a leaving owner")
    inner class Leaving {
        /** Guards against requests to a target more than 2 s after it began to drain, and against requests that are refused before that. */
        @Test
        fun `chooses it until shortly before two seconds after it began to drain`() = runTest {
            write(owner.copy(isDraining = true))
            expectThat(chosenTarget()).isEqualTo("t1")
            timer.now += 1_900
            expectThat(chosenTarget()).isNull()
        }

        /** Guards against requests to a zone more than 5 s after the operators have emptied it. */
        @Test
        fun `chooses it until shortly before five seconds after its zone was emptied`() = runTest {
            emptyZone(writtenAfterMs = timer.now)
            expectThat(chosenTarget()).isEqualTo("t1")
            timer.now += 4_800
            expectThat(chosenTarget()).isNull()
        }

        /** Guards against unserved keys although their owner is still running, and against requests to it after 2 s. */
        @Test
        fun `chooses it for a while after its entry was removed`() = runTest {
            writeTarget("t1", null)
            expectThat(chosenTarget()).isEqualTo("t1")
            timer.now += 1_900
            expectThat(chosenTarget()).isNull()
        }

        /** Guards against requests to a target more than 2 s after it began to drain, because this router read so late. */
        @Test
        fun `counts from the earliest time at which it may have begun to drain`() = runTest {
            write(owner.copy(isDraining = true), writtenAfterMs = timer.now - 1_900)
            expectThat(chosenTarget()).isNull()
        }

        /** Guards against requests to a target more than 2 s after its entry was removed, because this router read so late. */
        @Test
        fun `counts from the earliest time at which its entry may have been removed`() = runTest {
            writeTarget("t1", null, writtenAfterMs = timer.now - 1_900)
            expectThat(chosenTarget()).isNull()
        }

        /** Guards against requests to a zone more than 5 s after the operators have emptied it, because this router read so late. */
        @Test
        fun `counts from the earliest time at which its zone may have been emptied`() = runTest {
            emptyZone(writtenAfterMs = timer.now - 4_900)
            expectThat(chosenTarget()).isNull()
        }

        /** Guards against a leaving owner that is used for another while after a foreign record has replaced its entry for a moment. */
        @Test
        fun `does not count anew after its entry was rejected and listed again`() = runTest {
            write(owner.copy(isDraining = true))
            timer.now += 1_000
            writeTarget("t1", "noise".toByteArray())
            timer.now += 900
            write(owner.copy(isDraining = true))
            expectThat(chosenTarget()).isNull()
        }

        /** Guards against refused requests although the planner is about to move the keys. */
        @Test
        fun `waits for the move of its keys when it must not be used any more`() = runTest {
            write(owner.copy(isDraining = true), writtenAfterMs = timer.now - 1_900)
            val askedAtMs = timer.now
            chosenTarget()
            expectThat(timer.now - askedAtMs).isGreaterThanOrEqualTo(250)
        }
    }

    @Nested
    @DisplayName("given an owner without a grant for the key")
    inner class NotOwning {
        /** Guards against requests to a restarted owner, which has lost all grants. */
        @Test
        fun `does not choose another incarnation of the owner`() = runTest {
            write(owner.copy(bornMs = 6))
            expectThat(chosenTarget()).isNull()
        }

        /** Guards against requests that reach the new owner before its grant. */
        @Test
        fun `waits until the grant can have arrived`() = runTest {
            assign(isMoving = true)
            expectThat(chosenTarget()).isNull()
            timer.now += 300
            expectThat(chosenTarget()).isEqualTo("t1")
        }
    }

    @Nested
    @DisplayName("given a new owner that refused a request because it waits for its grant")
    inner class NewOwnerRefused {
        private fun refuseByNewOwner() {
            timer.now += 300
            chooser.recordNotOwner(KEYED_SERVICE, KEY, directory.find("t1")!!)
        }

        /** Guards against requests that use up the retry budget at an owner that has just refused the key. */
        @Test
        fun `asks it again only after a while`() = runTest {
            assign(isMoving = true)
            refuseByNewOwner()
            expectThat(chosenTarget()).isNull()
            timer.now += 1_000
            expectThat(chosenTarget()).isEqualTo("t1")
        }

        /** Guards against keys that stay unserved after the new owner has confirmed its grant. */
        @Test
        fun `chooses it as soon as it is recorded as the owner`() = runTest {
            assign(isMoving = true)
            refuseByNewOwner()
            assign(isMoving = false)
            expectThat(chosenTarget()).isEqualTo("t1")
        }

        /** Guards against unserved keys while their former owner still has its grant. */
        @Test
        fun `chooses the former owner`() = runTest {
            write(former)
            assign(isMoving = true, generation = 2, formers = listOf(FormerHolder(incarnationOf(former), 1)))
            refuseByNewOwner()
            expectThat(chosenTarget()).isEqualTo("t2")
        }
    }

    @Nested
    @DisplayName("given an owner that has asked for a pause")
    inner class PausedOwner {
        private fun pauseFor(ms: Long) = directory.find("t1")!!.pauseUntil(timer.now + ms)

        /** Guards against refused requests although their owner takes requests again well before their deadline. */
        @Test
        fun `waits for a short pause`() = runTest {
            pauseFor(100)
            val askedAtMs = timer.now
            expectThat(chosenTarget()).isEqualTo("t1")
            expectThat(timer.now - askedAtMs).isEqualTo(100)
        }

        /** Guards against callers that wait for a pause that is too long for them. */
        @Test
        fun `refuses at once if the pause is long`() = runTest {
            pauseFor(600)
            val askedAtMs = timer.now
            expectThat(chosenTarget()).isNull()
            expectThat(timer.now).isEqualTo(askedAtMs)
        }

        /** Guards against a queue that overwhelms the owner when its pause ends. */
        @Test
        fun `lets only as many requests wait as it has slots`() = runTest {
            pauseFor(100)
            directory.find("t1")!!.waitingForPause = owner.slots
            expectThat(chosenTarget()).isNull()
        }

        /** Guards against all requests at once when the pause ends. */
        @Test
        fun `admits them gradually after the pause`() = runTest {
            pauseFor(100)
            val state = directory.find("t1")!!
            timer.now += 100
            state.requestStarted()
            expectThat(state.pauseAllowsRequest(timer.now)).isFalse()
            timer.now += 250
            expectThat(state.pauseAllowsRequest(timer.now)).isTrue()
            repeat(owner.slots) { state.requestStarted() }
            expectThat(state.pauseAllowsRequest(timer.now)).isFalse()
            timer.now += 1_500
            expectThat(state.pauseAllowsRequest(timer.now)).isTrue()
        }
    }

    /** Guards against requests that wait in vain while the grant of an unreachable former owner is waited out. */
    @Test
    fun `does not wait for a move that takes long`() = runTest {
        write(owner.copy(bornMs = 6))
        assign(isMoving = true)
        timer.now += 2_000
        val askedAtMs = timer.now
        expectThat(chosenTarget()).isNull()
        expectThat(timer.now).isEqualTo(askedAtMs)
    }

    /** Guards against requests to an owner that cannot be reached. */
    @Test
    fun `does not choose a suspected owner`() = runTest {
        directory.find("t1")!!.recordFailure(timer.now, isUnreachable = true)
        expectThat(chosenTarget()).isNull()
    }

    private companion object {
        const val KEY = 7
    }
}
