package yuccaflow.entry.directory

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.ManualTimer
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.store.KeyedRecord

@DisplayName("The state of operators and targets in a new era of the store")
class NewEraStateTest {
    private val timer = ManualTimer(10_000)
    private val log = RecordingEventLog()
    private val operators = OperatorState(FakeRecords, timer, log)
    private val directory = TargetDirectory(FakeRecords, operators, timer, log) { null }
    private val emptied = KeyedRecord("empty/a", byteArrayOf(1), 0)

    /** Guards against requests to a zone that the operators have emptied, in the time in which its record is lost. */
    @Test
    fun `an emptied zone stays emptied for five seconds although its record is missing`() {
        operators.onSnapshot(listOf(emptied), 1)
        operators.onNewEra(1)
        operators.onSnapshot(emptyList(), 0)
        timer.now += 4_900
        expectThat(operators.isEmptied("a")).isTrue()
        timer.now += 200
        expectThat(operators.isEmptied("a")).isFalse()
    }

    /** Guards against a zone that is returned by a timer although the operators have written its record again. */
    @Test
    fun `a zone whose record is written again stays emptied`() {
        operators.onSnapshot(listOf(emptied), 1)
        operators.onNewEra(1)
        operators.onSnapshot(emptyList(), 0)
        operators.onRecords(listOf(emptied), 1)
        timer.now += 60_000
        expectThat(operators.isEmptied("a")).isTrue()
    }

    /** Guards against a zone that stays emptied although operators have returned it, because a snapshot without it was taken for a loss. */
    @Test
    fun `a zone whose record is removed is returned at once`() {
        operators.onSnapshot(listOf(emptied), 1)
        operators.onNewEra(1)
        operators.onSnapshot(listOf(emptied), 1)
        operators.onRecords(listOf(KeyedRecord("empty/a", null, 1)), 2)
        expectThat(operators.isEmptied("a")).isFalse()
    }

    /** Guards against a routing table that reverts to the older version which the copy of the store has. */
    @Test
    fun `the routing table stays`() {
        operators.onSnapshot(listOf(KeyedRecord("table", "7".toByteArray(), 0)), 1)
        operators.onNewEra(1)
        operators.onSnapshot(listOf(KeyedRecord("table", "6".toByteArray(), 0)), 1)
        expectThat(operators.table?.version).isEqualTo(7)
    }

    /** Guards against dropping running targets whose entries were lost, and against keeping stopped ones for too long. */
    @Test
    fun `a target whose entry is missing is kept for less than two seconds`() {
        directory.onSnapshot(listOf(FakeRecords.targetRecord(FakeRecords.entry("t", 1), 0)), 1)
        directory.onNewEra(1)
        directory.onSnapshot(emptyList(), 0)
        timer.now += 1_600
        expectThat(directory.find("t")).isNotNull()
        timer.now += 200
        expectThat(directory.find("t")).isNull()
    }

    /** Guards against requests to a target that leaves, because the store has brought back an entry from before its announcement. */
    @Test
    fun `a target that has announced that it drains keeps draining`() {
        for (bornMs in listOf(5L, null)) {
            val entry = FakeRecords.entry("t", 1).copy(bornMs = bornMs)
            val directory = TargetDirectory(FixedDecoder, operators, timer, log) { null }
            FixedDecoder.entry = entry.copy(isDraining = true)
            directory.onSnapshot(listOf(KeyedRecord("t", byteArrayOf(1), 0)), 1)
            directory.onNewEra(1)
            FixedDecoder.entry = entry
            directory.onSnapshot(listOf(KeyedRecord("t", byteArrayOf(1), 0)), 1)
            expectThat(directory.find("t")!!.draining).isNotNull()
        }
    }

    /** Decodes each record as [entry]. */
    private object FixedDecoder : RecordDecoder by FakeRecords {
        lateinit var entry: TargetEntry

        override fun decodeTargetRecord(key: String, value: ByteArray) = TargetRecord.Valid(entry)
    }
}
