package yuccaflow.entry

import kotlinx.coroutines.CompletableJob
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import yuccaflow.base.SupervisedTask
import yuccaflow.base.Supervisor
import yuccaflow.base.TimerService
import yuccaflow.entry.balance.ColdStartLimiter
import yuccaflow.entry.balance.ColdStartLimits
import yuccaflow.entry.balance.TargetChooser
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.directory.RecordDecoder
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.HostCapacity
import yuccaflow.entry.keys.KeyGrantClient
import yuccaflow.entry.keys.KeyOwnershipSettings
import yuccaflow.entry.keys.MemberRegistration
import yuccaflow.entry.keys.RouterMember
import yuccaflow.entry.keys.balance.KeyLoadTracker
import yuccaflow.entry.keys.planner.ElectionDependencies
import yuccaflow.entry.keys.planner.KeyPlanner
import yuccaflow.entry.keys.planner.PlannerAuthority
import yuccaflow.entry.keys.planner.PlannerCandidacy
import yuccaflow.entry.keys.planner.PlannerDependencies
import yuccaflow.entry.keys.planner.PlannerElection
import yuccaflow.entry.peer.DirectStoreAccess
import yuccaflow.entry.peer.FailoverStoreAccess
import yuccaflow.entry.peer.PlannerBackedStore
import yuccaflow.entry.peer.PlannerEndpoint
import yuccaflow.entry.peer.RelayClient
import yuccaflow.entry.peer.RelayPlannerProbe
import yuccaflow.entry.peer.RelaySameZoneRelease
import yuccaflow.entry.peer.RouterReporter
import yuccaflow.entry.peer.StreamPositions
import yuccaflow.entry.peer.relayHandler
import yuccaflow.entry.routing.HeaderNames
import yuccaflow.entry.routing.KeyOwnerChooser
import yuccaflow.entry.routing.RequestRouter
import yuccaflow.entry.routing.RetryBudget
import yuccaflow.entry.routing.RetryBudgetSettings
import yuccaflow.entry.routing.RouteFinder
import yuccaflow.entry.routing.RoutingDependencies
import yuccaflow.entry.routing.TargetClient
import yuccaflow.entry.store.EraCheckedStore
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.RouterGroup
import yuccaflow.entry.store.StoreEra
import yuccaflow.entry.store.StreamFollower
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.EventLoopMonitor
import yuccaflow.entry.telemetry.Events
import yuccaflow.entry.telemetry.RouterMeters
import yuccaflow.http.EventLoopDispatchers
import yuccaflow.http.HttpClient
import yuccaflow.http.HttpHandler
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpServer
import yuccaflow.http.HttpServerLimits
import yuccaflow.http.SocketAddress
import yuccaflow.http.headersOf
import yuccaflow.http.httpServer
import java.util.UUID

/**
 * Settings of a [Gateway].
 *
 * @property node name of the host, which stays the same across restarts.
 * @property capacity what the host can do, from which the routers choose where the planner runs.
 * @property callerListen address for callers' requests.
 * @property relayListen address on which this router relays other routers' calls to the store.
 * @property seedRelays relay addresses of some other routers, used until their membership records have been read.
 * @property readyPath path of the readiness check on [readyListen].
 * @property stopGraceMs time from the request to stop until the end of the process.
 */
data class GatewaySettings(
    val node: String,
    val zone: String,
    val capacity: HostCapacity,
    val callerListen: SocketAddress,
    val readyListen: SocketAddress,
    val relayListen: SocketAddress,
    val metricsListen: SocketAddress,
    val seedRelays: List<SocketAddress>,
    val readyPath: String,
    val headers: HeaderNames,
    val retryBudget: RetryBudgetSettings,
    val coldStartLimits: ColdStartLimits,
    val stopGraceMs: Long,
)

/** The platform-specific services that a [Gateway] depends on. */
class PlatformServices(
    val store: KeyedStore,
    val group: RouterGroup,
    val keyGrantClient: KeyGrantClient,
    val decoder: RecordDecoder,
    val relayClient: HttpClient,
    val targetClient: HttpClient,
)

/**
 * A router that forwards callers' requests directly to targets, which verify the expected instance and the ownership of keys themselves.
 *
 * All of its shared state is read from the platform's store. Confined to the event loop of [dispatchers].
 */
class Gateway(
    private val settings: GatewaySettings,
    private val platform: PlatformServices,
    private val timer: TimerService,
    private val dispatchers: EventLoopDispatchers,
    private val events: EventLog,
) {
    private val supervisor = SupervisorJob()
    private val scope = CoroutineScope(supervisor + dispatchers.queued)
    private val keyOwnershipSettings = KeyOwnershipSettings()
    private val incarnationId = UUID.randomUUID().toString()
    private val directStoreAccess = DirectStoreAccess(platform.store, platform.group, timer, events)
    private val relayClient = RelayClient(platform.relayClient)
    private val failoverAccess = FailoverStoreAccess(directStoreAccess, relayClient, ::relayAddresses, timer, events)
    private val storeEra = StoreEra(events)
    private val storeAccess = EraCheckedStore(failoverAccess, storeEra)
    private val operators = OperatorState(platform.decoder, timer, events)
    private val callerLimits = CallerServerLimits(settings.headers.requestId, operators::table)
    private val directory: TargetDirectory =
        TargetDirectory(platform.decoder, operators, timer, events) { targetsFollower.failedAtMs }
    private val clusterState = ClusterState(timer, events)
    private val waits = FollowerWaits(timer, directStoreAccess, keyOwnershipSettings) { authority.isRecordedPlanner }
    private val operatorsFollower =
        StreamFollower(storeAccess, KeyedStream.OPERATORS, timer, events, operators, storeEra = storeEra) {
            waits.ofPromptStream(OPERATORS_BATCH_DELAY_MS)
        }
    private val targetsFollower: StreamFollower =
        StreamFollower(storeAccess, KeyedStream.TARGETS, timer, events, directory, storeEra = storeEra) {
            waits.ofPromptStream(TARGETS_BATCH_DELAY_MS)
        }
    private val positions = StreamPositions(listOf(operatorsFollower, targetsFollower), timer)
    private val clusterStateStore =
        PlannerBackedStore(storeAccess, { clusterState.plannerRelay(exceptNode = settings.node) }, relayClient, timer)
    private val clusterStateFollower: StreamFollower = StreamFollower(
        EraCheckedStore(clusterStateStore, storeEra),
        KeyedStream.ROUTERS,
        timer,
        events,
        clusterState,
        storeEra = storeEra,
        settings = waits::ofClusterState,
    )
    private val authority: PlannerAuthority =
        PlannerAuthority(settings.node, incarnationId, clusterState, timer, timer::timeOfDayMs, keyOwnershipSettings, events) {
            clusterStateFollower.confirmedAtMs
        }
    private val candidacy = PlannerCandidacy(settings.capacity, clusterState, timer, keyOwnershipSettings) {
        clusterStateStore.plannerSilentSinceMs
    }
    private val election =
        PlannerElection(settings.node, incarnationId, electionDependencies(), clusterState, timer, keyOwnershipSettings, events, storeEra)
    private val keyLoadTracker = KeyLoadTracker(timer)
    private val meters = RouterMeters(settings.node, settings.zone)
    private val eventLoopMonitor = EventLoopMonitor(timer, events)
    private val retryBudgets = HashMap<String, RetryBudget>()
    private val planner = keyPlanner()
    private var isStopping = false
    private var wasReady = false

    /** When the requests in progress are cut off, or null before the listener for callers is closed. */
    private var drainEndsAtMs: Long? = null

    /**
     * Runs until [stop] is complete and the graceful shutdown after it has ended. Must be called on a thread other than the event loop's,
     * which cannot wait for the ports to be bound.
     *
     * @throws java.io.IOException if a port cannot be bound.
     */
    suspend fun run(stop: CompletableJob) {
        logStart()
        registerGauges()
        val callers = httpServer(settings.callerListen, dispatchers.queued, callerLimits::current, requestRouter())
        val readiness =
            httpServer(settings.readyListen, dispatchers.queued, { HttpServerLimits() }, HttpHandler { readinessResponse(it.path) })
        val metrics =
            httpServer(settings.metricsListen, dispatchers.queued, { HttpServerLimits() }, HttpHandler { metricsResponse(it.path) })
        val relayCalls =
            relayHandler(
                directStoreAccess,
                keyLoadTracker,
                directory,
                positions,
                platform.keyGrantClient,
                PlannerEndpoint(authority, clusterState, timer),
            )
        val relays = httpServer(settings.relayListen, dispatchers.queued, ::relayLimits, relayCalls)
        withContext(dispatchers.queued) {
            startTasks(stop)
            stop.join()
            stopGracefully(callers)
            listOf(readiness, relays, metrics).forEach { it.close(0) }
            supervisor.cancelAndJoin()
            events.log(Events.STOPPED)
            timer.sleep(LOG_FLUSH_MS)
        }
    }

    /** Logs that the settings file was read again and is valid. Changed settings take effect only after a restart. */
    fun reloaded() = events.log(Events.RELOADED) { put("config_version", operators.table?.version) }

    /** Starts the background tasks, which run until the gateway stops. Completes [stop] if one of them fails too often. */
    private fun startTasks(stop: CompletableJob) {
        val tasks = listOf(
            streamTask("operators") { operatorsFollower.run() },
            streamTask("targets") { targetsFollower.run() },
            streamTask("records") { clusterStateFollower.run() },
            streamTask("store") { directStoreAccess.checkAvailability() },
            SupervisedTask("event-loop") { eventLoopMonitor.run() },
            SupervisedTask("member") { MemberRegistration(storeAccess, clusterState, storeEra, timer).run(ownMember()) },
            SupervisedTask("planner") { planner.run() },
            streamTask("reports") { routerReporter().run() },
        )
        val supervision = scope.launch {
            val failed = Supervisor(timer).run(tasks)
            events.log(Events.PART_FAILED) { put("part", failed) }
        }
        // Also after an Error, which the supervisor does not catch. A router without its background tasks must be started again.
        supervision.invokeOnCompletion { stop.complete() }
    }

    /**
     * Returns a task on which the age of the streams depends. An answer of the store passes through several coroutines, which must not each
     * wait behind the callers' requests.
     */
    private fun streamTask(name: String, run: suspend () -> Unit) =
        SupervisedTask(name) { withContext(dispatchers.immediate) { run() } }

    private fun ownMember(): RouterMember {
        val capacity = settings.capacity
        return RouterMember(settings.node, settings.zone, settings.relayListen.toString(), capacity.cores, capacity.linkMbps)
    }

    private fun electionDependencies() =
        ElectionDependencies(
            failoverAccess,
            storeAccess,
            RelayPlannerProbe(relayClient, clusterState::relayOf),
            mayStand = candidacy::stands,
            onClaimed = clusterStateStore::bypassPlanner,
        )

    private fun keyPlanner(): KeyPlanner {
        val dependencies = PlannerDependencies(
            storeAccess,
            clusterState,
            operators,
            directory,
            authority,
            election,
            platform.keyGrantClient,
            RelaySameZoneRelease(relayClient) { zone -> clusterState.relaysIn(zone, exceptNode = settings.node) },
            keyLoadTracker,
        )
        return KeyPlanner(dependencies, timer, keyOwnershipSettings, events)
    }

    private fun routerReporter() =
        RouterReporter(
            settings.node,
            keyLoadTracker,
            directory,
            positions,
            { clusterState.plannerRelay(exceptNode = settings.node) },
            ::relayAddresses,
            relayClient,
            timer,
            table = operators::table,
        )

    private fun requestRouter(): RequestRouter {
        val coldStartLimiter = ColdStartLimiter(settings.node, settings.coldStartLimits, operators) { clusterState.nodes }
        val chooser = TargetChooser(directory, settings.zone, timer, coldStartLimiter)
        val dependencies = RoutingDependencies(
            routeFinder = RouteFinder(operators, operatorsFollower, targetsFollower, timer, events),
            directory = directory,
            targetChooser = chooser,
            keyOwnerChooser = KeyOwnerChooser(clusterState, directory, operators, chooser, timer, clusterStateFollower::refresh),
            targetClient = TargetClient(platform.targetClient, settings.headers),
            retryBudgetOf = { service ->
                retryBudgets.getOrPut(service) { RetryBudget(settings.retryBudget) { clusterState.memberCount } }
            },
            recordKey = keyLoadTracker::recordRequest,
            meters = meters,
            readDelayMs = eventLoopMonitor::readDelayMs,
            drainEndsAtMs = { drainEndsAtMs },
        )
        return RequestRouter(dependencies, settings.headers, timer, events)
    }

    /** Long-polling reads keep their connections busy for a long time. */
    private fun relayLimits() = HttpServerLimits(bodyLimitBytes = RELAY_BODY_LIMIT_BYTES)

    private fun relayAddresses(): List<SocketAddress> =
        (clusterState.relaysExcept(settings.node) + settings.seedRelays).distinct() - settings.relayListen

    private fun registerGauges() {
        meters.gauge("yuccaflow.config.version") { operators.table?.version ?: 0 }
        meters.gauge("yuccaflow.config.rejected.entries") { operators.table?.rejected?.size ?: 0 }
        meters.gauge("yuccaflow.routers") { clusterState.memberCount }
        meters.gauge("yuccaflow.targets.ramping") { directory.rampingCount() }
        meters.gauge("yuccaflow.planner") { if (authority.isRecordedPlanner) 1 else 0 }
        meters.counter("yuccaflow.balance.moves") { planner.balanceMoveCount }
        meters.gauge("yuccaflow.event.loop.delay.seconds") { eventLoopMonitor.delayMs / MS_PER_S }
        meters.gauge("yuccaflow.store.unreachable") { if (directStoreAccess.isAvailable) 0 else 1 }
        meters.gauge("yuccaflow.store.era") { storeEra.current }
        listOf(operatorsFollower, targetsFollower, clusterStateFollower).forEach { follower ->
            meters.gauge("yuccaflow.stream.age.seconds", "stream", follower.stream.name.lowercase()) { ageOf(follower) }
        }
    }

    /** Returns for how many seconds [follower] has not known whether its stream has new records. */
    private fun ageOf(follower: StreamFollower): Double = follower.freshAtMs?.let { (timer.nowMs() - it) / MS_PER_S } ?: Double.NaN

    private fun metricsResponse(path: String): HttpResponse {
        if (path != METRICS_PATH) return HttpResponse(NOT_FOUND)
        return HttpResponse(OK, headersOf("Content-Type" to "text/plain; version=0.0.4"), meters.scrape().toByteArray())
    }

    private fun readinessResponse(path: String): HttpResponse {
        if (path != settings.readyPath) return HttpResponse(NOT_FOUND)
        return HttpResponse(if (isReady()) OK else UNAVAILABLE)
    }

    private fun isReady(): Boolean {
        val ready = !isStopping && operators.table != null && !directory.isEmpty() && clusterState.endOffset != null
        if (ready && !wasReady) events.log(Events.READY) { put("config_version", operators.table?.version) }
        wasReady = ready
        return ready
    }

    private fun logStart() = events.log(Events.STARTED) {
        put("life", incarnationId)
        put("caller_listen", settings.callerListen.toString())
        put("capacity_cores", settings.capacity.cores)
        put("link_mbps", settings.capacity.linkMbps)
    }

    /** Leaves the load balancer's rotation, completes the requests in flight and closes idle connections, all within the grace time. */
    private suspend fun stopGracefully(callers: HttpServer) {
        isStopping = true
        events.log(Events.STOPPING)
        callers.announceClose()
        scope.launch { planner.resign() }
        timer.sleep(settings.stopGraceMs * ROTATION_SHARE / SHARES)
        val drainMs = settings.stopGraceMs * DRAIN_SHARE / SHARES
        drainEndsAtMs = timer.nowMs() + drainMs
        callers.close(drainMs)
    }

    private companion object {
        const val MS_PER_S = 1_000.0
        const val OK = 200
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
        const val METRICS_PATH = "/metrics"

        // Delays after records have arrived, so that one read returns several. Operators publish rarely, and a late event loop would make
        // the delay longer.
        const val OPERATORS_BATCH_DELAY_MS = 0L
        const val TARGETS_BATCH_DELAY_MS = 200L

        const val RELAY_BODY_LIMIT_BYTES = 2_097_152

        /** Time for the event log to write its last lines. */
        const val LOG_FLUSH_MS = 20L

        // Shares of the grace time: until the load balancer sends no new requests, and for completing the requests in flight.
        const val ROTATION_SHARE = 5
        const val DRAIN_SHARE = 6
        const val SHARES = 12
    }
}
