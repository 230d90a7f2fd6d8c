package yuccaflow.router

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import yuccaflow.base.SupervisedTask
import yuccaflow.base.TimerService
import yuccaflow.control.RouterId
import yuccaflow.control.placementPolicy
import yuccaflow.external.httpHostListClient
import yuccaflow.external.httpLogService
import yuccaflow.external.httpTargetApiClient
import yuccaflow.external.httpTargetHealthClient
import yuccaflow.http.HttpClientSettings
import yuccaflow.http.HttpHandler
import yuccaflow.http.httpClient
import yuccaflow.router.admission.ForwardServer
import yuccaflow.router.admission.TargetGateway
import yuccaflow.router.admission.targetGateway
import yuccaflow.router.membership.Membership
import yuccaflow.router.membership.membership
import yuccaflow.router.ownership.Ownership
import yuccaflow.router.ownership.OwnershipClients
import yuccaflow.router.ownership.ownership
import yuccaflow.router.peer.PeerMessage
import yuccaflow.router.peer.PeerTransport
import yuccaflow.router.routing.entryHandler
import yuccaflow.router.settings.RouterSettings
import yuccaflow.router.telemetry.adminHandler
import yuccaflow.router.telemetry.routerTracing
import yuccaflow.router.telemetry.spanStore

/** Creates and connects the components of a router. They do nothing until [tasks] are run. */
internal class RouterNode(
    val settings: RouterSettings,
    private val peers: PeerTransport,
    val timer: TimerService,
    registry: PrometheusMeterRegistry,
) {
    private val platformClient = httpClient(HttpClientSettings(bodyLimitBytes = LOG_PAGE_LIMIT_BYTES))
    private val targetClient = httpClient(HttpClientSettings(connectTimeoutMs = TARGET_CONNECT_TIMEOUT_MS))
    private val targetApi = httpTargetApiClient(targetClient, timer)
    private val spans = spanStore()
    private val tracing = routerTracing(settings.host, spans)

    /** Set when a graceful shutdown begins. */
    @Volatile
    var isStopping: Boolean = false

    val membership: Membership =
        membership(settings, httpLogService(platformClient, settings.logService, LOG_TIMEOUT_MS), peers, timer, registry)

    val ownership: Ownership = ownership(
        settings = settings,
        membership = membership,
        clients = OwnershipClients(
            orders = targetApi,
            health = httpTargetHealthClient(targetClient, timer),
            hostList = settings.hostList?.let { httpHostListClient(platformClient, it) },
            peers = peers,
        ),
        running = { gateway },
        policy = placementPolicy(),
        timer = timer,
        registry = registry,
    )

    private val gateway: TargetGateway = targetGateway(membership, ownership, ownership, targetApi, timer, registry, tracing)
    private val forwardServer = ForwardServer(gateway)

    /** Handles the requests of callers. */
    val entry: HttpHandler =
        entryHandler(settings, membership, { membership.routerId }, gateway, peers, timer, registry, tracing)

    /** Handles the requests of operators. */
    val admin: HttpHandler = adminHandler(RouterAdminSource(this, registry), spans)

    /** Returns the tasks of the components, which must run concurrently. */
    fun tasks(): List<SupervisedTask> = listOf(
        SupervisedTask("peers") { peers.run() },
        SupervisedTask("membership") { membership.run() },
        SupervisedTask("ownership") { ownership.run() },
    )

    /** Returns whether [router] is in the control table. */
    fun isKnown(router: RouterId): Boolean = router in membership
        .state()
        .value.table.routers

    /** Returns the answer to a peer's message, or null when no component handles messages of its type. */
    suspend fun handle(from: RouterId, message: PeerMessage): PeerMessage? =
        membership.handle(from, message) ?: forwardServer.handle(from, message) ?: ownership.handle(from, message)

    /** Closes the HTTP clients. */
    suspend fun close() {
        platformClient.close()
        targetClient.close()
    }

    private companion object {
        /** A page of the log may contain a checkpoint, which takes 87 bytes per key range and a third more in base64. */
        const val LOG_PAGE_LIMIT_BYTES = 64 * 1_048_576

        /**
         * Timeout of a call to the log service. When the log service does not answer, a suspected router must time out and then cancel
         * the suspicion through a peer, all before the wait of 1,260 ms ends its lease.
         */
        const val LOG_TIMEOUT_MS = 800L

        /** Short enough for a retry within the run limit of a request. */
        const val TARGET_CONNECT_TIMEOUT_MS = 200L
    }
}
