package yuccaflow.router.peer

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.base.TimerService
import yuccaflow.control.RouterId
import yuccaflow.http.SocketAddress

/** Timeout for opening a connection, without the handshake. */
private const val CONNECT_TIMEOUT_MS: Long = 500

/** Backoff after the first failed attempt to connect; doubles with each further one. */
private const val FIRST_BACKOFF_MS: Long = 25

/** Maximum backoff. It is short compared to the lease, so that a healed partition is noticed before leases end. */
private const val MAX_BACKOFF_MS: Long = 400

/**
 * Makes calls to the peer at [address] over one connection, which is opened on demand and replaced when it is lost, silent or was opened
 * under an earlier id of this router.
 */
internal class ReconnectingPeerConnection(
    private val address: SocketAddress,
    private val system: String,
    private val identity: () -> RouterId,
    private val dialer: PeerDialer,
    private val timer: TimerService,
    private val scope: CoroutineScope,
) {
    private sealed interface ConnectResult {
        class Connected(
            val connection: PeerClientConnection,
        ) : ConnectResult

        class Failed(
            val reason: String,
        ) : ConnectResult
    }

    private val lock = Any()
    private var connection: PeerClientConnection? = null
    private var attempt: CompletableDeferred<ConnectResult>? = null
    private var backoffMs = FIRST_BACKOFF_MS
    private var retryAtMs = Long.MIN_VALUE
    private var lastFailure = ""

    @Volatile private var lastUsedMs = timer.nowMs()

    suspend fun call(message: PeerMessage, timeoutMs: Long): PeerResult {
        val startMs = timer.nowMs()
        lastUsedMs = startMs
        openConnectionOrNull()?.let { return it.call(message, timeoutMs) }
        val pending = attemptOrNull() ?: return PeerResult.NotSent("waiting to reconnect after: $lastFailure")
        return when (val result = withTimeoutOrNull(timeoutMs) { pending.await() }) {
            null -> PeerResult.NotSent("not connected within $timeoutMs ms")
            is ConnectResult.Failed -> PeerResult.NotSent(result.reason)
            is ConnectResult.Connected -> result.connection.call(message, timeoutMs - (timer.nowMs() - startMs))
        }
    }

    /** Checks the connection for silence. After a pause of this process ([afterPause]) the measurement of silence starts again. */
    fun check(afterPause: Boolean) {
        val current = synchronized(lock) { connection } ?: return
        if (afterPause) current.resetSilence() else current.checkSilence()
    }

    /** Time since the last call, or 0 while calls are pending. */
    fun idleForMs(): Long = synchronized(lock) { connection }?.idleForMs() ?: (timer.nowMs() - lastUsedMs)

    fun close(reason: String) {
        synchronized(lock) { connection.also { connection = null } }?.close(reason)
    }

    private fun openConnectionOrNull(): PeerClientConnection? =
        synchronized(lock) {
            val current = connection ?: return null
            if (current.isOpen && current.localId == identity()) return current
            current.retire()
            connection = null
            null
        }

    /** Returns the attempt in progress or starts one. Returns null during the backoff. */
    private fun attemptOrNull(): CompletableDeferred<ConnectResult>? =
        synchronized(lock) {
            attempt?.let { return it }
            if (timer.nowMs() < retryAtMs) return null
            CompletableDeferred<ConnectResult>().also { started ->
                attempt = started
                scope.launch { connect(started) }.invokeOnCompletion { started.complete(ConnectResult.Failed("connection closed")) }
            }
        }

    /** Opens the connection, completes [started] with it and runs it until it is lost. */
    private suspend fun connect(started: CompletableDeferred<ConnectResult>) {
        val self = identity()
        val socket = try {
            dial(self)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            connectFailed(started, "cannot connect to $address: ${e.message}")
            return
        }
        val newConnection = PeerClientConnection(socket, self, timer)
        synchronized(lock) {
            connection = newConnection
            attempt = null
            backoffMs = FIRST_BACKOFF_MS
        }
        started.complete(ConnectResult.Connected(newConnection))
        newConnection.run()
    }

    private suspend fun dial(self: RouterId): PeerSocket {
        val socket = withTimeoutOrNull(CONNECT_TIMEOUT_MS) { dialer.dial(address) }
            ?: throw PeerProtocolException("no connection within $CONNECT_TIMEOUT_MS ms")
        try {
            socket.clientHandshake(system, self)
        } catch (e: Exception) {
            socket.close()
            throw e
        }
        return socket
    }

    private fun connectFailed(started: CompletableDeferred<ConnectResult>, reason: String) {
        synchronized(lock) {
            attempt = null
            lastFailure = reason
            retryAtMs = timer.nowMs() + backoffMs
            backoffMs = (backoffMs * 2).coerceAtMost(MAX_BACKOFF_MS)
        }
        started.complete(ConnectResult.Failed(reason))
    }
}
