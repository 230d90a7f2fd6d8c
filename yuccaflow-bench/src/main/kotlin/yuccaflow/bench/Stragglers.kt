package yuccaflow.bench

import kotlinx.coroutines.delay

private const val KEYS = 1_000

/** Long service times let a load of 60% fit on the machine that also carries the stand-ins. */
private const val MEAN_MS = 40.0
private const val LOAD_SHARE = 0.6
private const val ONE_STRAGGLER_IN = 5
private const val STRAGGLER_FACTOR = 10.0
private const val LOAD_REPORT_LATE_MS = 5_000L
private const val P99_FACTOR_LIMIT = 1.5
private const val EXTRA_REQUESTS_LIMIT = 0.05
private const val MS_PER_SECOND = 1_000.0

/** One target in five runs at a tenth of its speed; the baseline picks a target at random and sends the request once. */
internal suspend fun measureStragglers(settings: ExperimentSettings, report: Report): Boolean {
    val deployment = settings.deployment.onlyUndivided(MEAN_MS)
    val options = ClusterOptions(settings.routersPerZone, measured = true, seed = settings.seed, delays = false)
    withCluster(deployment, options) { cluster ->
        val stragglers = deployment.targets.map { it.name }.filterIndexed { index, _ -> index % ONE_STRAGGLER_IN == 0 }
        val routers = cluster.routers.map { it.plan.caller }
        val targets = deployment.targets.map { cluster.addressOf(it.name) }
        val calm = straggle(cluster, settings, "routed, no stragglers", routers, emptyList())
        val routed = straggle(cluster, settings, "routed, stragglers", routers, stragglers)
        val calmDirect = straggle(cluster, settings, "random, no stragglers", targets, emptyList())
        val direct = straggle(cluster, settings, "random, stragglers", targets, stragglers)
        val runs = listOf(calm, routed, calmDirect, direct)
        runs.forEach { report.case(it.name, it.total.values() + ("extra_share" to it.extraShare)) }
        report.ratio("p99 with stragglers", routed.total.p99Ms, direct.total.p99Ms)
        report.ratio("p99.9 with stragglers", routed.total.p999Ms, direct.total.p999Ms)
        val factor = routed.total.p99Ms / calm.total.p99Ms
        report.verdict("p99 %.2f times that without stragglers, aim %.1f".format(factor, P99_FACTOR_LIMIT), factor <= P99_FACTOR_LIMIT)
        report.verdict(
            "extra requests %.4f of all, aim %.2f".format(routed.extraShare, EXTRA_REQUESTS_LIMIT),
            routed.extraShare <= EXTRA_REQUESTS_LIMIT,
        )
        report.chart("p99 of answers", "second", "ms", runs.associate { run -> run.name to run.seconds.points { it.p99Ms } })
    }
    return report.finish()
}

private class StraggleRun(
    val name: String,
    val total: LoadResult,
    val seconds: List<LoadResult>,
    /** Runs at the targets beyond one for each request, as a share of the requests. */
    val extraShare: Double,
)

private suspend fun straggle(
    cluster: Cluster,
    settings: ExperimentSettings,
    name: String,
    entries: List<yuccaflow.http.SocketAddress>,
    stragglers: List<String>,
): StraggleRun {
    val deployment = cluster.deployment
    val rate = deployment.targets.sumOf { it.slots } * MS_PER_SECOND / MEAN_MS * LOAD_SHARE
    cluster.switchTargets(null, "\"slow\":1.0,\"load_late_ms\":0")
    if (stragglers.isNotEmpty()) cluster.switchTargets(stragglers, "\"slow\":$STRAGGLER_FACTOR,\"load_late_ms\":$LOAD_REPORT_LATE_MS")
    val prefix = name.filter { it.isLetter() }
    val plan = LoadPlan(entries, emptyList(), deployment.mix(KEYS, zipf = 0.0), rate, settings.seed, prefix, optimize = true)
    val load = CallerLoad.start(cluster.group, cluster.ports, plan)
    delay(WARM_UP_MS)
    load.reset()
    val before = cluster.runs().sumOf { summary -> summary.targets.values.sumOf { it.runs } }
    delay(settings.phaseMs)
    val runs = cluster.runs().sumOf { summary -> summary.targets.values.sumOf { it.runs } } - before
    val total = load.results().getValue("all")
    load.stop()
    return StraggleRun(name, total, load.seconds.toList(), maxOf(0.0, (runs - total.sent).toDouble() / total.sent))
}

/** The deployment with only its largest service that is not divided by key, idempotent requests, and targets that check no fences. */
internal fun Deployment.onlyUndivided(meanMs: Double): Deployment {
    val service = services.filter { !it.isDivided && it.postedShare == 0.0 }.maxBy { it.targets }
    return copy(services = listOf(service.copy(meanMs = meanMs)), unfencedEvery = 1)
}
