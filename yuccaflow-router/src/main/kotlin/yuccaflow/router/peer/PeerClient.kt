package yuccaflow.router.peer

import yuccaflow.control.RouterId
import yuccaflow.http.SocketAddress

/** Result of a call to a peer. */
sealed interface PeerResult {
    /** The peer answered. */
    data class Answered(
        val message: PeerMessage,
    ) : PeerResult

    /** The message certainly never reached the peer. */
    data class NotSent(
        val reason: String,
    ) : PeerResult

    /** The message may have reached the peer, but no answer came in time. */
    data class NoAnswer(
        val reason: String,
    ) : PeerResult
}

/**
 * Calls to other routers over one multiplexed connection per peer. A peer that answers late is not waited for, and its late answer is
 * dropped.
 */
fun interface PeerClient {
    /** Sends [message] to the router that advertises [address] and waits up to [timeoutMs]. Cancelling stops the wait only. */
    suspend fun call(address: SocketAddress, message: PeerMessage, timeoutMs: Long): PeerResult
}

/** Answers calls from other routers. Each call runs in a coroutine of its own. */
fun interface PeerHandler {
    /** Returns the answer to [message] from router [from]. */
    suspend fun handle(from: RouterId, message: PeerMessage): PeerMessage
}
