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

/** Result of opening a connection. */
internal sealed interface ConnectResult {
    /** The connection is open. */
    class Connected(
        val connection: ClientConnection,
    ) : ConnectResult

    /** The server could not be reached. [isRefused] means that the host answered, but no process listens on the port. */
    class Failed(
        val reason: String,
        val isRefused: Boolean,
    ) : ConnectResult
}

/** The connections to one address. [permits] limits how many are in use at a time. */
internal class ConnectionPool(
    private val address: SocketAddress,
    private val settings: HttpClientSettings,
    private val memory: MessageMemory,
) {
    val permits = Semaphore(settings.connectionsPerAddress)
    private val idle = ArrayDeque<ClientConnection>()
    private var closed = false

    /**
     * Returns an idle connection on which the request [requestId] has not failed before, or null. Connections that were idle for too long
     * may be dead and are closed instead.
     */
    @Synchronized
    fun acquireIdle(requestId: String?): ClientConnection? {
        val now = System.nanoTime()
        idle.removeAll { connection -> (connection.isIdleExpired(now) || !connection.isUsable()).also { if (it) connection.close() } }
        val index = idle.indexOfLast { requestId == null || !it.hasFailed(requestId) }
        return if (index < 0) null else idle.removeAt(index)
    }

    /** Returns a connection that could be used for another request to the pool. */
    @Synchronized
    fun release(connection: ClientConnection) {
        connection.idleSinceNanos = System.nanoTime()
        connection.expectNoResponse()
        if (closed || !settings.reusesConnections || !connection.isUsable()) connection.close() else idle.addLast(connection)
    }

    /** Opens a new connection. */
    suspend fun open(): ConnectResult {
        val events = InboundEventQueue()
        val account = MemoryAccount(memory)
        val decoder = ResponseDecoder(settings.bodyLimitBytes, account)
        val bootstrap = Bootstrap()
            .group(EventLoops.group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMs.toInt())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, receiveBuffers())
            // Closing the socket, or the end of the process, discards unsent bytes. Otherwise the kernel would go on sending them.
            .option(ChannelOption.SO_LINGER, 0)
            .handler(PipelineInitializer(decoder, events))
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
            return ConnectResult.Failed("cannot connect to $address: ${failure.message}", isRefused)
        }
        return ConnectResult.Connected(ClientConnection(connecting.channel(), decoder, events, settings, account))
    }

    /** Closes the idle connections now and the others when they are released. */
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

    private class PipelineInitializer(
        private val decoder: ResponseDecoder,
        private val events: InboundEventQueue,
    ) : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            channel.pipeline().addLast(decoder, HttpRequestEncoder(), events)
        }
    }
}
