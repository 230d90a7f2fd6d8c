package yuccaflow.router.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import yuccaflow.http.SocketAddress

/** A bidirectional byte stream between two routers. */
internal interface PeerSocket {
    val input: ByteReadChannel
    val output: ByteWriteChannel

    /** Closes both directions. May be called more than once. */
    fun close()
}

/** Opens connections. Fails with an I/O exception when the address cannot be reached. */
internal fun interface PeerDialer {
    suspend fun dial(address: SocketAddress): PeerSocket
}

/** A [PeerSocket] over a TCP socket. */
internal class TcpPeerSocket(
    private val socket: Socket,
) : PeerSocket {
    override val input: ByteReadChannel = socket.openReadChannel()
    override val output: ByteWriteChannel = socket.openWriteChannel()

    override fun close() = socket.close()
}

/** Returns a dialer for TCP connections. */
internal fun socketDialer(selector: SelectorManager): PeerDialer =
    PeerDialer { address ->
        TcpPeerSocket(aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true })
    }
