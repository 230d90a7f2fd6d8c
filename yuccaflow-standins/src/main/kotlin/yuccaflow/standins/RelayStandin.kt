package yuccaflow.standins

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.GlobalEventExecutor
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.jsonPrimitive
import yuccaflow.http.HttpHandler
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.SocketAddress
import java.net.ConnectException
import java.util.concurrent.TimeUnit

/** Fault injection switches of one route. */
@Serializable
internal data class RouteSwitches(
    /** Closes open connections, and new ones as soon as they are accepted. */
    val cut: Boolean = false,
    /** Drops all bytes while connections stay open. */
    val silent: Boolean = false,
    val delayUs: Long = 0,
)

/** A forwarded address in the file that the `relay` command reads. */
@Serializable
internal data class RouteSpec(
    val name: String,
    val listen: String,
    val to: String,
    /** One-way delay in microseconds. */
    val delayUs: Long = 0,
)

/** A TCP forwarder with a one-way delay and fault switches per route. */
internal class RelayStandin(
    specs: List<RouteSpec>,
) : HttpHandler {
    // Few threads, so that the relay does not compete for cores with the processes that a benchmark measures.
    private val eventLoops = MultiThreadIoEventLoopGroup(RELAY_THREADS, NioIoHandler.newFactory())
    private val routes = specs.associate { it.name to Route(it, eventLoops) }

    fun start() {
        routes.values.forEach { it.start() }
    }

    /** `POST /switches` takes `{"routes": [names], ...}` and applies to all routes when `routes` is missing. */
    override suspend fun handle(request: HttpRequest): HttpResponse = rejectingMalformedRequests {
        if (request.path != "/switches") return notFound()
        if (request.method == "POST") {
            val body = request.jsonBody()
            val names = (body["routes"] as? JsonArray)?.map { it.jsonPrimitive.content }?.toSet()
            routes.values.filter { names == null || it.spec.name in names }.forEach { route ->
                if (route.switches.patch(body).cut) route.openConnections.close()
            }
        }
        jsonResponse(OK, routes.mapValues { it.value.switches.current })
    }

    fun close() {
        eventLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }
}

private const val RELAY_THREADS = 2

/** Interval between attempts to connect to an address that refuses connections; short compared with the timeouts of routers and callers. */
private const val RECONNECT_INTERVAL_MS = 20L

/**
 * Forwards the connections of one address. While the destination refuses connections, the route stops listening, so that its own clients
 * are refused as well. Otherwise the operating system would accept their connections, and a request sent on one before it is closed would
 * have an unknown outcome although it never reached the destination.
 */
private class Route(
    val spec: RouteSpec,
    private val eventLoops: MultiThreadIoEventLoopGroup,
) {
    val switches = Switches(RouteSwitches(delayUs = spec.delayUs), RouteSwitches.serializer())
    val openConnections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private val destination: SocketAddress = parseAddress(spec.to)

    @Volatile
    private var listener: Channel? = null

    /** Starts listening; fails when the address is in use. */
    fun start() {
        listener = listen().sync().channel()
    }

    private fun listen(): ChannelFuture {
        val address = parseAddress(spec.listen)
        return ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel::class.java)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(object : ChannelInitializer<Channel>() {
                override fun initChannel(ch: Channel) = accept(ch)
            })
            .bind(address.host, address.port)
    }

    private fun accept(inbound: Channel) {
        if (switches.current.cut) {
            inbound.close()
            return
        }
        openConnections.add(inbound)
        Bootstrap()
            .group(inbound.eventLoop())
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(Forwarder(inbound, switches))
            .connect(destination.host, destination.port)
            .addListener { connected ->
                when {
                    connected.isSuccess -> Unit
                    isRefusal(connected.cause()) -> pauseListening { inbound.close() }
                    else -> inbound.close()
                }
            }.let { connecting ->
                inbound.pipeline().addLast(Forwarder(connecting.channel(), switches))
                connecting.addListener { if (it.isSuccess) inbound.config().isAutoRead = true }
                openConnections.add(connecting.channel())
            }
    }

    private fun isRefusal(cause: Throwable): Boolean = cause is ConnectException && cause !is ConnectTimeoutException

    /** Closes the listener until the destination accepts connections again. Calls [onPaused] once new connections are refused. */
    private fun pauseListening(onPaused: () -> Unit) {
        val closingListener = synchronized(this) { listener.also { listener = null } }
        if (closingListener == null) return onPaused()
        closingListener.close().addListener {
            onPaused()
            resumeWhenReachable()
        }
    }

    private fun resumeWhenReachable() {
        Bootstrap()
            .group(eventLoops)
            .channel(NioSocketChannel::class.java)
            .handler(ChannelInboundHandlerAdapter())
            .connect(destination.host, destination.port)
            .addListener(
                ChannelFutureListener { connected ->
                    connected.channel().close()
                    if (connected.isSuccess) resumeListening() else scheduleRetry()
                },
            )
    }

    private fun resumeListening() {
        listen().addListener(ChannelFutureListener { bound -> if (bound.isSuccess) listener = bound.channel() else scheduleRetry() })
    }

    private fun scheduleRetry() {
        eventLoops.schedule(::resumeWhenReachable, RECONNECT_INTERVAL_MS, TimeUnit.MILLISECONDS)
    }
}

/** Copies the bytes of its channel to [output] after the delay of the route. Both channels share an event loop, which keeps the order. */
private class Forwarder(
    private val output: Channel,
    private val switches: Switches<RouteSwitches>,
) : ChannelInboundHandlerAdapter() {
    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        afterDelay(ctx) { if (switches.current.silent) ReferenceCountUtil.release(message) else output.writeAndFlush(message) }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        afterDelay(ctx) { if (!switches.current.silent) output.close() }
    }

    @Deprecated("Deprecated in Netty's ChannelInboundHandlerAdapter.")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }

    private fun afterDelay(ctx: ChannelHandlerContext, action: () -> Unit) {
        val delayUs = switches.current.delayUs
        if (delayUs == 0L) action() else ctx.executor().schedule(action, delayUs, TimeUnit.MICROSECONDS)
    }
}
