package yuccaflow.router.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import yuccaflow.http.SocketAddress

/** The two byte streams of one connection. */
internal interface PeerWire {
    val input: ByteReadChannel
    val output: ByteWriteChannel

    /** Closes both directions at once; safe to call twice. */
    fun close()
}

/** Opens a connection to an address, or fails with an I/O exception. */
internal fun interface PeerDialer {
    suspend fun dial(address: SocketAddress): PeerWire
}

/** A [PeerWire] over a TCP socket. */
internal class SocketWire(
    private val socket: Socket,
) : PeerWire {
    override val input: ByteReadChannel = socket.openReadChannel()
    override val output: ByteWriteChannel = socket.openWriteChannel()

    override fun close() = socket.close()
}

/** Dials TCP connections. */
internal fun socketDialer(selector: SelectorManager): PeerDialer =
    PeerDialer { address ->
        SocketWire(aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true })
    }
