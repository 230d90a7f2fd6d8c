package yuccaflow.entry.store

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.fake.VirtualTimer

@OptIn(ExperimentalCoroutinesApi::class)
@DisplayName("A stream follower")
class StreamFollowerTest {
    private class ScriptedStore(
        private val answers: List<StreamReadResult?>,
    ) : KeyedStore {
        val reads = ArrayList<Pair<Long, Long>>()
        var snapshots = 0

        override suspend fun snapshot(stream: KeyedStream, onArriving: () -> Unit): SnapshotResult {
            snapshots++
            return SnapshotResult.Snapshot(listOf(record("s", 3)), 4)
        }

        override suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long, onArriving: (Long) -> Unit): StreamReadResult {
            reads += fromOffset to waitMs
            delay(1)
            return answers.getOrNull(reads.size - 1) ?: awaitCancellation()
        }

        override suspend fun append(stream: KeyedStream, changes: List<KeyedChange>, expectedEndOffset: Long?) = error("not used")
    }

    private class RecordingListener : StreamListener {
        val offsets = ArrayList<Long>()

        override fun onSnapshot(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) {
            offsets += records.map { it.offset }
        }

        override fun onRecords(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) {
            offsets += records.map { it.offset }
        }
    }

    private val listener = RecordingListener()
    private val log = RecordingEventLog()

    private fun follow(store: KeyedStore, forMs: Long = 5_000, settings: FollowerSettings = FollowerSettings()): StreamFollower {
        val scheduler = TestCoroutineScheduler()
        val follower = StreamFollower(store, KeyedStream.ROUTERS, VirtualTimer(scheduler), log, listener) { settings }
        runTest(scheduler) {
            val job = launch { follower.run() }
            testScheduler.advanceTimeBy(forMs)
            job.cancel()
        }
        return follower
    }

    /** Guards against a record that is skipped because an answer without records reported a later end of the stream. */
    @Test
    fun `reads again from the same offset after an answer without records`() {
        val store = ScriptedStore(listOf(StreamReadResult.Read(emptyList(), 5), StreamReadResult.Read(listOf(record("a", 4)), 5)))
        follow(store)
        expectThat(listener.offsets).containsExactly(3L, 4L)
        expectThat(store.reads.map { it.first }).containsExactly(4L, 4L, 5L)
    }

    /** Guards against a read that misses an append in progress and waits for its full time: a planner then never read its own record. */
    @Test
    fun `waits only briefly in the first read after a snapshot or records`() {
        val store = ScriptedStore(listOf(StreamReadResult.Read(listOf(record("a", 4)), 5), StreamReadResult.Read(emptyList(), 5)))
        follow(store)
        val settings = FollowerSettings()
        expectThat(store.reads.map { it.second }).containsExactly(settings.catchUpWaitMs, settings.catchUpWaitMs, settings.waitMs)
        expectThat(settings.catchUpWaitMs).isLessThanOrEqualTo(1_000)
    }

    /** Guards against a routing table that comes into force up to 25 s late, because it was being appended when the wait for it began. */
    @Test
    fun `reads a record within two seconds that its wait has missed`() {
        val store = ScriptedStore(listOf(StreamReadResult.Read(emptyList(), 4), null, StreamReadResult.Read(listOf(record("a", 4)), 5)))
        follow(store, forMs = 2_000, FollowerSettings(recheckAfterMs = RECHECK_MS))
        expectThat(listener.offsets).containsExactly(3L, 4L)
    }

    /** Guards against a target that is used seconds after it began to leave, because its entry was appended as a wait for it began. */
    @Test
    fun `reads a record within a second that the wait after other records has missed`() {
        val store = ScriptedStore(
            listOf(StreamReadResult.Read(listOf(record("a", 4)), 5), null, StreamReadResult.Read(listOf(record("b", 5)), 6)),
        )
        follow(store, forMs = 1_000, FollowerSettings.prompt(batchDelayMs = 200))
        expectThat(listener.offsets).containsExactly(3L, 4L, 5L)
    }

    /** Guards against a routing table that is read when the next one comes, because a long wait missed it after its recheck. */
    @Test
    fun `reads again soon after records also where waits are rechecked`() {
        val store = ScriptedStore(listOf(StreamReadResult.Read(listOf(record("a", 4)), 5)))
        follow(store, forMs = 1_000, FollowerSettings.prompt(batchDelayMs = 50))
        expectThat(store.reads[1].second).isLessThanOrEqualTo(1_000)
    }

    /** Guards against an announcement that is reckoned from long before, although the stream was found to have no news since. */
    @Test
    fun `counts a recheck that reached the end of the stream as a confirmation`() {
        val store = ScriptedStore(listOf(null, StreamReadResult.Read(emptyList(), 4)))
        expectThat(follow(store, settings = FollowerSettings.prompt(batchDelayMs = 200)).confirmedAtMs).isEqualTo(RECHECK_MS)
    }

    /** Guards against calls that are charged although nothing was missed. */
    @Test
    fun `rechecks a wait only once`() {
        val empty = StreamReadResult.Read(emptyList(), 4)
        val store = ScriptedStore(listOf(empty, null, empty))
        follow(store, settings = FollowerSettings(recheckAfterMs = RECHECK_MS))
        expectThat(store.reads.map { it.second }).containsExactly(FollowerSettings().catchUpWaitMs, FollowerSettings().waitMs, 0L)
    }

    /** Guards against a planner that stays active although a record that it has not read yet names another planner. */
    @Test
    fun `counts only a read that reached the end of the stream as a confirmation`() {
        expectThat(follow(ScriptedStore(listOf(StreamReadResult.Read(listOf(record("a", 4)), 9)))).confirmedAtMs).isNull()
        expectThat(follow(ScriptedStore(listOf(StreamReadResult.Read(listOf(record("a", 4)), 5)))).confirmedAtMs).isNotNull()
    }

    /** Guards against a follower that makes no progress after the store has dropped the records at its offset. */
    @Test
    fun `takes a new snapshot when the records at its offset were dropped`() {
        val store = ScriptedStore(listOf(StreamReadResult.Expired))
        follow(store)
        expectThat(store.snapshots).isEqualTo(2)
    }

    /** Guards against an outage that is not logged, or that is logged on each retry. */
    @Test
    fun `logs an outage once, and its end`() {
        val failures = List(3) { StreamReadResult.Failed("down") }
        follow(ScriptedStore(failures + StreamReadResult.Read(emptyList(), 4)))
        expectThat(log.count("store_lost")).isEqualTo(1)
        expectThat(log.count("store_regained")).isEqualTo(1)
        expectThat(log.events.map { it.first }).contains("store_lost")
    }

    private companion object {
        const val RECHECK_MS = 400L

        fun record(key: String, offset: Long) = KeyedRecord(key, "v".toByteArray(), offset)
    }
}
