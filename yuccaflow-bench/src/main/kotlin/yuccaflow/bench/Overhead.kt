package yuccaflow.bench

import kotlinx.coroutines.delay
import yuccaflow.http.SocketAddress

private const val RATE = 500.0
private const val KEYS = 1_000

/**
 * Compares the latency of requests sent directly to the targets with that of requests through the routers, in turn and at the same rate.
 * The delays between zones are off, so that the difference is the time of the two hops alone.
 */
internal suspend fun measureOverhead(settings: ExperimentSettings, report: Report): Boolean {
    val service = settings.deployment.services.first { it.isKeyed }
    val deployment = settings.deployment.copy(services = listOf(service), unfencedEvery = 1)
    val options = ClusterOptions(settings.routersPerZone, usesOptimizingCompiler = true, seed = settings.seed, hasDelays = false)
    withCluster(deployment, options) { cluster ->
        val mix = deployment.mix(KEYS, zipf = 0.0)
        val plan = { entries: List<SocketAddress>, prefix: String ->
            LoadPlan(entries, mix = mix, rate = RATE, seed = settings.seed, prefix = prefix, usesOptimizingCompiler = true)
        }
        val targets = deployment.targets.map { cluster.addressOf(it.name) }
        val routers = cluster.routers.map { it.plan.caller }
        val direct =
            phase(
                cluster,
                LoadPlan(targets, mix = mix, rate = RATE, seed = settings.seed, prefix = "direct", usesOptimizingCompiler = true),
                settings,
            )
        val cpuBefore = cluster.routerCpuMs()
        val routed =
            phase(
                cluster,
                LoadPlan(routers, mix = mix, rate = RATE, seed = settings.seed, prefix = "routed", usesOptimizingCompiler = true),
                settings,
            )
        val cpuMs = cluster.routerCpuMs() - cpuBefore
        val requests = routed.requests
        report.case("direct", direct.total.values())
        report.case("routed", routed.total.values() + ("requests_per_cpu_second" to requests * MS_PER_SECOND / maxOf(1L, cpuMs)))
        val added = mapOf("p50_ms" to routed.total.p50Ms - direct.total.p50Ms, "p99_ms" to routed.total.p99Ms - direct.total.p99Ms)
        report.case("added by two hops", added)
        report.ratio("p50", routed.total.p50Ms, direct.total.p50Ms)
        report.ratio("p99", routed.total.p99Ms, direct.total.p99Ms)
        val seconds = mapOf("direct" to direct.seconds, "routed" to routed.seconds)
        report.chart("p99 of answers", "second", "ms", seconds.mapValues { line -> line.value.points { it.p99Ms } })
    }
    return report.finish()
}

private class Phase(
    val total: LoadResult,
    val seconds: List<LoadResult>,
    /** Number of requests in the whole phase. Includes the warm-up, as does the CPU time of the phase. */
    val requests: Long,
)

private suspend fun phase(cluster: Cluster, plan: LoadPlan, settings: ExperimentSettings): Phase {
    val load = LoadGeneratorProcess.start(cluster.group, cluster.ports, plan)
    val total = load.measureAfterWarmUp(WARM_UP_MS) { delay(settings.phaseMs) }.getValue("all")
    val phase = Phase(total, load.seconds.toList(), load.seconds.sumOf { it.sent })
    load.stop()
    return phase
}

private const val MS_PER_SECOND = 1_000.0

/** The columns for a load that the experiments have in common. */
internal fun LoadResult.values(): Map<String, Number?> = mapOf(
    "requests" to sent,
    "answered" to answered,
    "not_run" to notRun,
    "unknown" to unknown,
    "failed" to failed,
    "p50_ms" to p50Ms,
    "p99_ms" to p99Ms,
    "p999_ms" to p999Ms,
)

/** Chart points of [value] over the seconds of a load. */
internal fun List<LoadResult>.points(value: (LoadResult) -> Double): List<Pair<Double, Double>> =
    map { (it.second ?: 0).toDouble() to value(it) }
