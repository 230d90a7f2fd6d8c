package yuccaflow.router.peer

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.base.TimerService
import yuccaflow.control.RouterId
import yuccaflow.http.SocketAddress

/** Timeout for the TCP connect; the handshake has its own, [HANDSHAKE_TIMEOUT_MS]. */
private const val CONNECT_TIMEOUT_MS: Long = 500

/** Backoff after the first failed attempt to connect; doubles with each further one. */
private const val INITIAL_BACKOFF_MS: Long = 25

/** Maximum backoff. It is short compared to the lease, so that a healed partition is noticed before leases end. */
private const val MAX_BACKOFF_MS: Long = 400

/**
 * Makes calls to the peer at [address] over one connection. It is opened on demand and replaced when it is lost, when the peer leaves
 * calls and probes unanswered, or when the current id of this router, as returned by [identity], is no longer the one in its handshake.
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
    private var pendingAttempt: CompletableDeferred<ConnectResult>? = null
    private var backoffMs = INITIAL_BACKOFF_MS
    private var retryAtMs = Long.MIN_VALUE
    private var lastFailure = ""

    @Volatile private var lastUsedMs = timer.nowMs()

    /**
     * Sends [message] and waits up to [timeoutMs] for the answer, including the time to connect. Fails immediately while the backoff after
     * a failed attempt lasts.
     */
    suspend fun call(message: PeerMessage, timeoutMs: Long): PeerResult {
        val startMs = timer.nowMs()
        lastUsedMs = startMs
        openConnectionOrNull()?.let { return it.call(message, timeoutMs) }
        val pending = joinOrStartAttempt() ?: return PeerResult.NotSent("waiting to reconnect after: $lastFailure")
        return when (val result = withTimeoutOrNull(timeoutMs) { pending.await() }) {
            null -> PeerResult.NotSent("not connected within $timeoutMs ms")
            is ConnectResult.Failed -> PeerResult.NotSent(result.reason)
            is ConnectResult.Connected -> result.connection.call(message, timeoutMs - (timer.nowMs() - startMs))
        }
    }

    /**
     * Probes or closes a connection on which the peer is silent. Must be called periodically. [afterPause] is true if this process was
     * suspended since the last call; silence is then measured anew, since nothing could be read in the meantime.
     */
    fun checkSilence(afterPause: Boolean) {
        val current = synchronized(lock) { connection } ?: return
        if (afterPause) current.resetSilence() else current.checkSilence()
    }

    /** Time since the last call began, or 0 while calls are pending. */
    fun idleForMs(): Long = synchronized(lock) { connection }?.idleForMs() ?: (timer.nowMs() - lastUsedMs)

    /** Closes the current connection, if any. The next call opens a new one. */
    fun close(reason: String) {
        synchronized(lock) { connection.also { connection = null } }?.close(reason)
    }

    /** Returns the open connection, or null if there is none. Retires one that was lost or has an outdated id of this router. */
    private fun openConnectionOrNull(): PeerClientConnection? =
        synchronized(lock) {
            val current = connection ?: return null
            if (current.isOpen && current.localId == identity()) return current
            current.retire()
            connection = null
            null
        }

    /** Returns the attempt in progress or starts one. Returns null during the backoff. */
    private fun joinOrStartAttempt(): CompletableDeferred<ConnectResult>? =
        synchronized(lock) {
            pendingAttempt?.let { return it }
            if (timer.nowMs() < retryAtMs) return null
            CompletableDeferred<ConnectResult>().also { started ->
                pendingAttempt = started
                // Without effect if connect has completed it; otherwise the scope was cancelled, and callers must not wait in vain.
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
            recordConnectFailure(started, "cannot connect to $address: ${e.message}")
            return
        }
        val newConnection = PeerClientConnection(socket, self, timer)
        synchronized(lock) {
            connection = newConnection
            pendingAttempt = null
            backoffMs = INITIAL_BACKOFF_MS
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

    private fun recordConnectFailure(started: CompletableDeferred<ConnectResult>, reason: String) {
        synchronized(lock) {
            pendingAttempt = null
            lastFailure = reason
            retryAtMs = timer.nowMs() + backoffMs
            backoffMs = (backoffMs * 2).coerceAtMost(MAX_BACKOFF_MS)
        }
        started.complete(ConnectResult.Failed(reason))
    }
}
