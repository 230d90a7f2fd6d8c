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

/** Faults of one route. */
@Serializable
internal data class RouteSwitches(
    /** Open connections are closed and new ones are closed at once. */
    val cut: Boolean = false,
    /** Bytes vanish, on open and on new connections. */
    val silent: Boolean = false,
    val delayUs: Long = 0,
)

/** One forwarded address. */
@Serializable
internal data class RouteSpec(
    val name: String,
    val listen: String,
    val to: String,
    /** One-way delay in microseconds. */
    val delayUs: Long = 0,
)

/** Forwards TCP connections with a one-way delay for each route. */
internal class RelayStandin(
    specs: List<RouteSpec>,
) : HttpHandler {
    // Few threads: a relay must not take the cores that a measurement needs.
    private val loops = MultiThreadIoEventLoopGroup(RELAY_THREADS, NioIoHandler.newFactory())
    private val routes = specs.associate { it.name to Route(it, loops) }

    fun start() {
        routes.values.forEach { it.start() }
    }

    /** `POST /switches` takes `{"routes": [names], ...}`; without `routes` it applies to all. */
    override suspend fun handle(request: HttpRequest): HttpResponse = answeringMistakes {
        if (request.path != "/switches") return notFound()
        if (request.method == "POST") {
            val body = request.jsonBody()
            val names = (body["routes"] as? JsonArray)?.map { it.jsonPrimitive.content }?.toSet()
            routes.values.filter { names == null || it.spec.name in names }.forEach { route ->
                if (route.switches.patch(body).cut) route.open.close()
            }
        }
        jsonResponse(OK, routes.mapValues { it.value.switches.now })
    }

    fun close() {
        loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }
}

private const val RELAY_THREADS = 2

/** Time between attempts to reach an address that refused a connection; short against the timeouts of routers and callers. */
private const val REFUSED_POLL_MS = 20L

/**
 * Forwards the connections of one address. While the address behind it refuses connections, the route does not listen, so that callers
 * are refused too. The operating system would otherwise accept their connections, and a request that was sent on one before it is closed
 * would look cut although it never left.
 */
private class Route(
    val spec: RouteSpec,
    private val loops: MultiThreadIoEventLoopGroup,
) {
    val switches = Switches(RouteSwitches(delayUs = spec.delayUs), RouteSwitches.serializer())
    val open = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private val to: SocketAddress = addressOf(spec.to)

    @Volatile
    private var listener: Channel? = null

    /** Starts listening, and fails when the address is in use. */
    fun start() {
        listener = listen().sync().channel()
    }

    private fun listen(): ChannelFuture {
        val address = addressOf(spec.listen)
        return ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel::class.java)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(object : ChannelInitializer<Channel>() {
                override fun initChannel(ch: Channel) = accept(ch)
            })
            .bind(address.host, address.port)
    }

    private fun accept(inbound: Channel) {
        if (switches.now.cut) {
            inbound.close()
            return
        }
        open.add(inbound)
        Bootstrap()
            .group(inbound.eventLoop())
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(Forwarder(inbound, switches))
            .connect(to.host, to.port)
            .addListener { connected ->
                when {
                    connected.isSuccess -> Unit
                    isRefusal(connected.cause()) -> stopListening { inbound.close() }
                    else -> inbound.close()
                }
            }.let { connecting ->
                inbound.pipeline().addLast(Forwarder(connecting.channel(), switches))
                connecting.addListener { if (it.isSuccess) inbound.config().isAutoRead = true }
                open.add(connecting.channel())
            }
    }

    private fun isRefusal(cause: Throwable): Boolean = cause is ConnectException && cause !is ConnectTimeoutException

    /** Refuses connections until the address behind the route accepts them again. Calls [stopped] when the first one would be refused. */
    private fun stopListening(stopped: () -> Unit) {
        val closing = synchronized(this) { listener.also { listener = null } }
        if (closing == null) return stopped()
        closing.close().addListener {
            stopped()
            listenOnceReachable()
        }
    }

    private fun listenOnceReachable() {
        Bootstrap()
            .group(loops)
            .channel(NioSocketChannel::class.java)
            .handler(ChannelInboundHandlerAdapter())
            .connect(to.host, to.port)
            .addListener(
                ChannelFutureListener { connected ->
                    connected.channel().close()
                    if (connected.isSuccess) listenAgain() else retryLater()
                },
            )
    }

    private fun listenAgain() {
        listen().addListener(ChannelFutureListener { bound -> if (bound.isSuccess) listener = bound.channel() else retryLater() })
    }

    private fun retryLater() {
        loops.schedule(::listenOnceReachable, REFUSED_POLL_MS, TimeUnit.MILLISECONDS)
    }
}

/** Writes what it reads to [other] after the delay of the route. Both channels share an event loop, so the order holds. */
private class Forwarder(
    private val other: Channel,
    private val switches: Switches<RouteSwitches>,
) : ChannelInboundHandlerAdapter() {
    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        later(ctx) { if (switches.now.silent) ReferenceCountUtil.release(message) else other.writeAndFlush(message) }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        later(ctx) { if (!switches.now.silent) other.close() }
    }

    @Deprecated("Declared so by Netty's ChannelInboundHandlerAdapter.")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }

    private fun later(ctx: ChannelHandlerContext, action: () -> Unit) {
        val delayUs = switches.now.delayUs
        if (delayUs == 0L) action() else ctx.executor().schedule(action, delayUs, TimeUnit.MICROSECONDS)
    }
}
