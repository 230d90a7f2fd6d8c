package yuccaflow.entry.peer

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.entry.FollowerWaits
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.FakeStore
import yuccaflow.entry.fake.FakeStoreData
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.fake.SilentStore
import yuccaflow.entry.fake.StubKeyGrantClient
import yuccaflow.entry.fake.VirtualTimer
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.KeyOwnershipSettings
import yuccaflow.entry.keys.balance.KeyLoadTracker
import yuccaflow.entry.keys.planner.PlannerAuthority
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.StreamFollower
import yuccaflow.entry.store.StreamListener
import yuccaflow.entry.store.StreamReadResult
import yuccaflow.http.HttpClient
import yuccaflow.http.HttpHandler
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResult
import yuccaflow.http.SocketAddress
import kotlin.random.Random

/**
 * Routers that follow the operators' stream of one store in virtual time and report to each other. [random] decides which waits at the
 * store miss what is appended: each with a probability of [missedShare].
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class StreamFollowingSimulation(
    private val scope: TestScope,
    routerCount: Int,
    private val random: Random,
    private val missedShare: Double,
) {
    private val timer = VirtualTimer(scope.testScheduler)
    private val data = FakeStoreData(timer)
    private val handlers = HashMap<SocketAddress, HttpHandler>()

    /** Relay address of the router that the others take for the planner, or null. */
    var planner: SocketAddress? = null

    val routers = List(routerCount) { Router(SocketAddress("10.0.0.${it + 1}", 1)) }

    /** Long-polling reads of a store that end only when their time is over if they miss an append. */
    private inner class WaitMissingStore(
        private val store: FakeStore,
    ) : KeyedStore by store {
        override suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long, onArriving: (Long) -> Unit): StreamReadResult {
            val isMissing = waitMs > 0 && random.nextDouble() < missedShare
            val before = store.read(stream, fromOffset, if (isMissing) 0 else waitMs)
            val isOver = !isMissing || before !is StreamReadResult.Read || before.records.isNotEmpty()
            if (isOver) return before
            delay(waitMs)
            return store.read(stream, fromOffset, 0)
        }
    }

    inner class Router(
        val relay: SocketAddress,
    ) {
        private val ownStore = FakeStore(data)
        private val store = SilentStore(WaitMissingStore(ownStore), ownStore, timer)
        private val log = RecordingEventLog()
        private val direct = DirectStoreAccess(store, store, timer, log)
        private val client = RelayClient(RoutedHttpClient())
        private val access = FailoverStoreAccess(direct, client, { others() }, timer, log)
        private val listener = object : StreamListener {
            override fun onSnapshot(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) = Unit

            override fun onRecords(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) =
                records.forEach { readAtMs[it.offset] = timer.nowMs() }
        }
        private val waits = FollowerWaits(timer, direct, KeyOwnershipSettings()) { planner == relay }
        private val follower =
            StreamFollower(access, KeyedStream.OPERATORS, timer, log, listener, random) { waits.ofPromptStream(BATCH_DELAY_MS) }
        private val positions = StreamPositions(listOf(follower), timer)
        private val clusterState = ClusterState(timer, log)
        private val directory = TargetDirectory(FakeRecords, OperatorState(FakeRecords, timer, log), timer, log) { null }
        private val keyLoads = KeyLoadTracker(timer)
        private val reporter =
            RouterReporter(
                "$relay",
                keyLoads,
                directory,
                positions,
                { planner.takeIf { it != relay } },
                { others() },
                client,
                timer,
                random,
            )
        private val authority =
            PlannerAuthority("$relay", "life", clusterState, timer, timer::nowMs, KeyOwnershipSettings(), log) { null }

        /** When this router passed on the record with an offset. */
        val readAtMs = HashMap<Long, Long>()

        /** Number of reads of the store so far. */
        val reads get() = store.reads

        /** Whether the answers of the store to this router get lost. */
        var isStoreSilent by store::isSilent

        init {
            handlers[relay] =
                relayHandler(
                    direct,
                    keyLoads,
                    directory,
                    positions,
                    StubKeyGrantClient(),
                    PlannerEndpoint(authority, clusterState, timer),
                )
            scope.backgroundScope.launch { direct.checkAvailability() }
            scope.backgroundScope.launch { follower.run() }
            scope.backgroundScope.launch { reporter.run() }
        }

        private fun others() = routers.map { it.relay } - relay

        /** Ends the router without closing its connections. */
        fun stopAnswering() {
            handlers[relay] = HttpHandler { awaitCancellation() }
        }
    }

    /** Delivers requests to the routers by their relay addresses. */
    private inner class RoutedHttpClient : HttpClient {
        override suspend fun send(
            address: SocketAddress,
            request: HttpRequest,
            timeoutMs: Long,
            expectedRequestId: String?,
            prepare: (HttpRequest) -> HttpRequest?,
        ): HttpResult {
            delay(HOP_MS)
            val response = withTimeoutOrNull(timeoutMs) { handlers.getValue(address).handle(request) }
            return response?.let { HttpResult.Answered(it) } ?: HttpResult.Unknown("no answer")
        }

        override suspend fun close() = Unit
    }

    fun advance(durationMs: Long) = scope.testScheduler.advanceTimeBy(durationMs)

    /** Appends a record and returns the times in ms after which the routers have read it, or null for those that have not in [withinMs]. */
    fun append(withinMs: Long): List<Long?> {
        val appendedAtMs = timer.nowMs()
        val offset = data.append(KeyedStream.OPERATORS, listOf(FakeRecords.tableChange(appendedAtMs)))
        advance(withinMs + 1)
        return routers.map { router -> router.readAtMs[offset]?.minus(appendedAtMs) }
    }

    private companion object {
        const val HOP_MS = 2L
        const val BATCH_DELAY_MS = 50L
    }
}
