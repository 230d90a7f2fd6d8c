package yuccaflow.bench

import kotlinx.coroutines.delay

private const val RATE = 300.0
private const val KEYS = 100
private const val STEADY_MS = 10_000L
private const val DRILL_MS = 15_000L

/**
 * Evacuates the drill zone of [deployment] under load and returns it to service, with three routers in three zones as separate processes.
 * Returns true when no request was lost or executed twice.
 */
internal suspend fun runDemo(deployment: Deployment): Boolean = ProcessGroup().use { group ->
    val cluster = Cluster(deployment, ClusterOptions(), group)
    printStep(
        "starting ${deployment.targets.size} targets, the log service and ${deployment.zones.size} routers; logs in ${group.directory}",
    )
    cluster.start()
    printStep("publishing the release note with yuccactl")
    cluster.publishFirstNote()
    cluster.awaitRouters("/ready")
    val load = LoadGeneratorProcess.start(group, cluster.ports, cluster.load(deployment.mix(KEYS, zipf = 0.0), RATE))
    printStep("warming up")
    delay(WARM_UP_MS)
    load.reset()
    val movesBefore = cluster.metricSum(MOVES_METRIC)
    load.addSecondListener { println(progressLine(it)) }
    val operators = OperatorCli(cluster)
    delay(STEADY_MS)
    printStep("zone ${deployment.drillZone} leaves")
    operators.leaveZone(deployment.drillZone)
    delay(DRILL_MS)
    printStep("zone ${deployment.drillZone} returns")
    operators.returnZone(deployment.drillZone)
    delay(DRILL_MS)
    load.setRate(0.0)
    delay(SETTLE_MS)
    report(cluster, load, movesBefore)
}

private const val MOVES_METRIC = "yuccaflow_moves_total"

private suspend fun report(cluster: Cluster, load: LoadGeneratorProcess, movesBefore: Double): Boolean {
    val audit = cluster.audit(load)
    val moves = (cluster.metricSum(MOVES_METRIC) - movesBefore).toLong()
    val outages = load.outages()
    val table = Table(listOf("service", "requests", "answered", "not run", "unknown", "failed", "p50 ms", "p99 ms", "unavailable ms"))
    load.results().toSortedMap().forEach { (service, result) ->
        val longest = outages.filterKeys { service == "all" || it.startsWith("$service/") }.values.maxOfOrNull { it.longestMs } ?: 0
        val counts = with(result) { listOf(sent, answered, notRun, unknown, failed, p50Ms, p99Ms) }
        table.row(listOf(service) + counts + longest)
    }
    println(table)
    val reasons = load.reasons()
    if (reasons.isNotEmpty()) println("refusals: $reasons")
    println(
        "lost ${audit.lost}, executed twice ${audit.doubled}, executed although refused ${audit.falseRefusals}, " +
            "overlapping owners of a key ${audit.overlaps}, moves $moves",
    )
    println(if (audit.isClean) "OK: no request was lost or executed twice" else "FAILED: see the line above")
    return audit.isClean
}

private const val PROGRESS = "%3ds  sent %4d  answered %4d  not run %3d  unknown %3d  failed %3d  p50 %6.1f ms  p99 %7.1f ms"

internal fun progressLine(second: LoadResult): String = with(second) {
    PROGRESS.format(this.second, sent, answered, notRun, unknown, failed, p50Ms, p99Ms)
}

private fun printStep(text: String): Unit = println("-- $text")
