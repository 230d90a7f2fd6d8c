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

/** Options for the cluster of a deployment. */
internal data class ClusterOptions(
    val routersPerZone: Int = 1,
    /** Whether routers and stand-ins use the optimizing compiler, as measurements need. Targets with their own process never do. */
    val usesOptimizingCompiler: Boolean = false,
    /** [TargetProcessLayout.PER_TARGET] lets a run kill a single target. */
    val targetLayout: TargetProcessLayout = TargetProcessLayout.PER_ZONE,
    /** Whether targets start cold: with one slot, and more as they answer requests. */
    val startsCold: Boolean = false,
    /** Seed of the random choices of the targets and the load. */
    val seed: Long = 1,
    /** Whether the relay delays traffic between zones and from callers; off where only the time in the routers is measured. */
    val hasDelays: Boolean = true,
    /** Lines appended to the settings file of every router. */
    val routerSettings: String = "",
)

/** Distribution of the targets over processes. */
internal enum class TargetProcessLayout { PER_ZONE, PER_TARGET }

/**
 * The simulated targets [names] that share a process. [control] serves their fault injection switches and records. A restart starts a new
 * [process] with the same [arguments].
 */
internal class TargetGroupHandle(
    val zone: String,
    val names: List<String>,
    val control: SocketAddress,
    val arguments: List<String>,
    var process: ManagedProcess,
)

/** A router and its current process, which changes when the router is restarted. */
internal class RouterHandle(
    val plan: RouterPlan,
    var process: ManagedProcess,
)

/** The stand-ins and routers of one deployment. Closing the [group] stops all of them. */
internal class Cluster(
    val deployment: Deployment,
    val options: ClusterOptions,
    val group: ProcessGroup,
) {
    val ports = PortBlock.findFree()

    /** Address of the log service. */
    val log: SocketAddress = ports.next()

    /** Address of the platform's host list. */
    val hosts: SocketAddress = ports.next()

    /** Address at which the relay serves its fault injection switches. */
    private val relayControl: SocketAddress = ports.next()
    private val routerPlans: List<RouterPlan> = deployment.zones.flatMap { zone ->
        (1..options.routersPerZone).map { RouterPlan("$zone-$it", zone, ports.next(), ports.next(), ports.next(), ports.next()) }
    }

    /** Relay addresses at which the routers of each zone reach the log service. */
    private val logRoutes: Map<String, SocketAddress> = deployment.zones.associateWith { ports.next() }

    /** Relay addresses at which the routers of a zone reach a router of another zone, by zone and peer address of that router. */
    private val peerRoutes: Map<Pair<String, SocketAddress>, SocketAddress> = deployment.zones
        .flatMap { zone -> routerPlans.filter { it.zone != zone }.map { zone to it.peer } }
        .associateWith { ports.next() }

    private val targetAddresses = HashMap<String, SocketAddress>()

    lateinit var routers: List<RouterHandle>
        private set
    lateinit var targets: List<TargetGroupHandle>
        private set

    /**
     * Returns a plan for a load of [rate] requests/s that goes through the callers' relay routes. The load generator probes the routers as
     * a load balancer does.
     */
    fun load(mix: List<RequestTemplateFileEntry>, rate: Double, seed: Long = options.seed): LoadPlan =
        LoadPlan(entries, routerPlans.map { it.admin }, mix, rate, seed, usesOptimizingCompiler = options.usesOptimizingCompiler)

    /** Relay addresses that callers use, one per router. */
    private val entries: List<SocketAddress> get() = routerPlans.map { it.entry }

    fun addressOf(target: String): SocketAddress = targetAddresses.getValue(target)

    /** Starts the stand-ins and then the routers, and waits until all are ready. */
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
        val groups = when (options.targetLayout) {
            TargetProcessLayout.PER_ZONE -> deployment.targets.groupBy { it.zone }.map { it.value }
            TargetProcessLayout.PER_TARGET -> deployment.targets.map { listOf(it) }
        }
        targets = groups.mapIndexed { index, plans -> startTargets(index, plans) }
        (started + targets.map { it.process }).map { async { it.awaitReady() } }.awaitAll()
    }

    private fun startTargets(index: Int, plans: List<TargetPlan>): TargetGroupHandle {
        val control = ports.next()
        val first = ports.next(plans.size)
        plans.forEachIndexed { portOffset, plan -> targetAddresses[plan.name] = SocketAddress(first.host, first.port + portOffset) }
        val spec = group.file("targets-$index.json", BenchJson.encodeToString(plans.map { it.fileEntry(options.startsCold) }))
        val seed = options.seed * SEED_STEP + index
        val arguments = listOf("targets", "--control", "$control", "--first", "$first", "--spec", spec.path, "--seed", "$seed")
        val process = group.start("targets-$index", Program.STANDIN, arguments, targetJvm())
        return TargetGroupHandle(plans.first().zone, plans.map { it.name }, control, arguments, process)
    }

    private fun startRelay(): ManagedProcess {
        val zoneDelay = if (options.hasDelays) deployment.zoneDelayUs else 0
        val callerDelay = if (options.hasDelays) deployment.callerDelayUs else 0
        val zoneOf = routerPlans.associate { it.peer to it.zone }
        val routes = routerPlans.map { RouteFileEntry("callers>${it.name}", "${it.entry}", "${it.caller}", callerDelay) } +
            logRoutes.map { (zone, listen) -> RouteFileEntry("$zone>log", "$listen", "$log", zoneDelay) } +
            peerRoutes.map { (route, listen) ->
                RouteFileEntry("${route.first}>${zoneOf[route.second]}:${route.second.port}", "$listen", "${route.second}", zoneDelay)
            }
        val spec = group.file("relay.json", BenchJson.encodeToString(routes))
        return group.start("relay", Program.STANDIN, listOf("relay", "--control", "$relayControl", "--spec", spec.path), standinJvm())
    }

    /** Starts a new process for the targets of [handle], whose process must have ended. */
    suspend fun restartTargets(handle: TargetGroupHandle) {
        handle.process = group.start("targets-again", Program.STANDIN, handle.arguments, targetJvm())
        handle.process.awaitReady()
    }

    /** JVM options of a target process. With one process per target there are many JVMs, so each gets a small heap and one processor. */
    private fun targetJvm() = when (options.targetLayout) {
        TargetProcessLayout.PER_ZONE -> standinJvm()
        TargetProcessLayout.PER_TARGET -> JvmOptions(heapMb = SMALL_HEAP_MB, processors = 1)
    }

    private fun standinJvm() = JvmOptions(usesOptimizingCompiler = options.usesOptimizingCompiler)

    /** Starts a process for the router [plan]; the previous one, if any, must have ended. */
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
        val jvm = JvmOptions(usesOptimizingCompiler = options.usesOptimizingCompiler)
        return group.start("router-${plan.name}", Program.ROUTER, listOf("--settings", settings.path), jvm)
    }

    /** Waits until every running router answers [path] with status 200. */
    suspend fun awaitRouters(path: String) {
        awaitUntil("every router answers $path") {
            routers.filter { it.process.isAlive }.all { ControlClient.getOrNull(it.plan.admin, path) != null }
        }
    }

    /**
     * Publishes the first release note, which declares the services and targets, and waits until every range has an owner and every target
     * a primary.
     */
    suspend fun publishFirstNote() {
        val note = deployment.releaseNote("${deployment.name}-first") { addressOf(it).toString() }
        OperatorCli(this).publish("${deployment.name}-first", note)
        val ranges = deployment.services.sumOf { it.ranges }
        awaitUntil("$ranges ranges have an owner and all targets a primary") {
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

    /**
     * Sets fault injection switches of the targets [names], or of all targets when it is null. [fields] is the content of a JSON object
     * without the braces. Targets whose process has ended are skipped.
     */
    suspend fun setTargetSwitches(names: List<String>?, fields: String) {
        targets.filter { it.process.isAlive && (names == null || it.names.any { name -> name in names }) }.forEach { handle ->
            val list = names?.filter { it in handle.names } ?: handle.names
            ControlClient.post(handle.control, "/switches", """{"targets":${BenchJson.encodeToString(list)},$fields}""")
        }
    }

    /** Sets fault injection switches of the log service; [fields] is the content of a JSON object without the braces. */
    suspend fun setLogSwitches(fields: String): Unit = ControlClient.post(log, "/switches", "{$fields}")

    /** Starts a partition between [zone] on one side, and the log service and the other zones on the other, or ends it. */
    suspend fun setPartitioned(zone: String, isPartitioned: Boolean) {
        val names = ControlClient.json(relayControl, "/switches").let { it as JsonObject }.keys.filter { route ->
            !route.startsWith("callers>") && (route.startsWith("$zone>") || route.substringAfter('>').startsWith("$zone:"))
        }
        ControlClient.post(relayControl, "/switches", """{"routes":${BenchJson.encodeToString(names)},"cut":$isPartitioned}""")
    }

    /** What the targets of each running process executed. Records of processes that have ended are lost. */
    suspend fun runs(): List<RunSummary> =
        targets.filter { it.process.isAlive }.map { BenchJson.decodeFromString(ControlClient.get(it.control, "/runs")) }

    /** Compares the outcomes that callers saw with the requests that the running targets executed. */
    suspend fun audit(vararg loads: LoadGeneratorProcess): Audit {
        val owned = targets.filter { it.process.isAlive }.map { target ->
            BenchJson.decodeFromString<Map<String, List<OwnedInterval>>>(ControlClient.get(target.control, "/owners"))
        }
        return Audit.of(runs(), owned, loads.map { it.ids() })
    }

    /** Sum of the samples whose name begins with [name], over all label values and all routers that respond. */
    suspend fun metricSum(name: String): Double = routers.filter { it.process.isAlive }.sumOf { router ->
        val text = ControlClient.getOrNull(router.plan.admin, "/metrics").orEmpty()
        text.lineSequence().filter { it.startsWith(name) }.sumOf { it.substringAfterLast(' ').toDoubleOrNull() ?: 0.0 }
    }

    /** The ranges of all services, as reported by the first running router that responds. */
    suspend fun owners(): List<RangeReport> = routers.firstNotNullOf { it.takeIf { it.process.isAlive }?.owners() }.ranges

    /** The primary router of each target, by target id. */
    suspend fun primaries(): Map<String, RouterId?> =
        routers.firstNotNullOf { it.takeIf { it.process.isAlive }?.targets() }.targets.associate { it.target.value to it.primary }

    /** Offset of the next record of the control stream. */
    suspend fun controlStreamEnd(): Long {
        val page = ControlClient.json(log, "/streams/control?from=${Long.MAX_VALUE}&max=1&wait_ms=0") as JsonObject
        return page.getValue("end").jsonPrimitive.long
    }

    /** CPU time that the current router processes have used. */
    fun routerCpuMs(): Long = routers.sumOf { it.process.cpuMs }

    private companion object {
        /** Keeps the seeds of target processes distinct between runs with consecutive seeds. */
        const val SEED_STEP = 1_000
        const val SMALL_HEAP_MB = 48
    }
}
