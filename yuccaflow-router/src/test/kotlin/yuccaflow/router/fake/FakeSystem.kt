package yuccaflow.router.fake

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import yuccaflow.control.ConfigRecord
import yuccaflow.control.ControlRecord
import yuccaflow.control.MarkSubject
import yuccaflow.control.PlacementPolicy
import yuccaflow.control.ServiceName
import yuccaflow.control.TargetSpec
import yuccaflow.control.placementPolicy
import yuccaflow.external.WorkResult
import yuccaflow.http.SocketAddress
import yuccaflow.router.ownership.Ownership
import yuccaflow.router.ownership.OwnershipClients
import yuccaflow.router.ownership.ownership

/** A router with its ownership and a minimal request path. */
class FakeRouterNode(
    private val system: FakeSystem,
    val router: FakeRouter,
) {
    private val targets = FakeTargets(system.targets) { address -> system.isTargetCut(router, address) }
    val gateway: FakeGateway = FakeGateway(targets, router.world.timer) { ownership }
    val ownership: Ownership = ownership(
        settings = router.settings,
        membership = router.membership,
        clients = OwnershipClients(targets, targets, null, router.link),
        running = { gateway },
        policy = system.policy(),
        timer = router.world.timer,
        registry = router.registry,
    )

    fun start() {
        router.start { from, message -> ownership.handle(from, message) }
        router.scope.launch { ownership.run() }
    }
}

/**
 * Routers and targets in three zones with one divided service of [ranges] ranges over the digits and one undivided service, and callers
 * that ask for each key in turn.
 */
class FakeSystem(
    scheduler: TestCoroutineScheduler,
    routerCount: Int,
    private val targetCount: Int = 9,
    private val ranges: Int = 20,
    private val checksFences: Boolean = true,
    private val movesRanges: Boolean = true,
) {
    val world = FakeEnvironment(scheduler)
    private val outside = CoroutineScope(Job() + StandardTestDispatcher(scheduler))

    /** Whether a router reaches a target. */
    var isTargetCut: (FakeRouter, SocketAddress) -> Boolean = { _, _ -> false }
    val targets: Map<SocketAddress, FakeTarget> = (0 until 2 * targetCount).associate {
        val address = SocketAddress("127.0.0.1", FIRST_PORT + it)
        address to FakeTarget(address, checksFences, world.timer, outside)
    }
    val nodes = (0 until routerCount).map { FakeRouterNode(this, FakeRouter(world, it)) }
    val results = mutableListOf<CallerResult>()

    /** What one caller saw. [result] is null when no router gave a permit. */
    data class CallerResult(
        val atMs: Long,
        val key: String,
        val result: WorkResult?,
    )

    fun start() {
        world.log.publish(ConfigRecord.Note("n1", note()))
        nodes.forEach { it.start() }
    }

    fun stop() {
        nodes.forEach { it.router.scope.cancel() }
        outside.cancel()
    }

    fun policy(): PlacementPolicy {
        val policy = placementPolicy()
        return PlacementPolicy { input -> policy.decide(input).filter { movesRanges || it !is ControlRecord.MoveStarted } }
    }

    /** The target of the divided service with [index]. */
    fun target(index: Int): FakeTarget = targets.values.elementAt(index)

    fun mark(subject: MarkSubject, name: String, leaving: Boolean) {
        world.log.publish(ConfigRecord.Mark("mark-${world.timer.nowMs()}", subject, name, leaving))
    }

    /** Sends a request for each key every [PERIOD_MS], as a caller whose entry router knows the newest table. */
    fun startCallers() {
        outside.launch {
            while (true) {
                keys().forEach { key -> outside.launch { call(key) } }
                world.timer.sleep(PERIOD_MS)
            }
        }
    }

    fun keys(): List<String> = (0 until ranges).map { "%02d5".format(it) }

    /** The ranges that two targets hold an unexpired grant of at the same time; there must never be one. */
    fun overlappingGrants(): List<String> {
        val held = targets.values.flatMap { target -> target.grants.map { target.address to it } }
        return held
            .groupBy { (_, range) -> range.from }
            .values
            .filter { it.map { (address, _) -> address }.toSet().size > 1 }
            .map { holders -> "${holders.first().second.from} at ${holders.map { it.first.port }} at ${world.timer.nowMs()} ms" }
    }

    /** Keys for which work ran at two targets at once, or at an owner after a later one had begun. */
    fun conflictingRuns(): List<String> {
        val byKey = targets.values.flatMap { it.runs }.groupBy { it.requestId.substringBefore('-') }
        return byKey.flatMap { (key, runs) ->
            runs
                .sortedBy { it.startMs }
                .zipWithNext()
                .filter { (first, second) -> isDouble(first, second) }
                .map { "key $key: $it" }
        }
    }

    private fun isDouble(first: RecordedRun, second: RecordedRun): Boolean =
        second.epoch < first.epoch || (first.target != second.target && second.startMs < first.endMs)

    private suspend fun call(key: String) {
        val table = world.log.table()
        val atMs = world.timer.nowMs()
        val owner = table.rangeOf(SERVICE, key)?.owner
        val primary = owner?.let { table.primaries[it]?.router }
        val at = nodes.firstOrNull { it.router.id == primary }
        val spec = at
            ?.router
            ?.membership
            ?.state()
            ?.value
            ?.config
            ?.targets
            ?.get(owner)
        val result = if (at == null || spec == null) null else at.sendOnItsOwnThread(spec, key)
        results += CallerResult(atMs, key, result)
    }

    private suspend fun FakeRouterNode.sendOnItsOwnThread(spec: TargetSpec, key: String): WorkResult? {
        val answer = kotlinx.coroutines.CompletableDeferred<WorkResult?>()
        router.scope.launch { answer.complete(gateway.send(spec, key, RUN_LIMIT_MS)) }
        return kotlinx.coroutines.withTimeoutOrNull(RUN_LIMIT_MS) { answer.await() }
    }

    private fun note(): String = buildString {
        appendLine("[note]\nid = n1\nbase = 0")
        ZONES.forEach { appendLine("[zone $it]\naction = add\nregion = test") }
        appendLine("[service divided]\naction = add\npath = /divided\nkey = path:2\nidempotent = GET\nrun_limit_ms = $RUN_LIMIT_MS")
        appendLine("[service plain]\naction = add\npath = /plain\nkey = none\nidempotent = GET\nrun_limit_ms = $RUN_LIMIT_MS")
        for (i in 0 until ranges) {
            val to = if (i + 1 == ranges) "" else "%02d".format(i + 1)
            val from = if (i == 0) "" else "%02d".format(i)
            appendLine("[range r$i]\naction = add\nservice = divided\nfrom = $from\nto = $to")
        }
        targets.keys.forEachIndexed { i, address ->
            val service = if (i < targetCount) "divided" else "plain"
            val fences = if (checksFences) "yes" else "no"
            appendLine("[target t$i]\naction = add\nservice = $service\nzone = ${ZONES[i % ZONES.size]}\nhost = th-$i\naddress = $address")
            appendLine("slots = 5\nconnections = 50\nchecks_fences = $fences")
        }
    }

    companion object {
        val SERVICE = ServiceName("divided")
        val ZONES = listOf("zone-a", "zone-b", "zone-c")
        const val RUN_LIMIT_MS = 500L
        const val PERIOD_MS = 20L
        private const val FIRST_PORT = 9000
    }
}
