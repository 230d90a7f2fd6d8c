package yuccaflow.router

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import yuccaflow.base.SupervisedTask
import yuccaflow.base.TimerService
import yuccaflow.control.RouterId
import yuccaflow.control.placementPolicy
import yuccaflow.external.httpHostList
import yuccaflow.external.httpLogService
import yuccaflow.external.httpTargetHealth
import yuccaflow.external.httpTargetOrders
import yuccaflow.http.HttpClientSettings
import yuccaflow.http.HttpHandler
import yuccaflow.http.httpClient
import yuccaflow.router.admission.ForwardServer
import yuccaflow.router.admission.TargetGateway
import yuccaflow.router.admission.targetGateway
import yuccaflow.router.membership.Membership
import yuccaflow.router.membership.membership
import yuccaflow.router.ownership.Ownership
import yuccaflow.router.ownership.OwnershipLinks
import yuccaflow.router.ownership.ownership
import yuccaflow.router.peer.PeerMessage
import yuccaflow.router.peer.PeerTransport
import yuccaflow.router.routing.entryHandler
import yuccaflow.router.settings.RouterSettings
import yuccaflow.router.telemetry.adminHandler
import yuccaflow.router.telemetry.routerTracing
import yuccaflow.router.telemetry.spanStore

/** All parts of a router, wired together. Nothing runs before [parts] are run. */
internal class RouterNode(
    val settings: RouterSettings,
    private val peers: PeerTransport,
    val timer: TimerService,
    registry: PrometheusMeterRegistry,
) {
    private val platformClient = httpClient(HttpClientSettings(bodyLimitBytes = LOG_PAGE_LIMIT_BYTES))
    private val targetClient = httpClient(HttpClientSettings(connectTimeoutMs = TARGET_CONNECT_TIMEOUT_MS))
    private val orders = httpTargetOrders(targetClient, timer)
    private val spans = spanStore()
    private val tracing = routerTracing(settings.host, spans)

    /** Set when a planned stop begins. */
    @Volatile
    var isStopping: Boolean = false

    val membership: Membership =
        membership(settings, httpLogService(platformClient, settings.logService, LOG_TIMEOUT_MS), peers, timer, registry)

    val ownership: Ownership = ownership(
        settings = settings,
        membership = membership,
        links = OwnershipLinks(
            orders = orders,
            health = httpTargetHealth(targetClient, timer),
            hostList = settings.hostList?.let { httpHostList(platformClient, it) },
            peers = peers,
        ),
        running = { gateway },
        policy = placementPolicy(),
        timer = timer,
        registry = registry,
    )

    private val gateway: TargetGateway = targetGateway(membership, ownership, ownership, orders, timer, registry, tracing)
    private val forwards = ForwardServer(gateway)

    /** Handles the requests of callers. */
    val entry: HttpHandler =
        entryHandler(settings, membership, { membership.routerId }, gateway, peers, timer, registry, tracing)

    /** Handles the requests of operators. */
    val admin: HttpHandler = adminHandler(RouterAdminSource(this, registry), spans)

    /** The parts that run side by side. */
    fun parts(): List<SupervisedTask> = listOf(
        SupervisedTask("peers") { peers.run() },
        SupervisedTask("membership") { membership.run() },
        SupervisedTask("ownership") { ownership.run() },
    )

    /** Whether [router] is in the control table. */
    fun isKnown(router: RouterId): Boolean = router in membership
        .state()
        .value.table.routers

    /** Answers a peer's message; null when no part understands it. */
    suspend fun handle(from: RouterId, message: PeerMessage): PeerMessage? =
        membership.handle(from, message) ?: forwards.handle(from, message) ?: ownership.handle(from, message)

    /** Closes what holds connections. */
    suspend fun close() {
        platformClient.close()
        targetClient.close()
    }

    private companion object {
        /** A page of the log may hold a checkpoint, which takes 87 bytes for each range and a third more in base64. */
        const val LOG_PAGE_LIMIT_BYTES = 64 * 1_048_576

        /** A suspected router whose log is silent has to try, give up and cancel through a peer before the wait of 1,260 ms ends. */
        const val LOG_TIMEOUT_MS = 800L

        /** Short enough to try again within a request's run limit. */
        const val TARGET_CONNECT_TIMEOUT_MS = 200L
    }
}
