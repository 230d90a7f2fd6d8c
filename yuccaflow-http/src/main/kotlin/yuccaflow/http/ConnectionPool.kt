package yuccaflow.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import kotlinx.coroutines.sync.Semaphore
import java.net.ConnectException
import kotlin.coroutines.cancellation.CancellationException

/** Result of asking for a connection. */
internal sealed interface Opened {
    /** The connection is open. */
    class Ready(
        val connection: ClientConnection,
    ) : Opened

    /** The server could not be reached. */
    class Failed(
        val reason: String,
        val isRefused: Boolean,
    ) : Opened
}

/** The connections to one address. [permits] bounds the number in use. */
internal class ConnectionPool(
    private val address: SocketAddress,
    private val settings: HttpClientSettings,
) {
    val permits = Semaphore(settings.connectionsPerAddress)
    private val idle = ArrayDeque<ClientConnection>()
    private var closed = false

    /** Takes an idle connection, or null. Connections that were idle for too long may have gone silent and are closed instead. */
    @Synchronized
    fun takeIdle(): ClientConnection? {
        val now = System.nanoTime()
        idle.removeAll { connection -> connection.isIdleTooLong(now).also { if (it) connection.close() } }
        while (idle.isNotEmpty()) {
            val connection = idle.removeLast()
            if (connection.isUsable()) return connection
            connection.close()
        }
        return null
    }

    /** Returns a connection that may carry another request. */
    @Synchronized
    fun giveBack(connection: ClientConnection) {
        connection.idleSinceNanos = System.nanoTime()
        connection.expectNothing()
        if (closed || !connection.isUsable()) connection.close() else idle.addLast(connection)
    }

    /** Opens a new connection. */
    suspend fun open(): Opened {
        val inbox = Inbox()
        val decoder = ResponseDecoder(settings.bodyLimitBytes)
        val bootstrap = Bootstrap()
            .group(EventLoops.group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMs.toInt())
            .option(ChannelOption.TCP_NODELAY, true)
            // Closing, also by the end of the process, drops what has not arrived. Otherwise the system would go on sending it.
            .option(ChannelOption.SO_LINGER, 0)
            .handler(Pipeline(decoder, inbox))
        settings.tcpKeepAlive?.options()?.forEach { (option, value) -> bootstrap.setOption(option, value) }
        val connecting = bootstrap.connect(address.toInet())
        val failure = try {
            connecting.awaitFailure()
        } catch (cancelled: CancellationException) {
            connecting.channel().close()
            throw cancelled
        }
        if (failure != null) {
            val isRefused = failure is ConnectException && failure !is ConnectTimeoutException
            return Opened.Failed("cannot connect to $address: ${failure.message}", isRefused)
        }
        return Opened.Ready(ClientConnection(connecting.channel(), decoder, inbox, settings))
    }

    /** Closes the idle connections, and the others when they are given back. */
    @Synchronized
    fun close() {
        closed = true
        idle.forEach { it.close() }
        idle.clear()
    }

    @Suppress("UNCHECKED_CAST")
    private fun Bootstrap.setOption(option: ChannelOption<*>, value: Any) {
        option(option as ChannelOption<Any>, value)
    }

    private class Pipeline(
        private val decoder: ResponseDecoder,
        private val inbox: Inbox,
    ) : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            channel.pipeline().addLast(decoder, HttpRequestEncoder(), inbox)
        }
    }
}
