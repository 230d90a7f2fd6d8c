package yuccaflow.bench

import kotlinx.coroutines.delay

private const val RATE = 600.0
private const val KEYS = 200
private const val STEADY_MS = 10_000L
private const val DRILL_MS = 20_000L

/** Measures a zone evacuation that operators announce with marks. The baseline kills the same zone unannounced and restarts it. */
internal suspend fun measureDrill(settings: ExperimentSettings, report: Report): Boolean {
    val planned = drill(settings, "marked") { cluster, isLeaving ->
        val operators = OperatorCli(cluster)
        val zone = cluster.deployment.drillZone
        if (isLeaving) operators.leaveZone(zone) else operators.returnZone(zone)
    }
    val unplanned = drill(settings, "killed") { cluster, isLeaving ->
        val routers = cluster.routers.filter { it.plan.zone == cluster.deployment.drillZone }
        val targets = cluster.targets.filter { it.zone == cluster.deployment.drillZone }
        if (isLeaving) {
            (routers.map { it.process } + targets.map { it.process }).forEach { it.signal("KILL") }
        } else {
            targets.forEach { cluster.restartTargets(it) }
            routers.forEach { it.process = cluster.startRouter(it.plan) }
        }
    }
    listOf(planned, unplanned).forEach { run ->
        val worst = run.seconds.minOf { it.answeredShare }
        val worstSeconds = mapOf("lowest_share" to worst, "worst_second_p99_ms" to run.seconds.maxOf { it.p99Ms })
        report.case(run.name, run.total.values() + worstSeconds)
    }
    report.case(
        "audit of marked",
        mapOf(
            "lost" to planned.audit.lost,
            "doubled" to planned.audit.doubled,
            "overlaps" to planned.audit.overlaps,
        ),
    )
    report.ratio("requests without an answer", planned.total.unanswered(), unplanned.total.unanswered())
    report.ratio("p99", planned.total.p99Ms, unplanned.total.p99Ms)
    report.verdict("marked drill: ${planned.audit}, expected no lost or duplicate requests", planned.audit.isClean)
    val runs = listOf(planned, unplanned).associateBy { it.name }
    report.chart("answered share", "second", "share", runs.mapValues { run -> run.value.seconds.points { it.answeredShare } })
    report.chart("p99 of answers", "second", "ms", runs.mapValues { run -> run.value.seconds.points { it.p99Ms } })
    return report.finish()
}

private class DrillRun(
    val name: String,
    val total: LoadResult,
    val seconds: List<LoadResult>,
    val audit: Audit,
)

private suspend fun drill(settings: ExperimentSettings, name: String, changeZone: suspend (Cluster, isLeaving: Boolean) -> Unit): DrillRun {
    val options = ClusterOptions(settings.routersPerZone, usesOptimizingCompiler = true, seed = settings.seed)
    return withCluster(settings.deployment, options) { cluster ->
        val mix = settings.deployment.mix(KEYS, zipf = 0.0)
        val load = LoadGeneratorProcess.start(cluster.group, cluster.ports, cluster.load(mix, RATE))
        delay(WARM_UP_MS)
        load.reset()
        val secondsBefore = load.seconds.size
        delay(STEADY_MS)
        changeZone(cluster, true)
        delay(DRILL_MS)
        changeZone(cluster, false)
        delay(DRILL_MS)
        val seconds = load.seconds.drop(secondsBefore)
        load.setRate(0.0)
        delay(SETTLE_MS)
        DrillRun(name, load.results().getValue("all"), seconds, cluster.audit(load))
    }
}

private fun LoadResult.unanswered(): Double = (sent - answered).toDouble()
