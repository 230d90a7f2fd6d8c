package yuccaflow.bench

import kotlinx.coroutines.delay
import kotlin.math.pow

private const val RATE = 600.0
private const val KEYS = 1_000
private const val ZIPF = 1.0
private const val BALANCE_MS = 60_000L
private const val BOUND = 1.25

/** Measures the ratio of maximum to mean load of the targets of a keyed service. The baseline assigns ranges statically, round-robin. */
internal suspend fun measureImbalance(settings: ExperimentSettings, report: Report): Boolean {
    val service = settings.deployment.services.first { it.isKeyed }
    val deployment = settings.deployment.copy(services = listOf(service))
    listOf("uniform" to 0.0, "zipf" to ZIPF).forEach { (name, zipf) ->
        val options = ClusterOptions(settings.routersPerZone, usesOptimizingCompiler = true, seed = settings.seed, hasDelays = false)
        withCluster(deployment, options) { cluster ->
            val mix = deployment.mix(KEYS, zipf)
            val plan =
                LoadPlan(
                    cluster.routers.map { it.plan.caller },
                    mix = mix,
                    rate = RATE,
                    seed = settings.seed,
                    usesOptimizingCompiler = true,
                )
            val load = LoadGeneratorProcess.start(cluster.group, cluster.ports, plan)
            delay(WARM_UP_MS)
            val first = imbalance(cluster, settings)
            delay(BALANCE_MS)
            val last = imbalance(cluster, settings)
            val static = staticImbalance(service, zipf)
            val hottest = hottestShare(zipf) * service.targets
            report.case(
                name,
                mapOf(
                    "at_start" to first,
                    "after_60_s" to last,
                    "static_ranges" to static,
                    "hottest_key" to hottest,
                    "moves" to cluster.metricSum("yuccaflow_moves_total").toLong(),
                ),
            )
            report.ratio("imbalance with $name keys", last, static)
            // A range with a single key cannot be split, so a key whose load alone exceeds the bound replaces it.
            val bound = maxOf(BOUND, hottest)
            report.verdict("$name keys: maximum to mean load %.2f, bound %.2f".format(last, bound), last <= bound)
            load.stop()
        }
    }
    return report.finish()
}

private suspend fun imbalance(cluster: Cluster, settings: ExperimentSettings): Double {
    val before = cluster.runsByTarget()
    delay(settings.phaseMs)
    val runs = cluster.runsByTarget()
    val loads = cluster.deployment.targets.map { (runs[it.name] ?: 0) - (before[it.name] ?: 0) }
    return loads.max() / loads.average()
}

private suspend fun Cluster.runsByTarget(): Map<String, Long> =
    runs().flatMap { it.targets.entries }.associate { it.key to it.value.runs }

private fun hottestShare(zipf: Double): Double = keyShares(zipf).max()

/** Share of requests of each key, in key order, by the distribution of the load generator. */
private fun keyShares(zipf: Double): List<Double> {
    val weights = (1..KEYS).map { rank -> rank.toDouble().pow(-zipf) }
    val shares = DoubleArray(KEYS)
    weights.forEachIndexed { rank, weight -> shares[(rank * RANK_STRIDE % KEYS).toInt()] = weight / weights.sum() }
    return shares.toList()
}

/** Stride with which the load generator spreads hot keys. */
private const val RANK_STRIDE = 7_919L

private fun staticImbalance(service: ServicePlan, zipf: Double): Double {
    val loads = DoubleArray(service.targets)
    keyShares(zipf).forEachIndexed { key, share -> loads[key * service.ranges / KEYS % service.targets] += share }
    return loads.max() / loads.average()
}
