package yuccaflow.entry.keys.balance

import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import yuccaflow.entry.balance.TargetState
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.VirtualTimer
import yuccaflow.entry.peer.RelayCall

@DisplayName("A service time tracker")
class ServiceTimeTrackerTest {
    private val scheduler = TestCoroutineScheduler()
    private val tracker = ServiceTimeTracker(VirtualTimer(scheduler))

    /** Guards against a router with few samples that counts as much as one with many, and against old reports that count for ever. */
    @Test
    fun `averages by samples over some seconds`() {
        tracker.addReport(mapOf("t1" to ReportedServiceTime(100.0, 9)))
        tracker.addReport(mapOf("t1" to ReportedServiceTime(200.0, 1)))
        expectThat(tracker.averageMs("t1")).isEqualTo(110.0)
        expectThat(tracker.averageMs("t2")).isNull()
        scheduler.advanceTimeBy(5_000)
        expectThat(tracker.averageMs("t1")).isNull()
    }

    /** Guards against an invalid report that makes a weight infinite or negative. */
    @Test
    fun `ignores values that no measurement can have`() {
        val invalid = listOf(ReportedServiceTime(0.0, 1), ReportedServiceTime(Double.NaN, 1), ReportedServiceTime(10.0, -1))
        invalid.forEach { tracker.addReport(mapOf("t1" to it)) }
        expectThat(tracker.averageMs("t1")).isNull()
    }

    /** Guards against reports that repeat the same responses, and against the bytes of targets without new ones. */
    @Test
    fun `reports only targets with new responses`() {
        val states = (1..2).map { TargetState(FakeRecords.entry("t$it", it), seenAtMs = 0) }
        states[0].recordResponse(elapsedMs = 80, occupancy = 1.0)
        states[0].recordResponse(elapsedMs = 80, occupancy = 1.0)
        val first = tracker.drainUnreported(states)
        expectThat(first.keys).isEqualTo(setOf("t1"))
        expectThat(first.getValue("t1").samples).isEqualTo(2)
        expectThat(tracker.drainUnreported(states)).isEmpty()
        states[0].recordResponse(elapsedMs = 80, occupancy = 1.0)
        expectThat(tracker.drainUnreported(states).getValue("t1").samples).isEqualTo(1)
    }

    /** Guards against routers of different versions that cannot read each other's reports. */
    @Test
    fun `reports interoperate with versions that do not know service times`() {
        val cbor = Cbor { ignoreUnknownKeys = true }
        val earlier = cbor.encodeToByteArray(EarlierReport.serializer(), EarlierReport("r1", mapOf("s" to listOf(1))))
        expectThat(cbor.decodeFromByteArray(RelayCall.KeySamples.serializer(), earlier).serviceTimes).isEmpty()
        val current = RelayCall.KeySamples("r1", mapOf("s" to listOf(1)), serviceTimes = mapOf("t1" to ReportedServiceTime(80.0, 2)))
        val bytes = cbor.encodeToByteArray(RelayCall.KeySamples.serializer(), current)
        expectThat(cbor.decodeFromByteArray(EarlierReport.serializer(), bytes).keys).isEqualTo(mapOf("s" to listOf(1)))
        expectThat(
            cbor
                .decodeFromByteArray(RelayCall.KeySamples.serializer(), bytes)
                .serviceTimes
                .getValue("t1")
                .meanMs,
        ).isEqualTo(80.0)
    }

    /** The fields of a report of an earlier version. */
    @Serializable
    private class EarlierReport(
        val node: String,
        val keys: Map<String, List<Int>>,
    )
}
