package yuccaflow.router.peer

import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.cancel
import io.ktor.utils.io.close
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import yuccaflow.control.RouterId
import yuccaflow.http.SocketAddress
import yuccaflow.router.VirtualTimer
import yuccaflow.router.peer.PeerMessage.Failure
import yuccaflow.router.peer.PeerMessage.Heartbeat
import yuccaflow.router.peer.PeerMessage.HeartbeatAnswer
import java.io.IOException

class PeerTransportTest {
    @Nested
    inner class Calls {
        @Test
        fun `each of many concurrent calls gets its own answer over one connection`() = network {
            node(
                "b",
            ) { _, message -> HeartbeatAnswer(B_ID, (message as Heartbeat).controlPosition, true).also { delay(100 - it.controlPosition) } }
            val a = node("a")
            val answers = (1L..90L).map { async { a.call(B, Heartbeat(RouterId("a"), it), 500) } }.awaitAll()
            expectThat(answers.map { (it as PeerResult.Answered).message }).isEqualTo((1L..90L).map { HeartbeatAnswer(B_ID, it, true) })
            expectThat(dials).isEqualTo(1)
        }

        @Test
        fun `a late answer is dropped and does not reach a later call`() = network {
            node("b") { _, message ->
                val position = (message as Heartbeat).controlPosition
                if (position == 1L) delay(150)
                HeartbeatAnswer(B_ID, position, true)
            }
            val a = node("a")
            expectThat(a.call(B, Heartbeat(RouterId("a"), 1), 100)).isA<PeerResult.NoAnswer>()
            expectThat(a.call(B, Heartbeat(RouterId("a"), 2), 500)).isEqualTo(PeerResult.Answered(HeartbeatAnswer(B_ID, 2, true)))
            expectThat(dials).isEqualTo(1)
        }

        @Test
        fun `a message larger than a frame is reported as not sent`() = network {
            node("b")
            val a = node("a")
            val message = PeerMessage.AppendLog("control", ByteArray(PEER_FRAME_LIMIT_BYTES))
            expectThat(a.call(B, message, 500)).isA<PeerResult.NotSent>()
        }
    }

    @Nested
    inner class Connections {
        @Test
        fun `calls on a connection that goes silent fail early and the next call uses a new one`() = network {
            node("b")
            val a = node("a")
            a.call(B, Heartbeat(RouterId("a"), 1), 500)
            sockets.forEach { it.silent = true }
            val began = test.currentTime
            expectThat(a.call(B, Heartbeat(RouterId("a"), 2), 30_000)).isA<PeerResult.NoAnswer>()
            expectThat(test.currentTime - began).isLessThan(DEAD_AFTER_MS + 100)
            expectThat(a.call(B, Heartbeat(RouterId("a"), 3), 500)).isA<PeerResult.Answered>()
            expectThat(dials).isEqualTo(2)
        }

        @Test
        fun `a call waits for a slow answer while its connection responds to probes`() = network {
            node("b") { _, _ -> HeartbeatAnswer(B_ID, 0, true).also { delay(5_000) } }
            expectThat(node("a").call(B, Heartbeat(RouterId("a"), 1), 10_000)).isA<PeerResult.Answered>()
        }

        @Test
        fun `a pause of this process does not count as silence of the peer`() = network {
            node("b") { _, _ -> HeartbeatAnswer(B_ID, 0, true).also { delay(200) } }
            val a = node("a")
            val call = async { a.call(B, Heartbeat(RouterId("a"), 1), 1_000) }
            delay(60)
            timer.skippedMs = 5_000
            expectThat(call.await()).isA<PeerResult.Answered>()
        }

        @Test
        fun `a peer that cannot be reached is retried only after a backoff, and every failure is reported as not sent`() = network {
            val a = node("a")
            repeat(100) {
                expectThat(a.call(B, Heartbeat(RouterId("a"), 1), 500)).isA<PeerResult.NotSent>()
                delay(10)
            }
            expectThat(dials).isLessThan(8)
            node("b")
            delay(400)
            expectThat(a.call(B, Heartbeat(RouterId("a"), 1), 500)).isA<PeerResult.Answered>()
        }

        /** Guards against a router whose failed transport is restarted without a listener, so that other routers cannot reach it. */
        @Test
        fun `a transport that has ended fails at once when it is run again`() = network {
            val a = node("a")
            test.testScheduler.runCurrent()
            runs.getValue(a).cancelAndJoin()
            val again = withTimeoutOrNull(60_000) { runCatching { a.run() } }
            expectThat(again?.exceptionOrNull()).isA<IllegalStateException>()
        }

        @Test
        fun `a router that registers under a new id performs the handshake with its peers again`() = network {
            val seen = mutableListOf<RouterId>()
            node("b") { from, _ -> HeartbeatAnswer(B_ID, 0, true).also { seen += from } }
            var id = "a"
            val a = node("a", identity = { RouterId(id) })
            a.call(B, Heartbeat(RouterId("a"), 1), 500)
            id = "a2"
            a.call(B, Heartbeat(RouterId("a2"), 1), 500)
            expectThat(seen).isEqualTo(mutableListOf(RouterId("a"), RouterId("a2")))
        }
    }

    @Nested
    inner class Access {
        @Test
        fun `a peer of another system is refused`() = network {
            node("b", system = "other")
            expectThat(node("a").call(B, Heartbeat(RouterId("a"), 1), 500)).isA<PeerResult.NotSent>()
        }

        @Test
        fun `a router outside the control table may only ask for what it needs to register`() = network {
            node("b", isKnownPeer = { false }) { _, _ -> HeartbeatAnswer(B_ID, 0, true) }
            val a = node("a")
            expectThat(a.call(B, PeerMessage.SnapshotQuery, 500)).isEqualTo(PeerResult.Answered(HeartbeatAnswer(B_ID, 0, true)))
            expectThat(a.call(B, PeerMessage.AppendLog("control", ByteArray(1)), 500))
                .isA<PeerResult.Answered>()
                .get { message }
                .isA<HeartbeatAnswer>()
            expectThat(a.call(B, PeerMessage.LoadQuery, 500)).isA<PeerResult.Answered>().get { message }.isA<Failure>()
        }
    }

    private companion object {
        val A = SocketAddress("127.0.0.1", 1)
        val B = SocketAddress("127.0.0.1", 2)
        val B_ID = RouterId("b")
    }

    /** Transports connected in memory. */
    private class Network(
        val test: TestScope,
    ) : CoroutineScope by test.backgroundScope {
        val timer = VirtualTimer(test.testScheduler)
        val sockets = mutableListOf<InMemoryPeerSocket>()
        var dials = 0
        val runs = HashMap<PeerTransport, Job>()
        private val listeners = mutableMapOf<SocketAddress, Channel<PeerSocket>>()

        fun node(
            name: String,
            system: String = "test",
            identity: () -> RouterId = { RouterId(name) },
            isKnownPeer: (RouterId) -> Boolean = { true },
            handler: PeerHandler = PeerHandler { _, _ -> HeartbeatAnswer(B_ID, 0, true) },
        ): PeerTransport {
            val address = if (name == "a") A else B
            val incoming = Channel<PeerSocket>(Channel.UNLIMITED).also { listeners[address] = it }
            val context = PeerTransportContext(system, emptyMap(), identity, isKnownPeer, handler, SimpleMeterRegistry(), timer)
            val scope = CoroutineScope(coroutineContext + SupervisorJob(coroutineContext[Job]))
            return DefaultPeerTransport(address, { incoming.receive() }, ::dial, {}, scope, context).also { runs[it] = launch { it.run() } }
        }

        private fun dial(address: SocketAddress): PeerSocket {
            dials++
            val listener = listeners[address] ?: throw IOException("refused")
            val there = ByteChannel()
            val back = ByteChannel()
            val near = InMemoryPeerSocket(back, there)
            val far = InMemoryPeerSocket(there, back)
            sockets += near
            sockets += far
            launch { near.pump() }
            launch { far.pump() }
            listener.trySend(far)
            return near
        }
    }

    /** One end of a connection in memory. While [silent] is set, everything that it sends is lost. */
    private class InMemoryPeerSocket(
        override val input: ByteReadChannel,
        private val peerInput: ByteChannel,
    ) : PeerSocket {
        var silent = false
        private val sent = ByteChannel()
        override val output: ByteWriteChannel = sent

        suspend fun pump() {
            try {
                while (true) {
                    val frame = encodeFrame(sent.readFrame())
                    if (!silent) peerInput.writeFrame(frame)
                }
            } catch (e: IOException) {
                peerInput.close(e)
            }
        }

        override fun close() {
            sent.cancel()
            input.cancel()
        }
    }

    private fun network(body: suspend Network.() -> Unit) = runTest { Network(this).body() }
}
