package yuccaflow.entry.directory

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNotSameInstanceAs
import strikt.assertions.isNull
import strikt.assertions.isTrue
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.KEYED_SERVICE
import yuccaflow.entry.fake.ManualTimer
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.store.KeyedRecord

@DisplayName("The targets that a router knows")
class TargetDirectoryTest {
    private val timer = ManualTimer(10_000)
    private val log = RecordingEventLog()
    private val operators = OperatorState(FakeRecords, timer, log)
    private var storeFailedAtMs: Long? = null
    private val directory = TargetDirectory(FakeRecords, operators, timer, log) { storeFailedAtMs }
    private var offset = 0L

    private fun write(entry: TargetEntry) = FakeRecords.targetChange(entry).let { write(it.key, it.value) }

    private fun write(key: String, value: ByteArray?) = directory.onRecords(listOf(KeyedRecord(key, value, offset++)), offset)

    /** Guards against work for a target that has left. */
    @Test
    fun `a removed entry names no target any more`() {
        write(FakeRecords.entry("t", 1))
        write("t", null)
        expectThat(directory.find("t")).isNull()
    }

    /** Guards against living targets that are lost with their entries while the store is away, and kept for too long if they are gone. */
    @Test
    fun `an entry that disappears after an outage is kept for less than two seconds`() {
        write(FakeRecords.entry("t", 1))
        storeFailedAtMs = timer.now
        write("t", null)
        expectThat(directory.find("t")).isNotNull()
        timer.now += 1_900
        expectThat(directory.find("t")).isNull()
    }

    /** Guards against an entry of another writer that is taken for a target, or that disturbs the others. */
    @Test
    fun `an entry that cannot be read names no target and leaves the others`() {
        write(FakeRecords.entry("t", 1))
        write("x", "noise".toByteArray())
        expectThat(directory.find("x")).isNull()
        expectThat(directory.find("t")).isNotNull()
        expectThat(log.count("target_entry_rejected")).isEqualTo(1)
    }

    /** Guards against a target's new life that is taken for the old one: it holds no keys and may be cold. */
    @Test
    fun `a new start with the same id is another life`() {
        write(FakeRecords.entry("t", 1, bornMs = 5))
        val before = directory.find("t")!!
        write(FakeRecords.entry("t", 1, bornMs = 6))
        expectThat(directory.find("t")!!).isNotSameInstanceAs(before)
    }

    /** Guards against new work for a target that drains or whose zone is emptied. */
    @Test
    fun `a target that drains or lies in an emptied zone is not open`() {
        write(FakeRecords.entry("t", 1, zone = "z"))
        expectThat(directory.acceptsNewWork(directory.find("t")!!)).isTrue()
        operators.onRecords(listOf(KeyedRecord("empty/z", ByteArray(1), 1)), 2)
        expectThat(directory.acceptsNewWork(directory.find("t")!!)).isFalse()
        operators.onRecords(listOf(KeyedRecord("empty/z", null, 2)), 3)
        write(FakeRecords.entry("t", 1, zone = "z").copy(isDraining = true))
        expectThat(directory.acceptsNewWork(directory.find("t")!!)).isFalse()
        expectThat(directory.ofService(KEYED_SERVICE).size).isEqualTo(1)
    }

    /** Guards against a zone that stays empty for ever because the record that gave it back was never read. */
    @Test
    fun `a zone that a newer snapshot does not empty is open again`() {
        write(FakeRecords.entry("t", 1, zone = "z"))
        operators.onRecords(listOf(KeyedRecord("empty/z", ByteArray(1), 1)), 2)
        operators.onSnapshot(emptyList(), 9)
        expectThat(directory.acceptsNewWork(directory.find("t")!!)).isTrue()
    }

    /** Guards against a routing table that reverts to an older version. */
    @Test
    fun `an older routing table never replaces a newer one`() {
        listOf(3L, 2L, 7L, 5L).forEach { version ->
            operators.onRecords(listOf(KeyedRecord("table", version.toString().toByteArray(), version)), version)
        }
        expectThat(operators.table!!.version).isEqualTo(7)
    }
}
