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

/** The connections between routers in memory. Messages between two addresses are lost in both directions while [isCut] says so. */
class FakeNetwork {
    private class Listener(
        val scope: CoroutineScope,
        val handler: PeerHandler,
    )

    private val listeners = mutableMapOf<SocketAddress, Listener>()

    /** Whether no message gets through between two addresses. */
    var isCut: (SocketAddress, SocketAddress) -> Boolean = { _, _ -> false }

    /** Serves calls to [address] with [handler] in [scope], until [leave]. */
    fun listen(address: SocketAddress, scope: CoroutineScope, handler: PeerHandler) {
        listeners[address] = Listener(scope, handler)
    }

    fun leave(address: SocketAddress) {
        listeners.remove(address)
    }

    /** The link of the router at [own]. */
    fun link(own: SocketAddress, id: () -> RouterId): PeerClient = PeerClient { address, message, timeoutMs ->
        withTimeoutOrNull(timeoutMs) { exchange(own, id(), address, message) } ?: PeerResult.NoAnswer("no answer")
    }

    private suspend fun exchange(own: SocketAddress, id: RouterId, address: SocketAddress, message: PeerMessage): PeerResult {
        delay(LATENCY_MS)
        if (isCut(own, address)) delay(Long.MAX_VALUE)
        val listener = listeners[address] ?: return PeerResult.NotSent("refused")
        val answer = listener.scope.async { listener.handler.handle(id, message) }.await()
        delay(LATENCY_MS)
        if (isCut(own, address)) delay(Long.MAX_VALUE)
        return PeerResult.Answered(answer)
    }

    private companion object {
        const val LATENCY_MS = 1L
    }
}
