package yuccaflow.bench

import kotlinx.coroutines.delay
import yuccaflow.http.SocketAddress

private const val KEYS = 1_000
private const val MEAN_MS = 40.0
private const val LOAD_SHARE = 0.5
private const val COLD_TARGET_INTERVAL = 3
private const val OBSERVE_MS = 30_000L
private const val MS_PER_SECOND = 1_000.0
private const val FULL_USE_SHARE = 0.99

/** Measures load shedding while one target in three restarts cold under load. The baseline sends each request to a random target. */
internal suspend fun measureColdStart(settings: ExperimentSettings, report: Report): Boolean {
    val deployment = settings.deployment.onlyLargestUnkeyedService(MEAN_MS)
    val options = ClusterOptions(settings.routersPerZone, usesOptimizingCompiler = true, seed = settings.seed, hasDelays = false)
    withCluster(deployment, options) { cluster ->
        val routed = runColdStart(cluster, settings, "routed", cluster.routers.map { it.plan.caller })
        val direct = runColdStart(cluster, settings, "random", deployment.targets.map { cluster.addressOf(it.name) })
        listOf(routed, direct).forEach {
            report.case(it.name, mapOf("sheds" to it.sheds, "seconds_to_full_use" to it.secondsToFullUse) + it.total.values())
        }
        report.ratio("sheds of cold targets", routed.sheds.toDouble(), direct.sheds.toDouble())
        val runs = listOf(routed, direct).associateBy { it.name }
        report.chart("answered share", "second", "share", runs.mapValues { run -> run.value.seconds.points { it.answeredShare } })
    }
    return report.finish()
}

private class ColdStartRun(
    val name: String,
    val total: LoadResult,
    val seconds: List<LoadResult>,
    /** Number of requests that the cold targets shed. */
    val sheds: Long,
    /** Number of seconds after which the answered share stayed at [FULL_USE_SHARE] or above. */
    val secondsToFullUse: Int,
)

private suspend fun runColdStart(cluster: Cluster, settings: ExperimentSettings, name: String, entries: List<SocketAddress>): ColdStartRun {
    val deployment = cluster.deployment
    val rate = deployment.targets.sumOf { it.slots } * MS_PER_SECOND / MEAN_MS * LOAD_SHARE
    val cold = deployment.targets.map { it.name }.filterIndexed { index, _ -> index % COLD_TARGET_INTERVAL == 0 }
    val plan = LoadPlan(entries, emptyList(), deployment.mix(KEYS, zipf = 0.0), rate, settings.seed, name, usesOptimizingCompiler = true)
    val load = LoadGeneratorProcess.start(cluster.group, cluster.ports, plan)
    delay(WARM_UP_MS)
    load.reset()
    val shedBefore = cluster.shedCount(cold)
    val secondsBefore = load.seconds.size
    cluster.setTargetSwitches(cold, "\"restart\":true")
    delay(OBSERVE_MS)
    val seconds = load.seconds.drop(secondsBefore)
    val total = load.results().getValue("all")
    load.stop()
    val secondsToFullUse = seconds.indexOfLast { it.answeredShare < FULL_USE_SHARE } + 1
    return ColdStartRun(name, total, seconds, cluster.shedCount(cold) - shedBefore, secondsToFullUse)
}

private suspend fun Cluster.shedCount(names: List<String>): Long =
    runs().sumOf { summary ->
        summary.targets
            .filterKeys { it in names }
            .values
            .sumOf { it.shed }
    }
