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

/** The connections of this router to and from other routers. */
interface PeerTransport : PeerClient {
    /** The address it listens on, with the actual port when port 0 was configured. */
    val address: SocketAddress

    /** Accepts and serves connections until it is cancelled, then closes all of them. */
    suspend fun run()
}

/**
 * Binds `peer_listen` and returns a transport that answers calls with [handler].
 *
 * A peer of another system or protocol version is refused. A router for which [isKnownPeer] is false may connect, since it has to before
 * its registration can be read, but only [PeerMessage.SnapshotQuery], [PeerMessage.ReadLog] and [PeerMessage.AppendLog] are handled for it.
 * @throws java.io.IOException when the address cannot be bound.
 */
suspend fun peerTransport(
    settings: RouterSettings,
    identity: () -> RouterId,
    isKnownPeer: (RouterId) -> Boolean,
    handler: PeerHandler,
    registry: MeterRegistry,
    timer: TimerService,
): PeerTransport {
    val selector = SelectorManager(Dispatchers.IO)
    val server = aSocket(selector).tcp().bind(settings.peerListen.host, settings.peerListen.port) { reuseAddress = true }
    val port = (server.localAddress as InetSocketAddress).port
    return DefaultPeerTransport(
        address = settings.peerListen.copy(port = port),
        listener = PeerListener {
            val socket = server.accept()
            TcpPeerSocket(socket)
        },
        dialer = socketDialer(selector),
        close = {
            server.close()
            selector.close()
        },
        scope = CoroutineScope(SupervisorJob() + Dispatchers.Default),
        context = PeerTransportContext(settings.system, settings.addressTranslation, identity, isKnownPeer, handler, registry, timer),
    )
}
