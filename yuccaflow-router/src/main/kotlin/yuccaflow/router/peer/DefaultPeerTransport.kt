package yuccaflow.router.peer

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.tinylog.Logger
import yuccaflow.base.TimerService
import yuccaflow.control.RouterId
import yuccaflow.http.SocketAddress
import yuccaflow.router.telemetry.MetricNames
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Interval between checks of the connections for silence and idleness. */
private const val CHECK_PERIOD_MS: Long = 50

/**
 * A longer interval between two checks means that the process was paused. Answers may then wait unread in the socket buffers, so silence
 * does not show that a connection is dead.
 */
private const val PAUSE_THRESHOLD_MS: Long = 4 * CHECK_PERIOD_MS

/** Time without a call after which a connection to a peer is closed. */
private const val IDLE_CLIENT_CONNECTION_MS: Long = 60_000

/** Time without a frame after which a connection from a peer is closed. Longer than the peer's limit, so that the peer closes it first. */
private const val IDLE_SERVER_CONNECTION_MS: Long = 90_000

/** Limit of the connections from routers that are not in the control table, so that they cannot exhaust the resources of this host. */
private const val UNKNOWN_PEER_LIMIT = 64

/** Pause after a failed accept, which usually means that the process is out of file descriptors. */
private const val ACCEPT_RETRY_MS: Long = 100

/** Accepts connections, one with each call. */
internal fun interface PeerListener {
    suspend fun accept(): PeerSocket
}

/** The settings and collaborators of a [DefaultPeerTransport]. */
internal class PeerTransportContext(
    val system: String,
    val addressTranslation: Map<SocketAddress, SocketAddress>,
    val identity: () -> RouterId,
    val isKnownPeer: (RouterId) -> Boolean,
    val handler: PeerHandler,
    val registry: MeterRegistry,
    val timer: TimerService,
)

/**
 * A [PeerTransport] over the sockets of [listener] and [dialer]. Its connections and the calls from peers run in [scope], which [run]
 * cancels when it ends.
 */
internal class DefaultPeerTransport(
    override val address: SocketAddress,
    private val listener: PeerListener,
    private val dialer: PeerDialer,
    private val close: () -> Unit,
    private val scope: CoroutineScope,
    private val context: PeerTransportContext,
) : PeerTransport {
    private val clientConnections = ConcurrentHashMap<SocketAddress, ReconnectingPeerConnection>()
    private val serverConnections = ConcurrentHashMap.newKeySet<PeerServerConnection>()
    private val unknownPeers = AtomicInteger()

    override suspend fun call(address: SocketAddress, message: PeerMessage, timeoutMs: Long): PeerResult {
        val result = when {
            timeoutMs <= 0 -> PeerResult.NotSent("no time left")
            else -> connectionTo(address).call(message, timeoutMs)
        }
        recordCall(message, result)
        return result
    }

    /** Runs until cancelled. Fails at once when it is called again: the sockets are closed, so only a restart of the process helps. */
    override suspend fun run() {
        check(scope.isActive) { "expected an open transport, found one that has ended" }
        try {
            coroutineScope {
                launch { watchConnections() }
                acceptConnections()
            }
        } finally {
            clientConnections.values.forEach { it.close("this router stops") }
            serverConnections.forEach { it.close() }
            scope.cancel()
            close()
        }
    }

    private fun connectionTo(address: SocketAddress): ReconnectingPeerConnection {
        val reachable = context.addressTranslation[address] ?: address
        return clientConnections.computeIfAbsent(reachable) {
            ReconnectingPeerConnection(it, context.system, context.identity, dialer, context.timer, scope)
        }
    }

    private suspend fun acceptConnections(): Nothing {
        while (true) {
            val socket = try {
                listener.accept()
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                Logger.warn(e, "Failed to accept a connection from a peer")
                context.timer.sleep(ACCEPT_RETRY_MS)
                continue
            }
            scope.launch { serve(socket) }
        }
    }

    private suspend fun serve(socket: PeerSocket) {
        var countedAsUnknown = false
        val mayConnect = { peer: RouterId ->
            countedAsUnknown = !context.isKnownPeer(peer)
            !countedAsUnknown || unknownPeers.incrementAndGet() <= UNKNOWN_PEER_LIMIT
        }
        try {
            val from = socket.serverHandshake(context.system, context.identity(), mayConnect) ?: return
            val serverConnection = PeerServerConnection(socket, from, context.isKnownPeer, context.handler, context.timer, scope)
            serverConnections += serverConnection
            try {
                serverConnection.run()
            } finally {
                serverConnections -= serverConnection
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            Logger.debug("Connection from a peer was lost: {}", e.message)
        } finally {
            if (countedAsUnknown) unknownPeers.decrementAndGet()
            socket.close()
        }
    }

    private suspend fun watchConnections() {
        var lastCheckMs = context.timer.nowMs()
        context.timer.every(CHECK_PERIOD_MS).collect {
            val nowMs = context.timer.nowMs()
            val afterPause = nowMs - lastCheckMs > PAUSE_THRESHOLD_MS
            lastCheckMs = nowMs
            clientConnections.forEach { (address, connection) -> checkConnection(address, connection, afterPause) }
            serverConnections.filter { nowMs - it.lastFrameMs > IDLE_SERVER_CONNECTION_MS }.forEach { it.close() }
        }
    }

    private fun checkConnection(address: SocketAddress, connection: ReconnectingPeerConnection, afterPause: Boolean) {
        connection.checkSilence(afterPause)
        if (connection.idleForMs() > IDLE_CLIENT_CONNECTION_MS && clientConnections.remove(address, connection)) connection.close("idle")
    }

    private fun recordCall(message: PeerMessage, result: PeerResult) {
        val outcome = when (result) {
            is PeerResult.Answered -> "answered"
            is PeerResult.NotSent -> "not-sent"
            is PeerResult.NoAnswer -> "no-answer"
        }
        context.registry.counter(MetricNames.PEER_CALLS, "message", message.javaClass.simpleName, "result", outcome).increment()
    }
}
