package yuccaflow.entry.store

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isTrue
import yuccaflow.entry.fake.MissedAppendStore
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.fake.SuspendableProcess
import yuccaflow.entry.peer.StreamPositions

@OptIn(ExperimentalCoroutinesApi::class)
@DisplayName("A stream follower whose machine was suspended, with its steady clock")
class StreamFreshnessOfSuspendedProcessTest {
    private class Fixture(
        private val scope: TestScope,
    ) {
        private val process = SuspendableProcess(scope.testScheduler)
        private val listener = object : StreamListener {
            override fun onSnapshot(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) = Unit

            override fun onRecords(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) = Unit
        }
        val follower =
            StreamFollower(
                MissedAppendStore(),
                KeyedStream.OPERATORS,
                process,
                RecordingEventLog(),
                listener,
            ) { FollowerSettings.prompt(50) }
        val positions = StreamPositions(listOf(follower), process)

        init {
            val job = Job(scope.backgroundScope.coroutineContext[Job])
            CoroutineScope(process.dispatcher + job).launch { follower.run() }
            scope.testScheduler.advanceTimeBy(SETTLED_MS)
        }

        fun suspendAndResume() {
            process.suspend()
            scope.testScheduler.advanceTimeBy(SUSPENDED_MS)
            process.resume(stoppedClockMs = SUSPENDED_MS)
        }
    }

    /** Guards against a 404 by a table that is as old as the suspension was long, because the steady clock did not count it (CONFIG). */
    @Test
    fun `does not take its view from before the suspension for recent`() = runTest {
        val fixture = Fixture(this)
        expectThat(fixture.follower.isFresh(MAX_AGE_MS)).isTrue()
        fixture.suspendAndResume()
        expectThat(fixture.follower.isFresh(MAX_AGE_MS)).isFalse()
    }

    /**
     * Guards against a router that was never suspended and reads late, or keeps a leaving target for longer, because one that was has told
     * it an age that omits the suspension (CONFIG, DRAIN).
     */
    @Test
    fun `tells other routers an age that includes the suspension, or none`() = runTest {
        val fixture = Fixture(this)
        fixture.suspendAndResume()
        val ageMs = fixture.positions
            .current()
            .single()
            .ageMs
        expectThat(ageMs ?: SUSPENDED_MS).isGreaterThanOrEqualTo(SUSPENDED_MS)
    }

    private companion object {
        const val SETTLED_MS = 1_300L
        const val SUSPENDED_MS = 5_000L
        const val MAX_AGE_MS = 2_000L
    }
}
