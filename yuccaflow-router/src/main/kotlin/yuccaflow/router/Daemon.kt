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

/** A running router: its listening servers and the parts behind them. */
internal class Daemon(
    private val node: RouterNode,
    private val callers: HttpServer,
    private val admin: HttpServer,
) {
    /** Runs until [stop] completes and then stops as planned. Returns the exit status of the process. */
    suspend fun run(stop: CompletableDeferred<Unit>): Int = coroutineScope {
        val supervised = async { Supervisor(node.timer).run(node.parts()) }
        val status = select {
            stop.onAwait {
                stopAsPlanned()
                STATUS_STOPPED
            }
            supervised.onAwait { part ->
                Logger.error("the router ends because part {} keeps failing", part)
                STATUS_FAILED
            }
        }
        supervised.cancel()
        callers.close(0)
        admin.close(0)
        node.close()
        status
    }

    /** Cuts no request: the targets are handed over first, and whatever still runs is awaited before the lease is given up. */
    private suspend fun stopAsPlanned() {
        Logger.info("router {} stops as planned", node.membership.routerId)
        val drainMs = node.settings.timing.stopDrainMs
        node.isStopping = true
        node.membership.announceLeaving(RECORD_TIMEOUT_MS)
        node.ownership.handOver(drainMs)
        node.timer.sleep(BALANCER_GRACE_MS)
        callers.close(drainMs)
        node.membership.stop(RECORD_TIMEOUT_MS)
        Logger.info("router {} has stopped", node.membership.routerId)
    }

    private companion object {
        const val STATUS_STOPPED = 0
        const val STATUS_FAILED = 1

        /**
         * Callers are still served for this time after `/ready` began to fail, so that the platform's balancer has stopped sending before
         * connections are closed. A planned stop without it cut 5 requests.
         */
        const val BALANCER_GRACE_MS = 3_000L

        /** A stop does not wait longer for the log; the witnesses end the lease of a router that could not record its stop. */
        const val RECORD_TIMEOUT_MS = 2_000L
    }
}

/** Binds the addresses of [settings] and builds the router behind them. Fails with an I/O exception when an address is in use. */
internal suspend fun startDaemon(settings: RouterSettings): Daemon {
    val built = CompletableDeferred<RouterNode>()
    val timer = systemTimerService()
    val registry = meterRegistry(settings.host, settings.zone)
    val callers = httpServer(settings.callerListen, callerLimits(settings)) { built.await().entry.handle(it) }
    val admin = httpServer(settings.adminListen, HttpServerLimits(), HttpHandler { built.await().admin.handle(it) })
    val peers = peerTransport(
        settings = settings,
        identity = { builtNode(built).membership.routerId },
        isKnownPeer = { builtNode(built).isKnown(it) },
        handler = { from, message -> builtNode(built).handle(from, message) ?: PeerMessage.Failure("not understood") },
        registry = registry,
        timer = timer,
    )
    // Port 0 takes a free port; others must be told the real one.
    val advertise = settings.peerAdvertise.let { if (it.port == 0) it.copy(port = peers.address.port) else it }
    val bound = settings.copy(callerListen = callers.address, adminListen = admin.address, peerAdvertise = advertise)
    val node = RouterNode(bound, peers, timer, registry)
    built.complete(node)
    Logger.info(
        "router of zone {} listens on {} for callers, {} for operators, {} for peers",
        bound.zone,
        callers.address,
        admin.address,
        advertise,
    )
    return Daemon(node, callers, admin)
}

private fun callerLimits(settings: RouterSettings) = HttpServerLimits(connectionLimit = settings.capacityRequests * CONNECTIONS_PER_REQUEST)

/** Connections are mostly idle, so more of them are accepted than requests are carried at once. */
private const val CONNECTIONS_PER_REQUEST = 10

/** Peers are served only after the daemon was built. */
private fun builtNode(built: CompletableDeferred<RouterNode>): RouterNode {
    check(built.isCompleted) { "expected the router to be built before its peers are served" }
    return built.getCompleted()
}
