package yuccaflow.router

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import org.tinylog.Logger
import yuccaflow.base.Supervisor
import yuccaflow.base.systemTimerService
import yuccaflow.http.HttpHandler
import yuccaflow.http.HttpServer
import yuccaflow.http.HttpServerLimits
import yuccaflow.http.httpServer
import yuccaflow.router.peer.PeerMessage
import yuccaflow.router.peer.peerTransport
import yuccaflow.router.settings.RouterSettings
import yuccaflow.router.telemetry.meterRegistry

/** A running router process: the router and its servers for callers and operators. */
internal class Daemon(
    private val node: RouterNode,
    private val callers: HttpServer,
    private val admin: HttpServer,
) {
    /** Runs until [stop] completes, then shuts down gracefully, or until a task fails too often. Returns the exit status of the process. */
    suspend fun run(stop: CompletableDeferred<Unit>): Int = coroutineScope {
        val supervised = async { Supervisor(node.timer).run(node.tasks()) }
        val status = select {
            stop.onAwait {
                stopGracefully()
                STATUS_STOPPED
            }
            supervised.onAwait { task ->
                Logger.error("stopping the router because task {} failed too often", task)
                STATUS_FAILED
            }
        }
        supervised.cancel()
        callers.close(0)
        admin.close(0)
        node.close()
        status
    }

    /** Stops without aborting requests: hands the targets over and waits for running requests before it gives up the lease. */
    private suspend fun stopGracefully() {
        Logger.info("router {} is shutting down", node.membership.routerId)
        val drainMs = node.settings.timing.stopDrainMs
        node.isStopping = true
        node.membership.announceLeaving(RECORD_TIMEOUT_MS)
        node.ownership.handOver(drainMs)
        node.timer.sleep(LOAD_BALANCER_GRACE_MS)
        callers.close(drainMs)
        node.membership.stop(RECORD_TIMEOUT_MS)
        Logger.info("router {} has stopped", node.membership.routerId)
    }

    private companion object {
        const val STATUS_STOPPED = 0
        const val STATUS_FAILED = 1

        /**
         * Time for which callers are still served after `/ready` begins to fail, so that the platform's load balancer has stopped sending
         * before connections are closed. Without it a graceful shutdown aborted 5 requests.
         */
        const val LOAD_BALANCER_GRACE_MS = 3_000L

        /**
         * Timeout for appending a record during shutdown. When it expires the shutdown goes on, because the witnesses end the lease of a
         * router that could not record its stop.
         */
        const val RECORD_TIMEOUT_MS = 2_000L
    }
}

/**
 * Binds the addresses of [settings] and builds the router.
 * @throws java.io.IOException when an address cannot be bound.
 */
internal suspend fun startDaemon(settings: RouterSettings): Daemon {
    val built = CompletableDeferred<RouterNode>()
    val timer = systemTimerService()
    val registry = meterRegistry(settings.host, settings.zone)
    val callers = httpServer(settings.callerListen, callerLimits(settings)) { built.await().entry.handle(it) }
    val admin = httpServer(settings.adminListen, HttpServerLimits(), HttpHandler { built.await().admin.handle(it) })
    val peers = peerTransport(
        settings = settings,
        identity = { builtNodeOrFail(built).membership.routerId },
        isKnownPeer = { builtNodeOrFail(built).isKnown(it) },
        handler = { from, message -> builtNodeOrFail(built).handle(from, message) ?: PeerMessage.Failure("not understood") },
        registry = registry,
        timer = timer,
    )
    // With port 0 the system chooses a free port, and the actual one must be advertised.
    val advertise = settings.peerAdvertise.let { if (it.port == 0) it.copy(port = peers.address.port) else it }
    val bound = settings.copy(callerListen = callers.address, adminListen = admin.address, peerAdvertise = advertise)
    val node = RouterNode(bound, peers, timer, registry)
    built.complete(node)
    Logger.info(
        "router in zone {} listens on {} for callers, {} for operators and {} for peers",
        bound.zone,
        callers.address,
        admin.address,
        advertise,
    )
    return Daemon(node, callers, admin)
}

private fun callerLimits(settings: RouterSettings) = HttpServerLimits(connectionLimit = settings.capacityRequests * CONNECTIONS_PER_REQUEST)

/** Connections accepted per request of the capacity. Most connections are idle, so there may be more of them than concurrent requests. */
private const val CONNECTIONS_PER_REQUEST = 10

/** Returns the node, which must be built before the peer transport runs. */
private fun builtNodeOrFail(built: CompletableDeferred<RouterNode>): RouterNode {
    check(built.isCompleted) { "expected the router to be built before its peers are served" }
    return built.getCompleted()
}
