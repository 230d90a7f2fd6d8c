package yuccaflow.entry

import kotlinx.coroutines.CompletableJob
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
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
import yuccaflow.entry.keys.ElectionDependencies
import yuccaflow.entry.keys.KeyGrantClient
import yuccaflow.entry.keys.KeyLoadTracker
import yuccaflow.entry.keys.KeyOwnershipSettings
import yuccaflow.entry.keys.KeyPlanner
import yuccaflow.entry.keys.PlannerAuthority
import yuccaflow.entry.keys.PlannerDependencies
import yuccaflow.entry.keys.PlannerElection
import yuccaflow.entry.keys.RouterMember
import yuccaflow.entry.peer.DirectStoreAccess
import yuccaflow.entry.peer.FailoverStoreAccess
import yuccaflow.entry.peer.KeySampleReporter
import yuccaflow.entry.peer.PlannerBackedStore
import yuccaflow.entry.peer.PlannerEndpoint
import yuccaflow.entry.peer.RelayClient
import yuccaflow.entry.peer.RelayPlannerProbe
import yuccaflow.entry.peer.RelaySameZoneRelease
import yuccaflow.entry.peer.relayHandler
import yuccaflow.entry.routing.HeaderNames
import yuccaflow.entry.routing.KeyOwnerChooser
import yuccaflow.entry.routing.RequestRouter
import yuccaflow.entry.routing.RetryBudget
import yuccaflow.entry.routing.RetryBudgetSettings
import yuccaflow.entry.routing.RoutingDependencies
import yuccaflow.entry.routing.TargetClient
import yuccaflow.entry.store.FollowerSettings
import yuccaflow.entry.store.KeyedAppendResult
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.RouterGroup
import yuccaflow.entry.store.StreamFollower
import yuccaflow.entry.store.StreamListener
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events
import yuccaflow.entry.telemetry.RouterMeters
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
 * Settings of a gateway.
 *
 * @property node names the host; it stays the same over restarts.
 * @property relayListen where this router passes other routers' calls on to the store.
 * @property seedRelays such addresses of some other routers, for the time before their records have been read.
 * @property stopGraceMs time between the request to stop and the end of the process.
 */
data class GatewaySettings(
    val node: String,
    val zone: String,
    val callerListen: SocketAddress,
    val readyListen: SocketAddress,
    val relayListen: SocketAddress,
    val metricsListen: SocketAddress,
    val seedRelays: List<SocketAddress>,
    val readyPath: String,
    val headers: HeaderNames,
    val repeatBudget: RetryBudgetSettings,
    val coldBounds: ColdStartLimits,
    val stopGraceMs: Long,
)

/** What a gateway needs of the platform that it runs on. */
class PlatformServices(
    val store: KeyedStore,
    val group: RouterGroup,
    val keyOrders: KeyGrantClient,
    val decoder: RecordDecoder,
    val relayClient: HttpClient,
    val targetClient: HttpClient,
)

/**
 * A router that sends callers' requests straight to targets, which check instance and ownership themselves. All of its state comes from
 * the platform's store. It is confined to the event loop that [dispatcher] stands for.
 */
class Gateway(
    private val settings: GatewaySettings,
    private val platform: PlatformServices,
    private val timer: TimerService,
    private val dispatcher: CoroutineDispatcher,
    private val events: EventLog,
) {
    private val supervisor = SupervisorJob()
    private val scope = CoroutineScope(supervisor + dispatcher)
    private val keySettings = KeyOwnershipSettings()
    private val life = UUID.randomUUID().toString()
    private val directAccess = DirectStoreAccess(platform.store, platform.group, timer)
    private val relayClient = RelayClient(platform.relayClient)
    private val access = FailoverStoreAccess(directAccess, relayClient, ::relayAddresses, timer, events)
    private val operators = OperatorState(platform.decoder, timer, events)
    private val directory = TargetDirectory(platform.decoder, operators, timer, events) { targetsFollower.failedAtMs }
    private val records = ClusterState(timer, events)
    private val operatorsFollower = follower(KeyedStream.OPERATORS, operators) { patient(FollowerSettings()) }
    private val targetsFollower: StreamFollower =
        follower(KeyedStream.TARGETS, directory) { patient(FollowerSettings(batchDelayMs = TARGETS_GATHER_MS)) }
    private val recordsStore = PlannerBackedStore(access, { records.plannerRelay(exceptNode = settings.node) }, relayClient, timer)
    private val recordsFollower: StreamFollower =
        StreamFollower(recordsStore, KeyedStream.ROUTERS, timer, events, records, ::recordsSettings)
    private val authority = PlannerAuthority(settings.node, life, records, timer, System::currentTimeMillis, keySettings, events) {
        recordsFollower.confirmedAtMs
    }
    private val election =
        PlannerElection(settings.node, life, electionParts(), records, timer, keySettings, events)
    private val keyLoads = KeyLoadTracker(timer)
    private val meters = RouterMeters(settings.node, settings.zone)
    private val budgets = HashMap<String, RetryBudget>()
    private val planner = keyPlanner()
    private val startedAtMs = timer.nowMs()
    private var isStopping = false
    private var wasReady = false

    /**
     * Runs until [stop] is complete and the planned stop after it has ended. Must be called on another thread than the event loop's, which
     * cannot wait for the ports to be bound.
     *
     * @throws java.io.IOException when a port cannot be bound.
     */
    suspend fun run(stop: CompletableJob) {
        logStart()
        registerGauges()
        val callers = httpServer(settings.callerListen, dispatcher, ::callerLimits, requestRouter())
        val readiness = httpServer(settings.readyListen, dispatcher, { HttpServerLimits() }, HttpHandler { readinessAnswer(it.path) })
        val metrics = httpServer(settings.metricsListen, dispatcher, { HttpServerLimits() }, HttpHandler { metricsAnswer(it.path) })
        val relayCalls = relayHandler(directAccess, keyLoads, platform.keyOrders, PlannerEndpoint(authority, records, timer))
        val relays = httpServer(settings.relayListen, dispatcher, ::relayLimits, relayCalls)
        withContext(dispatcher) {
            startParts(stop)
            stop.join()
            stopInOrder(callers)
            listOf(readiness, relays, metrics).forEach { it.close(0) }
            supervisor.cancelAndJoin()
            events.log(Events.STOPPED)
            timer.sleep(LOG_FLUSH_MS)
        }
    }

    /** Notes that the settings have been read again. */
    fun reloaded() = events.log(Events.RELOADED) { put("config_version", operators.table?.version) }

    /** Runs the parts until the gateway stops. Completes [stop] when one of them fails too often. */
    private fun startParts(stop: CompletableJob) {
        val parts = listOf(
            SupervisedTask("operators") { operatorsFollower.run() },
            SupervisedTask("targets") { targetsFollower.run() },
            SupervisedTask("records") { recordsFollower.run() },
            SupervisedTask("member") {
                announceMember()
                awaitCancellation()
            },
            SupervisedTask("planner") { planner.run() },
            SupervisedTask("samples") { sampleReporter().run() },
        )
        scope.launch {
            val failed = Supervisor(timer).run(parts)
            events.log(Events.PART_FAILED) { put("part", failed) }
            stop.complete()
        }
    }

    private fun follower(stream: KeyedStream, listener: StreamListener, followerSettings: () -> FollowerSettings) =
        StreamFollower(access, stream, timer, events, listener, followerSettings)

    /** Shortens the waits while the store is slow, because records that are missed are seen only when a wait ends. */
    private fun patient(settings: FollowerSettings): FollowerSettings =
        if (directAccess.isSlow) settings.copy(waitMs = SLOW_STORE_WAIT_MS) else settings

    /** The planner's reads confirm its authority, so they end early. */
    private fun recordsSettings(): FollowerSettings {
        if (authority.isRecordedPlanner) return FollowerSettings(waitMs = keySettings.authorityReadWaitMs, batchDelayMs = PLANNER_GATHER_MS)
        // A record that is missed shows by a target that refuses a key, which ends the wait.
        val settings = patient(FollowerSettings(batchDelayMs = RECORDS_GATHER_MS))
        return if (timer.nowMs() - startedAtMs < START_MS) settings else settings.copy(catchUpWaitMs = settings.waitMs)
    }

    /** Adds this router to the members, by whose number shared allowances are divided. */
    private suspend fun announceMember() {
        while (records.endOffset == null) timer.sleep(MEMBER_RETRY_MS)
        val member = RouterMember(settings.node, settings.zone, settings.relayListen.toString())
        while (!records.hasMember(member)) {
            val result = access.append(KeyedStream.ROUTERS, listOf(ClusterState.memberChange(member)), null)
            if (result is KeyedAppendResult.Appended) return
            timer.sleep(MEMBER_RETRY_MS)
        }
    }

    private fun electionParts() =
        ElectionDependencies(access, access, RelayPlannerProbe(relayClient, records::relayOf), onClaimed = recordsStore::readStore)

    private fun keyPlanner(): KeyPlanner {
        val parts = PlannerDependencies(
            settings.zone,
            access,
            records,
            operators,
            directory,
            authority,
            election,
            platform.keyOrders,
            RelaySameZoneRelease(relayClient) { zone -> records.relaysIn(zone, exceptNode = settings.node) },
            keyLoads,
        )
        return KeyPlanner(parts, timer, keySettings, events)
    }

    private fun sampleReporter() =
        KeySampleReporter(settings.node, keyLoads, { records.plannerRelay(exceptNode = settings.node) }, relayClient, timer)

    private fun requestRouter(): RequestRouter {
        val cold = ColdStartLimiter(settings.node, settings.coldBounds, operators) { records.nodes }
        val chooser = TargetChooser(directory, settings.zone, timer, cold)
        val parts = RoutingDependencies(
            operators = operators,
            chooser = chooser,
            keyedChooser = KeyOwnerChooser(records, directory, operators, chooser, timer, recordsFollower::refresh),
            gateway = TargetClient(platform.targetClient, settings.headers),
            budgetOf = { service -> budgets.getOrPut(service) { RetryBudget(settings.repeatBudget) { records.memberCount } } },
            noteKey = keyLoads::recordRequest,
            meters = meters,
        )
        return RequestRouter(parts, settings.headers, timer, events)
    }

    private fun callerLimits(): HttpServerLimits {
        val base = HttpServerLimits(pipelineDepth = PIPELINE_DEPTH, requestIdHeader = settings.headers.requestId)
        val limits = operators.table?.callerLimits ?: return base
        return base.copy(
            headerLimitBytes = limits.headerBytes,
            requestLineLimitBytes = limits.headerBytes,
            bodyLimitBytes = limits.bodyBytes,
            requestTimeoutMs = limits.requestTimeoutMs,
            idleTimeoutMs = limits.idleTimeoutMs,
        )
    }

    /** Reads that wait for records keep their connections busy for long. */
    private fun relayLimits() = HttpServerLimits(bodyLimitBytes = RELAY_BODY_LIMIT_BYTES)

    private fun relayAddresses(): List<SocketAddress> =
        (records.relaysExcept(settings.node) + settings.seedRelays).distinct() - settings.relayListen

    private fun registerGauges() {
        meters.gauge("yuccaflow.config.version") { operators.table?.version ?: 0 }
        meters.gauge("yuccaflow.routers") { records.memberCount }
        meters.gauge("yuccaflow.planner") { if (authority.isRecordedPlanner) 1 else 0 }
        meters.gauge("yuccaflow.store.unreachable") { if (directAccess.isServed) 0 else 1 }
    }

    private fun metricsAnswer(path: String): HttpResponse {
        if (path != METRICS_PATH) return HttpResponse(NOT_FOUND)
        return HttpResponse(OK, headersOf("Content-Type" to "text/plain; version=0.0.4"), meters.scrape().toByteArray())
    }

    private fun readinessAnswer(path: String): HttpResponse {
        if (path != settings.readyPath) return HttpResponse(NOT_FOUND)
        return HttpResponse(if (isReady()) OK else UNAVAILABLE)
    }

    private fun isReady(): Boolean {
        val ready = !isStopping && operators.table != null && !directory.isEmpty() && records.endOffset != null
        if (ready && !wasReady) events.log(Events.READY) { put("config_version", operators.table?.version) }
        wasReady = ready
        return ready
    }

    private fun logStart() = events.log(Events.STARTED) {
        put("life", life)
        put("caller_listen", settings.callerListen.toString())
    }

    /** Leaves the balancer's rotation, answers what is under way, closes idle connections, and ends within the grace time. */
    private suspend fun stopInOrder(callers: HttpServer) {
        isStopping = true
        events.log(Events.STOPPING)
        callers.announceClose()
        scope.launch { planner.resign() }
        timer.sleep(settings.stopGraceMs * ROTATION_PART / PARTS)
        callers.close(settings.stopGraceMs * DRAIN_PART / PARTS)
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
        const val METRICS_PATH = "/metrics"
        const val PIPELINE_DEPTH = 16

        /** Time in which many routers may be starting, and appending, at once. */
        const val START_MS = 5_000L
        const val SLOW_STORE_WAIT_MS = 800L
        const val TARGETS_GATHER_MS = 200L
        const val RECORDS_GATHER_MS = 40L
        const val PLANNER_GATHER_MS = 1L
        const val MEMBER_RETRY_MS = 500L
        const val RELAY_BODY_LIMIT_BYTES = 2_097_152
        const val LOG_FLUSH_MS = 20L

        /** Parts of the grace time: until the balancer sends nothing new, and for what is under way then. */
        const val ROTATION_PART = 5
        const val DRAIN_PART = 5
        const val PARTS = 12
    }
}
