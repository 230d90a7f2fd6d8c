package yuccaflow.router.fake

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.control.RouterId
import yuccaflow.http.SocketAddress
import yuccaflow.router.peer.PeerClient
import yuccaflow.router.peer.PeerHandler
import yuccaflow.router.peer.PeerMessage
import yuccaflow.router.peer.PeerResult

/** An in-memory network between routers. Messages between two addresses are lost, in both directions, while [isDisconnected] is true. */
class FakeNetwork {
    private class Listener(
        val scope: CoroutineScope,
        val handler: PeerHandler,
    )

    private val listeners = mutableMapOf<SocketAddress, Listener>()

    /** Returns whether messages between two addresses are lost. */
    var isDisconnected: (SocketAddress, SocketAddress) -> Boolean = { _, _ -> false }

    /** Answers calls to [address] with [handler] in [scope], until [stopListening] is called. */
    fun listen(address: SocketAddress, scope: CoroutineScope, handler: PeerHandler) {
        listeners[address] = Listener(scope, handler)
    }

    fun stopListening(address: SocketAddress) {
        listeners.remove(address)
    }

    /** Returns the peer client of the router at the address [own]. */
    fun peerClient(own: SocketAddress, id: () -> RouterId): PeerClient = PeerClient { address, message, timeoutMs ->
        withTimeoutOrNull(timeoutMs) { exchange(own, id(), address, message) } ?: PeerResult.NoAnswer("no answer")
    }

    private suspend fun exchange(own: SocketAddress, id: RouterId, address: SocketAddress, message: PeerMessage): PeerResult {
        delay(LATENCY_MS)
        if (isDisconnected(own, address)) delay(Long.MAX_VALUE)
        val listener = listeners[address] ?: return PeerResult.NotSent("refused")
        val answer = listener.scope.async { listener.handler.handle(id, message) }.await()
        delay(LATENCY_MS)
        if (isDisconnected(own, address)) delay(Long.MAX_VALUE)
        return PeerResult.Answered(answer)
    }

    private companion object {
        const val LATENCY_MS = 1L
    }
}
