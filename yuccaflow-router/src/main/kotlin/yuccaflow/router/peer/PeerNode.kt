package yuccaflow.router.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import yuccaflow.base.TimerService
import yuccaflow.control.RouterId
import yuccaflow.http.SocketAddress
import yuccaflow.router.settings.RouterSettings

/** This router's end of all connections to and from other routers. */
interface PeerNode : PeerClient {
    /** Address that the node listens on, with the real port. */
    val address: SocketAddress

    /** Accepts and serves connections until cancelled. */
    suspend fun run()
}

/**
 * Binds `peer_listen` and returns a node that answers calls with [handler]. Fails with an I/O exception when the address is in use.
 *
 * A peer of another system or protocol version is refused. A router that [isKnownPeer] does not know may connect, as it must before its
 * registration can be read, but is answered only [PeerMessage.SnapshotQuery], [PeerMessage.ReadLog] and [PeerMessage.AppendLog].
 */
suspend fun peerNode(
    settings: RouterSettings,
    identity: () -> RouterId,
    isKnownPeer: (RouterId) -> Boolean,
    handler: PeerHandler,
    registry: MeterRegistry,
    timer: TimerService,
): PeerNode {
    val selector = SelectorManager(Dispatchers.IO)
    val server = aSocket(selector).tcp().bind(settings.peerListen.host, settings.peerListen.port) { reuseAddress = true }
    val port = (server.localAddress as InetSocketAddress).port
    return SocketPeerNode(
        address = settings.peerListen.copy(port = port),
        listener = PeerListener {
            val socket = server.accept()
            SocketWire(socket)
        },
        dialer = socketDialer(selector),
        close = {
            server.close()
            selector.close()
        },
        scope = CoroutineScope(SupervisorJob() + Dispatchers.Default),
        parts = PeerNodeParts(settings.system, settings.addressTranslation, identity, isKnownPeer, handler, registry, timer),
    )
}
