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

/** A router with membership, ownership and a minimal request path. */
class FakeRouterNode(
    private val system: FakeSystem,
    val router: FakeRouter,
) {
    private val targets = FakeTargets(system.targets) { address -> system.isTargetDisconnected(router, address) }
    val gateway: FakeGateway = FakeGateway(targets, router.environment.timer) { ownership }
    val ownership: Ownership = ownership(
        settings = router.settings,
        membership = router.membership,
        clients = OwnershipClients(targets, targets, null, router.peerClient),
        running = { gateway },
        policy = system.policy(),
        timer = router.environment.timer,
        registry = router.registry,
    )

    fun start() {
        router.start { from, message -> ownership.handle(from, message) }
        router.scope.launch { ownership.run() }
    }
}

/**
 * Routers and targets in three zones, with one keyed service of [ranges] key ranges over the digits, one service that is not keyed, and
 * callers that request each key in turn.
 */
class FakeSystem(
    scheduler: TestCoroutineScheduler,
    routerCount: Int,
    private val targetCount: Int = 9,
    private val ranges: Int = 20,
    private val checksFences: Boolean = true,
    private val movesRanges: Boolean = true,
) {
    val environment = FakeEnvironment(scheduler)
    private val outsideScope = CoroutineScope(Job() + StandardTestDispatcher(scheduler))

    /** Returns whether a router cannot reach a target. */
    var isTargetDisconnected: (FakeRouter, SocketAddress) -> Boolean = { _, _ -> false }
    val targets: Map<SocketAddress, FakeTarget> = (0 until 2 * targetCount).associate {
        val address = SocketAddress("127.0.0.1", FIRST_PORT + it)
        address to FakeTarget(address, checksFences, environment.timer, outsideScope)
    }
    val nodes = (0 until routerCount).map { FakeRouterNode(this, FakeRouter(environment, it)) }
    val results = mutableListOf<CallerResult>()

    /** The result of one caller's request; [result] is null if no router had a permit to send it. */
    data class CallerResult(
        val atMs: Long,
        val key: String,
        val result: WorkResult?,
    )

    fun start() {
        environment.log.publish(ConfigRecord.Note("n1", releaseNote()))
        nodes.forEach { it.start() }
    }

    fun stop() {
        nodes.forEach { it.router.scope.cancel() }
        outsideScope.cancel()
    }

    fun policy(): PlacementPolicy {
        val policy = placementPolicy()
        return PlacementPolicy { input -> policy.decide(input).filter { movesRanges || it !is ControlRecord.MoveStarted } }
    }

    /** Returns the target with [index]. */
    fun target(index: Int): FakeTarget = targets.values.elementAt(index)

    fun mark(subject: MarkSubject, name: String, leaving: Boolean) {
        environment.log.publish(ConfigRecord.Mark("mark-${environment.timer.nowMs()}", subject, name, leaving))
    }

    /** Sends a request for each key every [PERIOD_MS], like callers whose entry router always has the latest control table. */
    fun startCallers() {
        outsideScope.launch {
            while (true) {
                keys().forEach { key -> outsideScope.launch { sendRequest(key) } }
                environment.timer.sleep(PERIOD_MS)
            }
        }
    }

    fun keys(): List<String> = (0 until ranges).map { "%02d5".format(it) }

    /** Returns the ranges for which more than one target holds an unexpired grant now. There must never be any. */
    fun overlappingGrants(): List<String> {
        val held = targets.values.flatMap { target -> target.grants.map { target.address to it } }
        return held
            .groupBy { (_, range) -> range.from }
            .values
            .filter { it.map { (address, _) -> address }.toSet().size > 1 }
            .map { holders -> "${holders.first().second.from} at ${holders.map { it.first.port }} at ${environment.timer.nowMs()} ms" }
    }

    /** Returns the keys whose requests ran at two targets at once, or at an owner after a later owner had started. */
    fun conflictingRuns(): List<String> {
        val byKey = targets.values.flatMap { it.runs }.groupBy { it.requestId.substringBefore('-') }
        return byKey.flatMap { (key, runs) ->
            runs
                .sortedBy { it.startMs }
                .zipWithNext()
                .filter { (first, second) -> areConflicting(first, second) }
                .map { "key $key: $it" }
        }
    }

    private fun areConflicting(first: RecordedRun, second: RecordedRun): Boolean =
        second.epoch < first.epoch || (first.target != second.target && second.startMs < first.endMs)

    private suspend fun sendRequest(key: String) {
        val table = environment.log.table()
        val atMs = environment.timer.nowMs()
        val owner = table.rangeOf(SERVICE, key)?.owner
        val primary = owner?.let { table.primaries[it]?.router }
        val node = nodes.firstOrNull { it.router.id == primary }
        val spec = node
            ?.router
            ?.membership
            ?.state()
            ?.value
            ?.config
            ?.targets
            ?.get(owner)
        val result = if (node == null || spec == null) null else node.sendInRouterScope(spec, key)
        results += CallerResult(atMs, key, result)
    }

    private suspend fun FakeRouterNode.sendInRouterScope(spec: TargetSpec, key: String): WorkResult? {
        val answer = kotlinx.coroutines.CompletableDeferred<WorkResult?>()
        router.scope.launch { answer.complete(gateway.send(spec, key, RUN_LIMIT_MS)) }
        return kotlinx.coroutines.withTimeoutOrNull(RUN_LIMIT_MS) { answer.await() }
    }

    private fun releaseNote(): String = buildString {
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
