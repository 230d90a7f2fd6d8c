package yuccaflow.entry.peer

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import yuccaflow.base.systemTimerService
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.store.FollowerSettings
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.StreamFollower
import yuccaflow.entry.store.StreamListener
import yuccaflow.http.useSingleEventLoop
import kotlin.coroutines.EmptyCoroutineContext

@DisplayName("An answer of the store that arrives while many tasks are due on the event loop")
class BusyEventLoopReadTest {
    private val dispatchers = useSingleEventLoop()
    private val scope = CoroutineScope(dispatchers.queued)
    private val store = SocketStore()
    private val turns = TurnCounter(dispatchers.queued)
    private val turnOfRecords = CompletableDeferred<Int>()

    /** Whether a step of the follower is being carried out. */
    private var isInStep = false
    private var wasNested = false

    private val listener = object : StreamListener {
        override fun onSnapshot(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) = Unit

        override fun onRecords(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) {
            if (records.isNotEmpty()) turnOfRecords.complete(turns.count)
        }
    }

    @AfterEach
    fun stop() {
        turns.stop()
        scope.cancel()
        store.close()
    }

    private fun startFollower(dispatcher: CoroutineDispatcher) {
        val timer = systemTimerService()
        val events = RecordingEventLog()
        val direct = DirectStoreAccess(store, StubRouterGroup, timer, events)
        val access = FailoverStoreAccess(direct, RelayClient(store.client), { emptyList() }, timer, events)
        val follower = StreamFollower(access, KeyedStream.OPERATORS, timer, events, listener) { FollowerSettings() }
        scope.launch(dispatcher) { follower.run() }
    }

    /** Returns how many times the event loop carries out all due tasks between the arrival of the answer and the change of the state. */
    private fun turnsUntilRecords(dispatcher: CoroutineDispatcher): Int {
        startFollower(dispatcher)
        store.awaitRead()
        dispatchers.queued.dispatch(EmptyCoroutineContext) {
            store.answerWithRecord()
            Thread.sleep(DELIVERY_MS)
            turns.start()
        }
        return runBlocking { withTimeout(LIMIT_MS) { turnOfRecords.await() } }
    }

    /** Guards against a routing table that is seconds old because each step of a read waits behind the callers' requests (CONFIG). */
    @Test
    fun `passes all layers of a read in one turn of the event loop`() {
        expectThat(turnsUntilRecords(dispatchers.immediate)).isLessThanOrEqualTo(1)
    }

    /** Guards against a test that counts no turns: requests, whose steps are queued, take a turn for each. */
    @Test
    fun `takes several turns if its steps are queued`() {
        expectThat(turnsUntilRecords(dispatchers.queued)).isGreaterThan(1)
    }

    /** Guards against state that changes within a step, and against a stack overflow, if coroutines resume each other (OWNER). */
    @Test
    fun `is not passed on within a step of another coroutine of the streams`() {
        val signals = List(RESUMED_COROUTINES) { CompletableDeferred<Unit>() }
        val allDone = CompletableDeferred<Unit>()
        signals.forEachIndexed { index, signal ->
            scope.launch(dispatchers.immediate) {
                signal.await()
                wasNested = wasNested || isInStep
                isInStep = true
                (signals.getOrNull(index + 1) ?: allDone).complete(Unit)
                isInStep = false
            }
        }
        scope.launch { signals.first().complete(Unit) }
        runBlocking { withTimeout(LIMIT_MS) { allDone.await() } }
        expectThat(wasNested).isFalse()
    }

    private companion object {
        const val LIMIT_MS = 20_000L

        /** Time for the answer to arrive over loopback. Longer than an event loop runs tasks before it looks at the network again. */
        const val DELIVERY_MS = 200L
        const val RESUMED_COROUTINES = 10_000
    }
}
