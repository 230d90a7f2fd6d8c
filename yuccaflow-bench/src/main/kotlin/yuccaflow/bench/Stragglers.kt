package yuccaflow.bench

import kotlinx.coroutines.delay

private const val KEYS = 1_000

/** Service times are long, so that a load of 60% is a request rate that one machine can sustain together with the stand-ins. */
private const val MEAN_MS = 40.0
private const val LOAD_SHARE = 0.6
private const val STRAGGLER_INTERVAL = 5
private const val STRAGGLER_FACTOR = 10.0
private const val LOAD_REPORT_AGE_MS = 5_000L
private const val P99_FACTOR_LIMIT = 1.5
private const val EXTRA_REQUESTS_LIMIT = 0.05
private const val MS_PER_SECOND = 1_000.0

/** Measures latency while one target in five runs at a tenth of its speed. The baseline sends each request once, to a random target. */
internal suspend fun measureStragglers(settings: ExperimentSettings, report: Report): Boolean {
    val deployment = settings.deployment.onlyLargestUnkeyedService(MEAN_MS)
    val options = ClusterOptions(settings.routersPerZone, usesOptimizingCompiler = true, seed = settings.seed, hasDelays = false)
    withCluster(deployment, options) { cluster ->
        val stragglers = deployment.targets.map { it.name }.filterIndexed { index, _ -> index % STRAGGLER_INTERVAL == 0 }
        val routers = cluster.routers.map { it.plan.caller }
        val targets = deployment.targets.map { cluster.addressOf(it.name) }
        val routedBaseline = runWithStragglers(cluster, settings, "routed, no stragglers", routers, emptyList())
        val routed = runWithStragglers(cluster, settings, "routed, stragglers", routers, stragglers)
        val directBaseline = runWithStragglers(cluster, settings, "random, no stragglers", targets, emptyList())
        val direct = runWithStragglers(cluster, settings, "random, stragglers", targets, stragglers)
        val runs = listOf(routedBaseline, routed, directBaseline, direct)
        runs.forEach { report.case(it.name, it.total.values() + ("extra_share" to it.extraShare)) }
        report.ratio("p99 with stragglers", routed.total.p99Ms, direct.total.p99Ms)
        report.ratio("p99.9 with stragglers", routed.total.p999Ms, direct.total.p999Ms)
        val factor = routed.total.p99Ms / routedBaseline.total.p99Ms
        report.verdict(
            "p99 %.2f times that without stragglers, objective %.1f".format(factor, P99_FACTOR_LIMIT),
            factor <= P99_FACTOR_LIMIT,
        )
        report.verdict(
            "extra requests %.4f of all, objective %.2f".format(routed.extraShare, EXTRA_REQUESTS_LIMIT),
            routed.extraShare <= EXTRA_REQUESTS_LIMIT,
        )
        report.chart("p99 of answers", "second", "ms", runs.associate { run -> run.name to run.seconds.points { it.p99Ms } })
    }
    return report.finish()
}

private class StragglerRun(
    val name: String,
    val total: LoadResult,
    val seconds: List<LoadResult>,
    /** Executions beyond one per request, as a share of the requests. */
    val extraShare: Double,
)

private suspend fun runWithStragglers(
    cluster: Cluster,
    settings: ExperimentSettings,
    name: String,
    entries: List<yuccaflow.http.SocketAddress>,
    stragglers: List<String>,
): StragglerRun {
    val deployment = cluster.deployment
    val rate = deployment.targets.sumOf { it.slots } * MS_PER_SECOND / MEAN_MS * LOAD_SHARE
    cluster.setTargetSwitches(null, "\"slow\":1.0,\"load_late_ms\":0")
    if (stragglers.isNotEmpty()) cluster.setTargetSwitches(stragglers, "\"slow\":$STRAGGLER_FACTOR,\"load_late_ms\":$LOAD_REPORT_AGE_MS")
    val prefix = name.filter { it.isLetter() }
    val plan = LoadPlan(entries, emptyList(), deployment.mix(KEYS, zipf = 0.0), rate, settings.seed, prefix, usesOptimizingCompiler = true)
    val load = LoadGeneratorProcess.start(cluster.group, cluster.ports, plan)
    delay(WARM_UP_MS)
    load.reset()
    val before = cluster.runs().sumOf { summary -> summary.targets.values.sumOf { it.runs } }
    delay(settings.phaseMs)
    val runs = cluster.runs().sumOf { summary -> summary.targets.values.sumOf { it.runs } } - before
    val total = load.results().getValue("all")
    load.stop()
    return StragglerRun(name, total, load.seconds.toList(), maxOf(0.0, (runs - total.sent).toDouble() / total.sent))
}

/** The deployment reduced to its largest service without keys and POST requests, with targets that check no fencing tokens. */
internal fun Deployment.onlyLargestUnkeyedService(meanMs: Double): Deployment {
    val service = services.filter { !it.isKeyed && it.postedShare == 0.0 }.maxBy { it.targets }
    return copy(services = listOf(service.copy(meanMs = meanMs)), unfencedEvery = 1)
}
