package yuccaflow.bench

import kotlinx.coroutines.delay
import yuccaflow.http.SocketAddress

private const val KEYS = 1_000
private const val MEAN_MS = 40.0
private const val LOAD_SHARE = 0.5
private const val ONE_COLD_IN = 3
private const val OBSERVE_MS = 30_000L
private const val MS_PER_SECOND = 1_000.0
private const val FULL_SHARE = 0.99

/** One target in three restarts cold under load; the baseline spreads requests at random over all targets. */
internal suspend fun measureColdStart(settings: ExperimentSettings, report: Report): Boolean {
    val deployment = settings.deployment.onlyUndivided(MEAN_MS)
    val options = ClusterOptions(settings.routersPerZone, measured = true, seed = settings.seed, delays = false)
    withCluster(deployment, options) { cluster ->
        val routed = coldStart(cluster, settings, "routed", cluster.routers.map { it.plan.caller })
        val direct = coldStart(cluster, settings, "random", deployment.targets.map { cluster.addressOf(it.name) })
        listOf(routed, direct).forEach {
            report.case(it.name, mapOf("sheds" to it.sheds, "seconds_to_full_use" to it.secondsToFull) + it.total.values())
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
    /** Requests that the cold targets shed. */
    val sheds: Long,
    /** Seconds until every later second had at least [FULL_SHARE] answered. */
    val secondsToFull: Int,
)

private suspend fun coldStart(cluster: Cluster, settings: ExperimentSettings, name: String, entries: List<SocketAddress>): ColdStartRun {
    val deployment = cluster.deployment
    val rate = deployment.targets.sumOf { it.slots } * MS_PER_SECOND / MEAN_MS * LOAD_SHARE
    val cold = deployment.targets.map { it.name }.filterIndexed { index, _ -> index % ONE_COLD_IN == 0 }
    val plan = LoadPlan(entries, emptyList(), deployment.mix(KEYS, zipf = 0.0), rate, settings.seed, name, optimize = true)
    val load = CallerLoad.start(cluster.group, cluster.ports, plan)
    delay(WARM_UP_MS)
    load.reset()
    val shedBefore = cluster.sheds(cold)
    val skipped = load.seconds.size
    cluster.switchTargets(cold, "\"restart\":true")
    delay(OBSERVE_MS)
    val seconds = load.seconds.drop(skipped)
    val total = load.results().getValue("all")
    load.stop()
    val toFull = seconds.indexOfLast { it.answeredShare < FULL_SHARE } + 1
    return ColdStartRun(name, total, seconds, cluster.sheds(cold) - shedBefore, toFull)
}

private suspend fun Cluster.sheds(names: List<String>): Long =
    runs().sumOf { summary ->
        summary.targets
            .filterKeys { it in names }
            .values
            .sumOf { it.shed }
    }
