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

@DisplayName("The target directory")
class TargetDirectoryTest {
    private val timer = ManualTimer(10_000)
    private val log = RecordingEventLog()
    private val operators = OperatorState(FakeRecords, timer, log)
    private var storeFailedAtMs: Long? = null
    private val directory = TargetDirectory(FakeRecords, operators, timer, log) { storeFailedAtMs }
    private var offset = 0L

    private fun write(entry: TargetEntry) = FakeRecords.targetChange(entry).let { write(it.key, it.value) }

    private fun write(key: String, value: ByteArray?) = directory.onRecords(listOf(KeyedRecord(key, value, offset++)), offset)

    /** Guards against requests to a target that has left. */
    @Test
    fun `a target is unknown after its entry was removed`() {
        write(FakeRecords.entry("t", 1))
        write("t", null)
        expectThat(directory.find("t")).isNull()
    }

    /**
     * Guards against dropping running targets whose entries expire during an outage of the store, and against keeping stopped targets for
     * too long.
     */
    @Test
    fun `a target whose entry is removed after an outage is kept for less than two seconds`() {
        write(FakeRecords.entry("t", 1))
        storeFailedAtMs = timer.now
        write("t", null)
        expectThat(directory.find("t")).isNotNull()
        timer.now += 1_900
        expectThat(directory.find("t")).isNull()
    }

    /** Guards against requests to a stopped target whose removal was read late, on a router that also lost one call to the store (DRAIN). */
    @Test
    fun `a target whose removal is read late after a failed call is kept for less than two seconds after the removal`() {
        write(FakeRecords.entry("t", 1))
        val writtenAfterMs = timer.now
        timer.now += 1_000
        storeFailedAtMs = timer.now
        timer.now += 500
        directory.onRecords(listOf(KeyedRecord("t", null, offset)), offset + 1, writtenAfterMs)
        timer.now = writtenAfterMs + 2_000
        expectThat(directory.find("t")).isNull()
    }

    /** Guards against new requests to a leaving target because an older entry of the same process arrives after the newer one. */
    @Test
    fun `a target that leaves stays leaving until it starts again`() {
        write(FakeRecords.entry("t", 1, bornMs = 5).copy(isDraining = true))
        write(FakeRecords.entry("t", 1, bornMs = 5))
        expectThat(directory.acceptsNewWork(directory.find("t")!!)).isFalse()
        write(FakeRecords.entry("t", 1, bornMs = 6))
        expectThat(directory.acceptsNewWork(directory.find("t")!!)).isTrue()
    }

    /** Guards against new requests to a leaving target because its entry was removed and listed again. */
    @Test
    fun `a target that leaves stays leaving when its entry is removed and listed again`() {
        write(FakeRecords.entry("t", 1, bornMs = 5).copy(isDraining = true))
        write("t", null)
        write(FakeRecords.entry("t", 1, bornMs = 5))
        expectThat(directory.acceptsNewWork(directory.find("t")!!)).isFalse()
    }

    /** Guards against a foreign record that is mistaken for a target or affects other targets. */
    @Test
    fun `an invalid entry adds no target and leaves the others unchanged`() {
        write(FakeRecords.entry("t", 1))
        write("x", "noise".toByteArray())
        expectThat(directory.find("x")).isNull()
        expectThat(directory.find("t")).isNotNull()
        expectThat(log.count("target_entry_rejected")).isEqualTo(1)
    }

    /** Guards against mistaking a restarted target for its previous incarnation: it has no grants and may be cold. */
    @Test
    fun `a restart with the same id is another incarnation`() {
        write(FakeRecords.entry("t", 1, bornMs = 5))
        val before = directory.find("t")!!
        write(FakeRecords.entry("t", 1, bornMs = 6))
        expectThat(directory.find("t")!!).isNotSameInstanceAs(before)
    }

    /** Guards against requests to a process that has asked for a pause before its entry was read, so that another one got the credit. */
    @Test
    fun `a pause goes on when the entry of the next incarnation at the address is read`() {
        write(FakeRecords.entry("t", 1, bornMs = 1))
        directory.find("t")!!.pauseUntil(timer.now + 500)
        write(FakeRecords.entry("t", 1, bornMs = 2))
        expectThat(directory.find("t")!!.pauseRestMs(timer.now)).isEqualTo(500)
        write(FakeRecords.entry("t", 2, bornMs = 3))
        expectThat(directory.find("t")!!.pauseRestMs(timer.now)).isEqualTo(0)
    }

    /** Guards against new requests to a target that is draining or whose zone is emptied. */
    @Test
    fun `a target that is draining or in an emptied zone accepts no new work`() {
        write(FakeRecords.entry("t", 1, zone = "z"))
        expectThat(directory.acceptsNewWork(directory.find("t")!!)).isTrue()
        operators.onRecords(listOf(KeyedRecord("empty/z", ByteArray(1), 1)), 2)
        expectThat(directory.acceptsNewWork(directory.find("t")!!)).isFalse()
        operators.onRecords(listOf(KeyedRecord("empty/z", null, 2)), 3)
        write(FakeRecords.entry("t", 1, zone = "z").copy(isDraining = true))
        expectThat(directory.acceptsNewWork(directory.find("t")!!)).isFalse()
        expectThat(directory.ofService(KEYED_SERVICE).size).isEqualTo(1)
    }

    /** Guards against a zone that stays emptied forever because the removal of its record was never read. */
    @Test
    fun `a zone that is not emptied in a newer snapshot accepts work again`() {
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
