package yuccaflow.bench

import kotlinx.coroutines.delay

private const val RATE = 300.0
private const val KEYS = 100
private const val STEADY_MS = 10_000L
private const val DRILL_MS = 15_000L

/**
 * Takes the drill zone of [deployment] out and brings it back under load, with three routers in three zones as separate processes.
 * Returns true when nothing was lost or doubled.
 */
internal suspend fun runDemo(deployment: Deployment): Boolean = ProcessGroup().use { group ->
    val cluster = Cluster(deployment, ClusterOptions(), group)
    say("starting ${deployment.targets.size} targets, the log service and ${deployment.zones.size} routers; logs in ${group.directory}")
    cluster.start()
    say("publishing the release note with yuccactl")
    cluster.publishFirstNote()
    cluster.awaitRouters("/ready")
    val load = CallerLoad.start(group, cluster.ports, cluster.load(deployment.mix(KEYS, zipf = 0.0), RATE))
    say("warming up")
    delay(WARM_UP_MS)
    load.reset()
    val movesBefore = cluster.metric(MOVES_METRIC)
    load.onSecond { println(progressLine(it)) }
    val operators = Operators(cluster)
    delay(STEADY_MS)
    say("zone ${deployment.drillZone} leaves")
    operators.leaveZone(deployment.drillZone)
    delay(DRILL_MS)
    say("zone ${deployment.drillZone} returns")
    operators.returnZone(deployment.drillZone)
    delay(DRILL_MS)
    load.rate(0.0)
    delay(SETTLE_MS)
    report(cluster, load, movesBefore)
}

private const val MOVES_METRIC = "yuccaflow_moves_total"

private suspend fun report(cluster: Cluster, load: CallerLoad, movesBefore: Double): Boolean {
    val audit = cluster.audit(load)
    val moves = (cluster.metric(MOVES_METRIC) - movesBefore).toLong()
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
        "lost ${audit.lost}, doubled ${audit.doubled}, run though refused ${audit.falseRefusals}, " +
            "keys run by two targets at once ${audit.overlaps}, moves $moves",
    )
    println(if (audit.isClean) "OK: nothing was lost or doubled" else "FAILED: see the line above")
    return audit.isClean
}

private const val PROGRESS = "%3ds  sent %4d  answered %4d  not run %3d  unknown %3d  failed %3d  p50 %6.1f ms  p99 %7.1f ms"

internal fun progressLine(second: LoadResult): String = with(second) {
    PROGRESS.format(this.second, sent, answered, notRun, unknown, failed, p50Ms, p99Ms)
}

private fun say(text: String): Unit = println("-- $text")
