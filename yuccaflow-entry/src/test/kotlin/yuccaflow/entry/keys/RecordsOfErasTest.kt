package yuccaflow.entry.keys

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import strikt.assertions.isTrue
import yuccaflow.entry.fake.KEYED_SERVICE
import yuccaflow.entry.fake.ManualTimer
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.store.KeyedChange
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.telemetry.Events

@DisplayName("The routers' records in several eras")
class RecordsOfErasTest {
    private val log = RecordingEventLog()
    private val state = ClusterState(ManualTimer(), log)
    private val holder = TargetIncarnation("t1", 1, "10.0.0.1:80", "a")
    private val assignment = Assignment(KEYED_SERVICE, FIRST_KEY, LAST_KEY, holder, 5)
    private val moved = assignment.copy(holder = holder.copy(target = "t2"), generation = generationOf(1, 9))

    private fun records(vararg changes: KeyedChange) = changes.mapIndexed { index, it -> KeyedRecord(it.key, it.value, index.toLong()) }

    private fun owner() = state.find(KEYED_SERVICE, 7)?.holder?.target

    /** Guards against generations that earlier versions would not accept, and against those that JSON numbers cannot represent. */
    @Test
    fun `generations of era 0 are as before, and those of all eras rise and are below 2 to the power of 53`() {
        expectThat(generationOf(0, 41)).isEqualTo(42)
        expectThat(generationOf(1, 0)).isGreaterThan(generationOf(0, 1L shl 39))
        expectThat(generationOf(8_191, (1L shl 40) - 2)).isLessThan(1L shl 53)
        expectThat(offsetOf(generationOf(3, 41))).isEqualTo(41)
    }

    /** Guards against records of era 0 that routers of earlier versions cannot read. */
    @Test
    fun `records of era 0 have no era in their keys and fields`() {
        val change = ClusterState.plannerChange(PlannerTerm("r", "l", 1))
        expectThat(change.key).isEqualTo("planner")
        expectThat(change.value!!.decodeToString()).isEqualTo("""{"node":"r","life":"l","term":1}""")
        expectThat(ClusterState.rangeChange(assignment).key).isEqualTo("range/$KEYED_SERVICE/00000")
    }

    /** Guards against an election of an older era that is taken for one of the new era. */
    @Test
    fun `a planner of an older era names no planner but may still act`() {
        state.onNewEra(1)
        state.onSnapshot(records(ClusterState.plannerChange(PlannerTerm("r", "l", 4))), 1)
        expectThat(state.planner).isNull()
        expectThat(state.plannersOfOlderEras.map { it.node }).isEqualTo(listOf("r"))
        expectThat(state.hasHadPlanner).isTrue()
    }

    /** Guards against an append of an older era that is executed late and replaces the owner of keys. */
    @Test
    fun `a late record of an older era is ignored, also when it is read in a snapshot`() {
        val planner = PlannerTerm("r", "l", 1, era = 1, isRestored = true)
        val changes = arrayOf(ClusterState.plannerChange(planner), ClusterState.rangeChange(moved, 1), ClusterState.rangeChange(assignment))
        state.onNewEra(1)
        state.onSnapshot(emptyList(), 0)
        state.onRecords(records(*changes), 3)
        expectThat(owner()).isEqualTo("t2")
        expectThat(log.count(Events.RANGE_VOID)).isEqualTo(1)
        state.onSnapshot(records(*changes.reversedArray()), 3)
        expectThat(owner()).isEqualTo("t2")
    }

    /** Guards against requests for keys without a known owner while a planner of a new era waits for the grants of the old one. */
    @Test
    fun `the assignments of the older era are the latest known ones until those of the new era are written`() {
        state.onNewEra(1)
        state.onSnapshot(records(ClusterState.rangeChange(assignment), ClusterState.plannerChange(PlannerTerm("r", "l", 1, era = 1))), 2)
        expectThat(owner()).isEqualTo("t1")
        val restored = ClusterState.plannerChange(PlannerTerm("r", "l", 1, era = 1, isRestored = true))
        state.onRecords(records(restored, ClusterState.rangeChange(moved, 1)), 4)
        expectThat(owner()).isEqualTo("t2")
    }

    /** Guards against a membership record that is not written again, and against limits that grow while it is lost. */
    @Test
    fun `a member whose record was lost is to be written again and counts meanwhile`() {
        val member = RouterMember("r1", "a", "10.0.0.1:70")
        state.onSnapshot(records(ClusterState.memberChange(member)), 1)
        state.onNewEra(1)
        state.onSnapshot(emptyList(), 0)
        expectThat(state.hasMember(member)).isFalse()
        expectThat(state.memberCount).isEqualTo(1)
        expectThat(state.relayOf("r1").toString()).isEqualTo("10.0.0.1:70")
    }
}
