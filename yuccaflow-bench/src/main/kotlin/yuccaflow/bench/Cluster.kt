package yuccaflow.bench

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import yuccaflow.control.RangeReport
import yuccaflow.control.RouterId
import yuccaflow.http.SocketAddress

/** Choices for a run of a deployment. */
internal data class ClusterOptions(
    val routersPerZone: Int = 1,
    /** Lets the routers and targets use the optimizing compiler. */
    val measured: Boolean = false,
    /** Runs each target in a process of its own, so that it can be killed alone. */
    val targetProcesses: TargetProcesses = TargetProcesses.PER_ZONE,
    val startCold: Boolean = false,
    val seed: Long = 1,
    /** Delays between zones and from callers; off where only the routers' own time counts. */
    val delays: Boolean = true,
    /** Lines added to the settings of every router. */
    val routerSettings: String = "",
)

/** How targets are put into processes. */
internal enum class TargetProcesses { PER_ZONE, PER_TARGET }

/** One process of the targets stand-in. */
internal class TargetsHandle(
    val zone: String,
    val names: List<String>,
    val control: SocketAddress,
    val arguments: List<String>,
    var process: ManagedProcess,
)

/** A router of the run and its present process. */
internal class RouterHandle(
    val plan: RouterPlan,
    var process: ManagedProcess,
)

/** The running stand-ins and routers of one deployment. Everything ends with the [group]. */
internal class Cluster(
    val deployment: Deployment,
    val options: ClusterOptions,
    val group: ProcessGroup,
) {
    val ports = Ports.free()
    val log: SocketAddress = ports.take()
    val hosts: SocketAddress = ports.take()
    private val relay: SocketAddress = ports.take()
    private val routerPlans: List<RouterPlan> = deployment.zones.flatMap { zone ->
        (1..options.routersPerZone).map { RouterPlan("$zone-$it", zone, ports.take(), ports.take(), ports.take(), ports.take()) }
    }
    private val logRoutes: Map<String, SocketAddress> = deployment.zones.associateWith { ports.take() }
    private val peerRoutes: Map<Pair<String, SocketAddress>, SocketAddress> = deployment.zones
        .flatMap { zone -> routerPlans.filter { it.zone != zone }.map { zone to it.peer } }
        .associateWith { ports.take() }
    private val targetAddresses = HashMap<String, SocketAddress>()

    lateinit var routers: List<RouterHandle>
        private set
    lateinit var targets: List<TargetsHandle>
        private set

    /** Load through the relays of the callers, with the probes of a load balancer. */
    fun load(mix: List<MixFileEntry>, rate: Double, seed: Long = options.seed): LoadPlan =
        LoadPlan(entries, routerPlans.map { it.admin }, mix, rate, seed, optimize = options.measured)

    /** Addresses that callers use, one for each router. */
    private val entries: List<SocketAddress> get() = routerPlans.map { it.entry }

    fun addressOf(target: String): SocketAddress = targetAddresses.getValue(target)

    /** Starts the stand-ins, then the routers. */
    suspend fun start() {
        startStandins()
        routers = routerPlans.map { RouterHandle(it, startRouter(it)) }
        awaitRouters("/ready")
    }

    private suspend fun startStandins(): Unit = coroutineScope {
        val hostList = routerPlans.map { "${it.name}=${it.zone}" } + deployment.targets.map { "host-${it.name}=${it.zone}" }
        val started = mutableListOf(
            group.start("log", Program.STANDIN, listOf("log", "--listen", "$log"), standinJvm()),
            group.start("hosts", Program.STANDIN, listOf("hosts", "--listen", "$hosts", "--hosts", hostList.joinToString(","))),
            startRelay(),
        )
        val groups = when (options.targetProcesses) {
            TargetProcesses.PER_ZONE -> deployment.targets.groupBy { it.zone }.map { it.value }
            TargetProcesses.PER_TARGET -> deployment.targets.map { listOf(it) }
        }
        targets = groups.mapIndexed { index, plans -> startTargets(index, plans) }
        (started + targets.map { it.process }).map { async { it.awaitReady() } }.awaitAll()
    }

    private fun startTargets(index: Int, plans: List<TargetPlan>): TargetsHandle {
        val control = ports.take()
        val first = ports.take(plans.size)
        plans.forEachIndexed { place, plan -> targetAddresses[plan.name] = SocketAddress(first.host, first.port + place) }
        val spec = group.file("targets-$index.json", BenchJson.encodeToString(plans.map { it.fileEntry(options.startCold) }))
        val seed = options.seed * SEED_STEP + index
        val arguments = listOf("targets", "--control", "$control", "--first", "$first", "--spec", spec.path, "--seed", "$seed")
        val process = group.start("targets-$index", Program.STANDIN, arguments, targetJvm())
        return TargetsHandle(plans.first().zone, plans.map { it.name }, control, arguments, process)
    }

    private fun startRelay(): ManagedProcess {
        val zoneDelay = if (options.delays) deployment.zoneDelayUs else 0
        val callerDelay = if (options.delays) deployment.callerDelayUs else 0
        val zoneOf = routerPlans.associate { it.peer to it.zone }
        val routes = routerPlans.map { RouteFileEntry("callers>${it.name}", "${it.entry}", "${it.caller}", callerDelay) } +
            logRoutes.map { (zone, listen) -> RouteFileEntry("$zone>log", "$listen", "$log", zoneDelay) } +
            peerRoutes.map { (route, listen) ->
                RouteFileEntry("${route.first}>${zoneOf[route.second]}:${route.second.port}", "$listen", "${route.second}", zoneDelay)
            }
        val spec = group.file("relay.json", BenchJson.encodeToString(routes))
        return group.start("relay", Program.STANDIN, listOf("relay", "--control", "$relay", "--spec", spec.path), standinJvm())
    }

    /** Starts targets again after their process was lost. */
    suspend fun restartTargets(handle: TargetsHandle) {
        handle.process = group.start("targets-again", Program.STANDIN, handle.arguments, targetJvm())
        handle.process.awaitReady()
    }

    // A process for each target makes many small JVMs.
    private fun targetJvm() = when (options.targetProcesses) {
        TargetProcesses.PER_ZONE -> standinJvm()
        TargetProcesses.PER_TARGET -> JvmOptions(heapMb = SMALL_HEAP_MB, processors = 1)
    }

    private fun standinJvm() = JvmOptions(optimize = options.measured)

    /** Starts a router, or starts it again after its end. */
    fun startRouter(plan: RouterPlan): ManagedProcess {
        val translation = peerRoutes.filterKeys { it.first == plan.zone }.mapKeys { it.key.second }
        val seeds = routerPlans.filter { it != plan }.map { it.peer }
        val text = settingsText(
            deployment.name,
            plan,
            logRoutes.getValue(plan.zone),
            hosts,
            seeds,
            translation,
            options.routerSettings,
        )
        val settings = group.file("${plan.name}.ini", text)
        val jvm = JvmOptions(optimize = options.measured)
        return group.start("router-${plan.name}", Program.ROUTER, listOf("--settings", settings.path), jvm)
    }

    /** Waits until every running router answers [path] with 200. */
    suspend fun awaitRouters(path: String) {
        awaitUntil("every router answers $path") {
            routers.filter { it.process.isAlive }.all { Web.getOrNull(it.plan.admin, path) != null }
        }
    }

    /** Publishes the first note and waits until every range has an owner and every target a primary. */
    suspend fun publishFirstNote() {
        val note = deployment.releaseNote("${deployment.name}-first") { addressOf(it).toString() }
        Operators(this).publish("${deployment.name}-first", note)
        val ranges = deployment.services.sumOf { it.ranges }
        awaitUntil("all $ranges ranges have owners and all targets primaries") {
            routers.all { router ->
                val primaries = router
                    .targets()
                    ?.targets
                    .orEmpty()
                    .count { it.primary != null }
                router
                    .owners()
                    ?.ranges
                    .orEmpty()
                    .size >= ranges &&
                    primaries == deployment.targets.size
            }
        }
    }

    /** Sets switches of targets; a null [names] means all. */
    suspend fun switchTargets(names: List<String>?, fields: String) {
        targets.filter { it.process.isAlive && (names == null || it.names.any { name -> name in names }) }.forEach { handle ->
            val list = names?.filter { it in handle.names } ?: handle.names
            Web.post(handle.control, "/switches", """{"targets":${BenchJson.encodeToString(list)},$fields}""")
        }
    }

    suspend fun switchLog(fields: String): Unit = Web.post(log, "/switches", "{$fields}")

    /** Cuts the zone off from the log service and the other zones, or connects it again. */
    suspend fun cutZone(zone: String, cut: Boolean) {
        val names = Web.json(relay, "/switches").let { it as JsonObject }.keys.filter { route ->
            !route.startsWith("callers>") && (route.startsWith("$zone>") || route.substringAfter('>').startsWith("$zone:"))
        }
        Web.post(relay, "/switches", """{"routes":${BenchJson.encodeToString(names)},"cut":$cut}""")
    }

    suspend fun runs(): List<RunSummary> =
        targets.filter { it.process.isAlive }.map { BenchJson.decodeFromString(Web.get(it.control, "/runs")) }

    /** Compares what callers were told with what the targets ran. */
    suspend fun audit(vararg loads: CallerLoad): Audit {
        val owned = targets.filter { it.process.isAlive }.map { target ->
            BenchJson.decodeFromString<Map<String, List<OwnedInterval>>>(Web.get(target.control, "/owners"))
        }
        return Audit.of(runs(), owned, loads.map { it.ids() })
    }

    /** Sum of a counter over all routers that answer. */
    suspend fun metric(name: String): Double = routers.filter { it.process.isAlive }.sumOf { router ->
        val text = Web.getOrNull(router.plan.admin, "/metrics").orEmpty()
        text.lineSequence().filter { it.startsWith(name) }.sumOf { it.substringAfterLast(' ').toDoubleOrNull() ?: 0.0 }
    }

    /** The ranges of all services as a live router reports them. */
    suspend fun owners(): List<RangeReport> = routers.firstNotNullOf { it.takeIf { it.process.isAlive }?.owners() }.ranges

    /** The primary router of each target, by id. */
    suspend fun primaries(): Map<String, RouterId?> =
        routers.firstNotNullOf { it.takeIf { it.process.isAlive }?.targets() }.targets.associate { it.target.value to it.primary }

    /** Offset that the next record of the control stream gets. */
    suspend fun controlEnd(): Long {
        val page = Web.json(log, "/streams/control?from=${Long.MAX_VALUE}&max=1&wait_ms=0") as JsonObject
        return page.getValue("end").jsonPrimitive.long
    }

    /** Processor time that the routers have used. */
    fun routerCpuMs(): Long = routers.sumOf { it.process.cpuMs }

    private companion object {
        const val SEED_STEP = 1_000
        const val SMALL_HEAP_MB = 48
    }
}
