package yuccaflow.entry.store

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import yuccaflow.entry.fake.FakeStore
import yuccaflow.entry.fake.FakeStoreData
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.fake.VirtualTimer
import yuccaflow.entry.telemetry.Events

@OptIn(ExperimentalCoroutinesApi::class)
@DisplayName("A follower of a stream that loses its last records")
class NewEraFollowingTest {
    private class RecordingListener : StreamListener {
        val seen = ArrayList<String>()

        override fun onNewEra(era: Long) {
            seen += "era $era"
        }

        override fun onSnapshot(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) {
            seen += "snapshot ${records.map { it.key }}"
        }

        override fun onRecords(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) {
            if (records.isNotEmpty()) seen += records.joinToString { it.key }
        }
    }

    private val listener = RecordingListener()
    private val log = RecordingEventLog()
    private val storeEra = StoreEra(log)

    private fun FakeStoreData.write(key: String) = append(KeyedStream.TARGETS, listOf(KeyedChange(key, byteArrayOf(1))))

    /** Runs [test] with a follower of a store that has the record "a" in its copy and has lost the record "b". */
    private fun afterLoss(test: suspend (FakeStoreData, StreamFollower) -> Unit) = runTest {
        val timer = VirtualTimer(testScheduler)
        val data = FakeStoreData(timer)
        val store = EraCheckedStore(FakeStore(data), storeEra)
        val follower = StreamFollower(store, KeyedStream.TARGETS, timer, log, listener, storeEra = storeEra) { FollowerSettings() }
        val job = launch { follower.run() }
        data.write("a")
        timer.sleep(1_000)
        data.takeCopy()
        data.write("b")
        timer.sleep(1_000)
        data.loseSinceCopy()
        test(data, follower)
        timer.sleep(1_000)
        job.cancel()
    }

    /** Guards against a follower that takes the records at the offsets which the store issues again for the following ones. */
    @Test
    fun `starts over from a snapshot when an answer names a newer era`() {
        afterLoss { data, _ -> repeat(3) { data.write("c$it") } }
        expectThat(listener.seen.takeLast(2)).containsExactly("era 1", "snapshot [a, c0, c1, c2]")
        expectThat(log.count(Events.STORE_ERA_CHANGED)).isEqualTo(1)
    }

    /** Guards against a router that stays in the old era because its read of the store is left waiting. */
    @Test
    fun `ends a wait when another router names a newer era`() {
        afterLoss { _, follower -> follower.learnPosition(endOffset = 1, confirmedAtMs = null, era = 1) }
        expectThat(listener.seen.takeLast(2)).containsExactly("era 1", "snapshot [a]")
    }

    /** Guards against a view that counts as complete, or as incomplete, because of the offsets of another era. */
    @Test
    fun `compares no positions of an older era`() {
        afterLoss { data, follower ->
            data.write("c")
            delay(1_000)
            expectThat(follower.era).isEqualTo(1)
            follower.learnPosition(endOffset = 50, confirmedAtMs = 3_000, era = 0)
            expectThat(follower.isOutdated(2_000)).isEqualTo(false)
            expectThat(follower.isFresh(2_000)).isEqualTo(true)
        }
    }

    /** Guards against the use of answers that were made before the store lost records. */
    @Test
    fun `an answer of an older era is a failed call`() = runTest {
        val data = FakeStoreData(VirtualTimer(testScheduler))
        val store = EraCheckedStore(FakeStore(data), storeEra)
        storeEra.learn(1, EraSource.ROUTER)
        expectThat(store.snapshot(KeyedStream.TARGETS)).isA<SnapshotResult.Failed>()
        expectThat(store.read(KeyedStream.TARGETS, 0, 0)).isA<StreamReadResult.Failed>()
        expectThat(store.append(KeyedStream.TARGETS, emptyList(), null)).isA<KeyedAppendResult.Unknown>()
    }

    /** Guards against an append that counts as done although the record was decided on what has been lost since. */
    @Test
    fun `an append that is executed in a newer era has an unknown outcome`() = runTest {
        val data = FakeStoreData(VirtualTimer(testScheduler))
        val store = EraCheckedStore(FakeStore(data), storeEra)
        data.loseSinceCopy()
        val result = store.append(KeyedStream.ROUTERS, listOf(KeyedChange("planner", byteArrayOf(1))), 0)
        expectThat(result).isA<KeyedAppendResult.Unknown>()
        expectThat(storeEra.current).isNotEqualTo(0)
    }
}
