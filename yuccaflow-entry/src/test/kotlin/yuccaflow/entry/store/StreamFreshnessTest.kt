package yuccaflow.entry.store

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import yuccaflow.entry.fake.MissedAppendStore
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.fake.VirtualTimer

@OptIn(ExperimentalCoroutinesApi::class)
@DisplayName("A stream follower whose waits miss what is appended")
class StreamFreshnessTest {
    private class Fixture(
        private val scope: TestScope,
        settings: FollowerSettings = FollowerSettings.prompt(batchDelayMs = 50),
    ) {
        val timer = VirtualTimer(scope.testScheduler)
        val store = MissedAppendStore()
        val log = RecordingEventLog()
        val receivedAtMs = LinkedHashMap<Long, Long>()
        private val listener = object : StreamListener {
            override fun onSnapshot(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) = Unit

            override fun onRecords(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) =
                records.forEach { receivedAtMs[it.offset] = timer.nowMs() }
        }
        val follower = StreamFollower(store, KeyedStream.OPERATORS, timer, log, listener) { settings }

        init {
            scope.backgroundScope.launch { follower.run() }
        }

        /** Lets the follower settle in its first long wait. */
        fun settle() = advance(SETTLED_MS)

        fun advance(durationMs: Long) = scope.testScheduler.advanceTimeBy(durationMs)
    }

    /** Guards against a routing table that comes into force when the next one is published, because a long wait has missed it (CONFIG). */
    @Test
    fun `reads a record within two seconds, long after its wait was rechecked`() = runTest {
        val fixture = Fixture(this)
        fixture.settle()
        val appendedAtMs = fixture.timer.nowMs()
        fixture.store.append("a")
        fixture.advance(IN_FORCE_MS)
        expectThat(fixture.receivedAtMs.keys.toList()).containsExactly(0L)
        expectThat(fixture.receivedAtMs.getValue(0) - appendedAtMs).isLessThanOrEqualTo(IN_FORCE_MS)
        expectThat(fixture.log.count("stream_wait_missed")).isEqualTo(1)
    }

    /** Guards against a wait on a connection that has gone silent: it looks like one without records (CONFIG, DRAIN). */
    @Test
    fun `notices within two seconds that the store does not answer`() = runTest {
        val fixture = Fixture(this)
        fixture.settle()
        fixture.store.isDown = true
        fixture.advance(IN_FORCE_MS)
        expectThat(fixture.log.count("store_lost")).isEqualTo(1)
    }

    @Nested
    @DisplayName("and that gets positions from other routers")
    inner class WithOtherRouters {
        /** Guards against a record that all routers but one have read, and that reaches this one seconds later. */
        @Test
        fun `reads at once when another router has read further`() = runTest {
            val fixture = Fixture(this)
            fixture.settle()
            fixture.store.append("a")
            fixture.follower.learnPosition(endOffset = 1, confirmedAtMs = null)
            fixture.advance(A_READ_MS)
            expectThat(fixture.receivedAtMs.keys.toList()).containsExactly(0L)
        }

        /** Guards against a request that is routed by a table which this router knows to be out of date (CONFIG). */
        @Test
        fun `does not count as recent while it lacks records that another router has read`() = runTest {
            val fixture = Fixture(this)
            fixture.settle()
            expectThat(fixture.follower.isFresh(1_000)).isTrue()
            fixture.store.append("a")
            fixture.follower.learnPosition(endOffset = 1, confirmedAtMs = fixture.timer.nowMs())
            expectThat(fixture.follower.isFresh(1_000)).isFalse()
            fixture.follower.awaitFresh(maxAgeMs = 1_000, timeoutMs = 200)
            expectThat(fixture.receivedAtMs.keys.toList()).containsExactly(0L)
            expectThat(fixture.follower.isFresh(1_000)).isTrue()
        }

        /** Guards against a view that counts as out of date for good, because another router named an offset that does not exist. */
        @Test
        fun `counts as recent again after a read of its own has found no such records`() = runTest {
            val fixture = Fixture(this)
            fixture.settle()
            fixture.follower.learnPosition(endOffset = Long.MAX_VALUE, confirmedAtMs = null)
            fixture.advance(A_READ_MS)
            expectThat(fixture.follower.isFresh(1_000)).isTrue()
        }

        /** Guards against calls to the store that grow with the number of routers. */
        @Test
        fun `makes no calls while another router confirms that there are no records`() = runTest {
            val fixture = Fixture(this)
            fixture.settle()
            val before = fixture.store.reads
            repeat(20) {
                fixture.follower.learnPosition(endOffset = 0, confirmedAtMs = fixture.timer.nowMs())
                fixture.advance(400)
            }
            expectThat(fixture.store.reads - before).isEqualTo(0)
            expectThat(fixture.follower.isFresh(1_000)).isTrue()
        }

        /** Guards against a planner that acts longer than its own reads allow, because another router confirmed its view (OWNER). */
        @Test
        fun `does not take what another router confirms for a read of its own`() = runTest {
            val fixture = Fixture(this)
            fixture.settle()
            val confirmedAtMs = fixture.follower.confirmedAtMs
            fixture.advance(500)
            fixture.follower.learnPosition(endOffset = 0, confirmedAtMs = fixture.timer.nowMs())
            expectThat(fixture.follower.confirmedAtMs).isEqualTo(confirmedAtMs)
        }

        /** Guards against a flood of reads caused by a router that names offsets which do not exist. */
        @Test
        fun `reads a few times a second at most, whatever another router says`() = runTest {
            val fixture = Fixture(this)
            fixture.settle()
            val before = fixture.store.reads
            repeat(1_000) {
                fixture.follower.learnPosition(endOffset = Long.MAX_VALUE, confirmedAtMs = null)
                fixture.advance(1)
            }
            expectThat(fixture.store.reads - before).isLessThan(6)
        }
    }

    /** Guards against a view that counts as older than it is, because a wait that began long ago ends with a record. */
    @Test
    fun `does not become older by the end of a wait`() = runTest {
        val fixture = Fixture(this, FollowerSettings.prompt(batchDelayMs = 50).copy(maxAgeMs = null))
        fixture.settle()
        fixture.advance(10_000)
        fixture.follower.learnPosition(endOffset = 0, confirmedAtMs = fixture.timer.nowMs())
        fixture.store.append("a", isMissed = false)
        fixture.advance(A_READ_MS)
        expectThat(fixture.receivedAtMs.keys.toList()).containsExactly(0L)
        expectThat(fixture.follower.isFresh(100)).isTrue()
    }

    @Nested
    @DisplayName("and that is asked for a recent view")
    inner class AskedForRecentView {
        private val stale = FollowerSettings.prompt(batchDelayMs = 50).copy(maxAgeMs = null)

        /** Guards against requests that are routed by an old table although one read would bring the new one. */
        @Test
        fun `reads and returns with the record`() = runTest {
            val fixture = Fixture(this, stale)
            fixture.settle()
            fixture.advance(5_000)
            fixture.store.append("a")
            fixture.follower.awaitFresh(maxAgeMs = 2_000, timeoutMs = 200)
            expectThat(fixture.receivedAtMs.keys.toList()).containsExactly(0L)
            expectThat(fixture.follower.isFresh(2_000)).isTrue()
        }

        /** Guards against requests that wait in vain again and again while the store is slow for the router that confirms, too. */
        @Test
        fun `lets one request wait in vain also if other routers confirm an old view`() = runTest {
            val fixture = Fixture(this, stale)
            fixture.settle()
            fixture.advance(5_000)
            fixture.store.callMs = 1_400
            val startedAtMs = fixture.timer.nowMs()
            repeat(5) {
                fixture.follower.learnPosition(endOffset = 0, confirmedAtMs = fixture.timer.nowMs() - 2_500)
                fixture.follower.awaitFresh(maxAgeMs = 2_000, timeoutMs = 200)
            }
            expectThat(fixture.timer.nowMs() - startedAtMs).isLessThanOrEqualTo(200)
        }

        /** Guards against requests that each wait in vain while the store is slow or silent, although their routes are known. */
        @Test
        fun `lets one request wait in vain for a read, and not each of those that follow`() = runTest {
            val fixture = Fixture(this, stale)
            fixture.settle()
            fixture.advance(5_000)
            fixture.store.callMs = 1_400
            val startedAtMs = fixture.timer.nowMs()
            repeat(5) { fixture.follower.awaitFresh(maxAgeMs = 2_000, timeoutMs = 200) }
            expectThat(fixture.timer.nowMs() - startedAtMs).isLessThanOrEqualTo(200)
        }

        /** Guards against requests that all wait in vain while the store is down. */
        @Test
        fun `returns at once while the store cannot be reached`() = runTest {
            val fixture = Fixture(this, stale)
            fixture.settle()
            fixture.store.isDown = true
            fixture.follower.refresh()
            fixture.advance(5_000)
            val startedAtMs = fixture.timer.nowMs()
            fixture.follower.awaitFresh(maxAgeMs = 2_000, timeoutMs = 200)
            expectThat(fixture.timer.nowMs()).isEqualTo(startedAtMs)
            expectThat(fixture.follower.isFresh(2_000)).isFalse()
            expectThat(fixture.receivedAtMs.keys.toList()).isEmpty()
        }
    }

    /** Guards against reads in quick succession, which the store limits and charges, while it names a later end than it shows records. */
    @Test
    fun `reads a few times a second at most while the store shows no records before its end`() = runTest {
        val fixture = Fixture(this)
        fixture.settle()
        fixture.store.hiddenRecords = 1
        fixture.advance(2_000)
        val before = fixture.store.reads
        fixture.advance(1_000)
        expectThat(fixture.store.reads - before).isLessThan(10)
    }

    private companion object {
        const val IN_FORCE_MS = 2_000L
        const val SETTLED_MS = 1_300L
        const val A_READ_MS = 20L
    }
}
