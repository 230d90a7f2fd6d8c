package yuccaflow.entry.store

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.fake.SlowLinkStore
import yuccaflow.entry.fake.VirtualTimer
import kotlin.random.Random

@OptIn(ExperimentalCoroutinesApi::class)
@DisplayName("A stream follower whose records are large for its link")
class LargeRecordsTest {
    private class Listener : StreamListener {
        var latest = -1L

        override fun onSnapshot(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) = onRecords(records, endOffset, null)

        override fun onRecords(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) {
            records.forEach { latest = maxOf(latest, it.offset) }
        }
    }

    private val listener = Listener()
    private val log = RecordingEventLog()

    private fun TestScope.follow(store: SlowLinkStore): StreamFollower {
        val settings = FollowerSettings.prompt(batchDelayMs = 0)
        val follower =
            StreamFollower(store, KeyedStream.OPERATORS, VirtualTimer(testScheduler), log, listener, Random(1)) { settings }
        backgroundScope.launch { follower.run() }
        testScheduler.advanceTimeBy(SETTLED_MS)
        return follower
    }

    /** Guards against a router that falls back further with each of a series of changes, because it reads every one of them (CONFIG). */
    @Test
    fun `stays within two seconds of a series of changes that its link does not carry`() = runTest {
        val store = SlowLinkStore(RECORD_BYTES, bytesPerS = 500_000).also { it.append() }
        follow(store)
        val appendedAtMs = ArrayList<Long>()
        var latestLagMs = 0L
        repeat(CHANGES) {
            store.append()
            appendedAtMs += testScheduler.currentTime
            repeat((CHANGE_INTERVAL_MS / STEP_MS).toInt()) {
                testScheduler.advanceTimeBy(STEP_MS)
                val oldestMissing = appendedAtMs.getOrNull(listener.latest.toInt()) ?: testScheduler.currentTime
                latestLagMs = maxOf(latestLagMs, testScheduler.currentTime - oldestMissing)
            }
        }
        testScheduler.advanceTimeBy(SETTLED_MS)
        expectThat(latestLagMs).isLessThanOrEqualTo(IN_FORCE_MS)
        expectThat(listener.latest).isEqualTo(CHANGES.toLong())
    }

    /** Guards against a link that carries each change twice, once for the wait and once for the read beside it. */
    @Test
    fun `receives the same records only once at a time`() = runTest {
        val store = SlowLinkStore(RECORD_BYTES, bytesPerS = 100_000).also { it.append() }
        follow(store)
        val before = store.carriedBytes
        store.append()
        testScheduler.advanceTimeBy(10_000)
        expectThat(listener.latest).isEqualTo(1L)
        expectThat(store.carriedBytes - before).isLessThan(RECORD_BYTES * 3L / 2)
    }

    /** Guards against requests that are served by a configuration which is known to have been replaced seconds ago (CONFIG). */
    @Test
    fun `knows that its view is outdated while a record is arriving that was appended seconds ago`() = runTest {
        val store = SlowLinkStore(RECORD_BYTES, bytesPerS = 60_000).also { it.append() }
        val follower = follow(store)
        testScheduler.advanceTimeBy(2 * SETTLED_MS)
        store.append()
        testScheduler.advanceTimeBy(IN_FORCE_MS)
        expectThat(follower.isOutdated(IN_FORCE_MS)).isTrue()
        testScheduler.advanceTimeBy(IN_FORCE_MS + 1_000)
        expectThat(listener.latest).isEqualTo(1L)
        expectThat(follower.isOutdated(IN_FORCE_MS)).isFalse()
    }

    /** Guards against a router that refuses everything in an outage, because it has learned of a record that it can't read. */
    @Test
    fun `does not take its view for outdated when the store falls silent`() = runTest {
        val store = SlowLinkStore(RECORD_BYTES, bytesPerS = 60_000).also { it.append() }
        val follower = follow(store)
        testScheduler.advanceTimeBy(2 * SETTLED_MS)
        store.append()
        testScheduler.advanceTimeBy(500)
        store.isSilent = true
        follower.learnPosition(endOffset = 3, confirmedAtMs = testScheduler.currentTime)
        testScheduler.advanceTimeBy(20_000)
        expectThat(follower.isOutdated(IN_FORCE_MS)).isFalse()
    }

    private companion object {
        const val RECORD_BYTES = 250_000
        const val SETTLED_MS = 5_000L
        const val IN_FORCE_MS = 2_000L
        const val CHANGES = 20
        const val CHANGE_INTERVAL_MS = 330L
        const val STEP_MS = 10L
    }
}
