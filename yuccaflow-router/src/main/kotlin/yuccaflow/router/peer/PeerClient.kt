package yuccaflow.router.peer

import yuccaflow.control.RouterId
import yuccaflow.http.SocketAddress

/** Result of a call to another router. */
sealed interface PeerResult {
    /** The peer answered. */
    data class Answered(
        val message: PeerMessage,
    ) : PeerResult

    /** The message was not sent, so the peer cannot have handled it. */
    data class NotSent(
        val reason: String,
    ) : PeerResult

    /** The message may have reached the peer, but no answer arrived in time. */
    data class NoAnswer(
        val reason: String,
    ) : PeerResult
}

/**
 * Makes calls to other routers over one multiplexed connection per peer. An answer that arrives after the timeout of its call is dropped.
 */
fun interface PeerClient {
    /**
     * Sends [message] to the router that advertises [address] and waits up to [timeoutMs] for the answer. Cancellation ends only the
     * wait; the peer may still handle the message.
     */
    suspend fun call(address: SocketAddress, message: PeerMessage, timeoutMs: Long): PeerResult
}

/** Handles calls from other routers, each in a coroutine of its own. */
fun interface PeerHandler {
    /** Returns the answer to [message] from router [from]. */
    suspend fun handle(from: RouterId, message: PeerMessage): PeerMessage
}
