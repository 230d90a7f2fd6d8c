package yuccaflow.entry.store

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
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

    private companion object {
        const val RECORD_BYTES = 250_000
        const val SETTLED_MS = 5_000L
        const val IN_FORCE_MS = 2_000L
        const val CHANGES = 20
        const val CHANGE_INTERVAL_MS = 330L
        const val STEP_MS = 10L
    }
}
