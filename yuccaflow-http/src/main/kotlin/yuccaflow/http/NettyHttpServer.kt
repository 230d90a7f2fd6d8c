package yuccaflow.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.RecvByteBufAllocator
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap

/**
 * [HttpServer] on Netty's NIO transport. Each connection is served by a coroutine, a child of the server's supervisor job. The connections
 * are read by the event loops of [group], and the memory of their messages counted in [memory].
 */
internal class NettyHttpServer(
    listen: SocketAddress,
    dispatcher: CoroutineDispatcher,
    private val limits: () -> HttpServerLimits,
    private val handler: HttpHandler,
    group: EventLoopGroup = EventLoops.group,
    private val memory: MessageMemory = MessageMemory.ofProcess,
) : HttpServer {
    private val supervisor = SupervisorJob()
    private val scope = CoroutineScope(supervisor + dispatcher)
    private val connections = ConcurrentHashMap<Job, InboundEventQueue>()

    @Volatile
    private var closing = false

    @Volatile
    private var draining = false

    private val listener = ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, READ_UNTIL_EMPTY)
        .childHandler(ConnectionInitializer())
        .bind(listen.toInet())
        .syncUninterruptibly()
        .channel()

    override val address: SocketAddress = SocketAddress(listen.host, (listener.localAddress() as InetSocketAddress).port)

    override fun announceClose() {
        closing = true
        wakeConnections()
    }

    override suspend fun close(drainMs: Long) {
        closing = true
        draining = true
        listener.close().awaitFailure()
        wakeConnections()
        withTimeoutOrNull(drainMs) { connections.keys.toList().joinAll() }
        supervisor.cancelAndJoin()
    }

    private fun wakeConnections() = connections.values.forEach { it.offer(InboundEvent.ShutdownProgressed) }

    private inner class ConnectionInitializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val events = InboundEventQueue()
            val account = MemoryAccount(memory)
            channel.pipeline().addLast(StrictRequestDecoder(limits, account), HttpResponseEncoder(), events)
            val connection = ServerConnection(channel, events, limits, handler, ShutdownState({ closing }, { draining }), account)
            val overLimit = connections.size >= limits().connectionLimit
            val job = scope.launch { if (overLimit) connection.refuseConnection() else connection.serve() }
            connections[job] = events
            job.invokeOnCompletion {
                connections.remove(job)
                channel.close()
                account.close()
            }
            channel.closeFuture().addListener { job.cancel() }
        }
    }

    private companion object {
        const val BACKLOG = 1_024

        /**
         * Reads until nothing is left, so that a close behind a request is seen before the request is handled. Otherwise a busy event loop
         * would see it only after it has handled the requests of all other connections.
         */
        val READ_UNTIL_EMPTY: RecvByteBufAllocator = receiveBuffers().respectMaybeMoreData(false)
    }
}
