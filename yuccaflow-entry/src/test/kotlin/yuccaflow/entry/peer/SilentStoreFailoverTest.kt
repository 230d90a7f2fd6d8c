package yuccaflow.entry.peer

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
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
import yuccaflow.entry.store.KeyedAppendResult
import yuccaflow.entry.store.KeyedChange
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.StreamReadResult
import yuccaflow.http.HttpClient
import yuccaflow.http.HttpHandler
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResult
import yuccaflow.http.SocketAddress

@DisplayName("A router that the store does not answer")
class SilentStoreFailoverTest {
    private class Peer(
        val address: SocketAddress,
        val store: SilentStore,
        val handler: HttpHandler,
    ) {
        var isAnswering = true
        var requests = 0
    }

    private inner class Fixture(
        private val scope: TestScope,
        peerCount: Int,
    ) {
        val timer = VirtualTimer(scope.testScheduler)
        val data = FakeStoreData(timer)
        val log = RecordingEventLog()
        val store = silentStore()
        val direct = DirectStoreAccess(store, store, timer, log)
        val peers = List(peerCount) { peer(SocketAddress("10.0.0.${it + 2}", 1)) }
        val access = FailoverStoreAccess(direct, RelayClient(PeerHttpClient(peers)), { peers.map { it.address } }, timer, log)
        val change = listOf(KeyedChange("k", "v".toByteArray()))

        private fun silentStore() = FakeStore(data).let { SilentStore(it, it, timer) }

        private fun peer(address: SocketAddress): Peer {
            val store = silentStore()
            val clusterState = ClusterState(timer, log)
            val authority = PlannerAuthority("$address", "life", clusterState, timer, timer::nowMs, KeyOwnershipSettings(), log) { null }
            val handler = relayHandler(
                DirectStoreAccess(store, store, timer, RecordingEventLog()),
                KeyLoadTracker(timer),
                TargetDirectory(FakeRecords, OperatorState(FakeRecords, timer, log), timer, log) { null },
                StreamPositions(emptyList(), timer),
                StubKeyGrantClient(),
                PlannerEndpoint(authority, clusterState, timer),
            )
            return Peer(address, store, handler)
        }

        fun relayedRequests() = peers.sumOf { it.requests }

        suspend fun read(waitMs: Long) = access.read(KeyedStream.OPERATORS, 0, waitMs)

        /** Makes the direct access notice that the store is silent. */
        suspend fun noticeSilence() {
            store.isSilent = true
            direct.members()
            expectThat(direct.isAvailable).isFalse()
        }
    }

    /** Delivers requests to the [peers] that answer. */
    private class PeerHttpClient(
        peers: List<Peer>,
    ) : HttpClient {
        private val peersByAddress = peers.associateBy { it.address }

        override suspend fun send(
            address: SocketAddress,
            request: HttpRequest,
            timeoutMs: Long,
            expectedRequestId: String?,
            prepare: (HttpRequest) -> HttpRequest?,
        ): HttpResult {
            val peer = peersByAddress.getValue(address)
            peer.requests++
            delay(HOP_MS)
            val response = withTimeoutOrNull(timeoutMs) { if (peer.isAnswering) peer.handler.handle(request) else awaitCancellation() }
            return response?.let { HttpResult.Answered(it) } ?: HttpResult.Unknown("no answer")
        }

        override suspend fun close() = Unit
    }

    @Nested
    @DisplayName("reads without a wait")
    inner class ImmediateReads {
        /** Guards against news that are read only after the direct call's timeout, although other routers have them (CONFIG). */
        @Test
        fun `through another router within half a second`() = runTest {
            val fixture = Fixture(this, peerCount = 3)
            fixture.data.append(KeyedStream.OPERATORS, fixture.change)
            fixture.store.isSilent = true
            val startedAtMs = fixture.timer.nowMs()
            val result = fixture.read(waitMs = 0)
            expectThat(result).isA<StreamReadResult.Read>().get { records }.hasSize(1)
            expectThat(fixture.timer.nowMs() - startedAtMs).isLessThan(500)
        }

        /** Guards against a read that depends on the one router it asks: those that are asked may have lost the store as well. */
        @Test
        fun `within a second if two of the other routers are silent too`() = runTest {
            val fixture = Fixture(this, peerCount = 3)
            fixture.store.isSilent = true
            fixture.peers[0].store.isSilent = true
            fixture.peers[1].isAnswering = false
            val startedAtMs = fixture.timer.nowMs()
            expectThat(fixture.read(waitMs = 0)).isA<StreamReadResult.Read>()
            expectThat(fixture.timer.nowMs() - startedAtMs).isLessThan(1_000)
        }

        /** Guards against a router that goes on waiting at a silent store because a relayed answer hid the silence. */
        @Test
        fun `and then notices that the store is unavailable`() = runTest {
            val fixture = Fixture(this, peerCount = 3)
            backgroundScope.launch { fixture.direct.checkAvailability() }
            val wait = async { fixture.direct.read(KeyedStream.OPERATORS, 0, 25_000) }
            testScheduler.advanceTimeBy(100)
            fixture.store.isSilent = true
            fixture.read(waitMs = 0)
            expectThat(fixture.direct.isAvailable).isTrue()
            testScheduler.advanceTimeBy(SILENCE_NOTICED_MS)
            expectThat(fixture.direct.isAvailable).isFalse()
            expectThat(wait.await()).isA<StreamReadResult.Failed>()
        }

        /** Guards against a store that counts as lost because one of its answers was late. */
        @Test
        fun `and keeps to the store if it answers again`() = runTest {
            val fixture = Fixture(this, peerCount = 3)
            backgroundScope.launch { fixture.direct.checkAvailability() }
            fixture.store.isSilent = true
            fixture.read(waitMs = 0)
            fixture.store.isSilent = false
            testScheduler.advanceTimeBy(SILENCE_NOTICED_MS)
            expectThat(fixture.direct.isAvailable).isTrue()
            expectThat(fixture.log.count("relay_started")).isEqualTo(1)
            fixture.read(waitMs = 0)
            expectThat(fixture.log.count("relay_ended")).isEqualTo(1)
        }

        /** Guards against calls to other routers, and through them to the store, while the store answers promptly. */
        @Test
        fun `through no other router while the store answers`() = runTest {
            val fixture = Fixture(this, peerCount = 3)
            repeat(20) { fixture.read(waitMs = 0) }
            testScheduler.advanceTimeBy(SILENCE_NOTICED_MS)
            expectThat(fixture.relayedRequests()).isEqualTo(0)
            expectThat(fixture.store.reads).isEqualTo(20)
        }
    }

    @Nested
    @DisplayName("reads through other routers")
    inner class RelayedReads {
        /** Guards against a long-polling read that is 2.7 s late because the first router that is asked does not answer. */
        @Test
        fun `gets records at once although one of them does not answer`() = runTest {
            val fixture = Fixture(this, peerCount = 2)
            fixture.noticeSilence()
            fixture.peers[0].isAnswering = false
            repeat(READS) {
                val read = async { fixture.access.read(KeyedStream.OPERATORS, it.toLong(), 25_000) }
                testScheduler.advanceTimeBy(300)
                val appendedAtMs = fixture.timer.nowMs()
                fixture.data.append(KeyedStream.OPERATORS, fixture.change)
                expectThat(read.await()).isA<StreamReadResult.Read>().get { records }.hasSize(1)
                expectThat(fixture.timer.nowMs() - appendedAtMs).isLessThan(500)
            }
        }

        /** Guards against reads without a wait that take 0.7 s for each router that does not answer. */
        @Test
        fun `gets records within half a second although two of them do not answer`() = runTest {
            val fixture = Fixture(this, peerCount = 3)
            fixture.noticeSilence()
            fixture.peers.take(2).forEach { it.isAnswering = false }
            repeat(READS) {
                val startedAtMs = fixture.timer.nowMs()
                expectThat(fixture.read(waitMs = 0)).isA<StreamReadResult.Read>()
                expectThat(fixture.timer.nowMs() - startedAtMs).isLessThan(500)
            }
        }
    }

    /** Guards against an append that is carried out twice because it was passed to another router while the first call went on. */
    @Test
    fun `asks no other router for an append that the store has not answered`() = runTest {
        val fixture = Fixture(this, peerCount = 3)
        fixture.store.isSilent = true
        expectThat(fixture.access.append(KeyedStream.ROUTERS, fixture.change, null)).isA<KeyedAppendResult.Unknown>()
        expectThat(fixture.relayedRequests()).isEqualTo(0)
        expectThat(fixture.store.appends).isEqualTo(1)
    }

    /** Guards against an append that several routers carry out for this one. */
    @Test
    fun `passes an append to one other router only`() = runTest {
        val fixture = Fixture(this, peerCount = 3)
        fixture.noticeSilence()
        fixture.peers.forEach { it.store.isSilent = true }
        expectThat(fixture.access.append(KeyedStream.ROUTERS, fixture.change, null)).isA<KeyedAppendResult.Unknown>()
        expectThat(fixture.peers.sumOf { it.store.appends }).isEqualTo(1)
    }

    private companion object {
        const val HOP_MS = 2L
        const val READS = 10

        /** Time for a recheck to begin and to reach its timeout. */
        const val SILENCE_NOTICED_MS = 2_500L
    }
}
