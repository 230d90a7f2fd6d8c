package yuccaflow.bench

import kotlinx.coroutines.delay
import kotlin.math.pow

/** Requests per second. */
private const val RATE = 600.0
private const val KEYS = 1_000
private const val ZIPF_EXPONENT = 1.0

/** Time in which the routers move and split ranges between the two measurements. */
private const val BALANCE_MS = 60_000L

/** Objective for the ratio of maximum to mean load. */
private const val MAX_IMBALANCE = 1.25

/**
 * Measures the imbalance of a keyed service, which is the ratio of maximum to mean load of its targets, for uniform and for
 * Zipf-distributed keys. The baseline assigns ranges statically, round-robin.
 */
internal suspend fun measureImbalance(settings: ExperimentSettings, report: Report): Boolean {
    val service = settings.deployment.services.first { it.isKeyed }
    val deployment = settings.deployment.copy(services = listOf(service))
    listOf("uniform" to 0.0, "zipf" to ZIPF_EXPONENT).forEach { (name, zipf) ->
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
            // Relative to the mean load of a target.
            val hottestKeyLoad = hottestShare(zipf) * service.targets
            report.case(
                name,
                mapOf(
                    "at_start" to first,
                    "after_60_s" to last,
                    "static_ranges" to static,
                    "hottest_key" to hottestKeyLoad,
                    "moves" to cluster.metricSum("yuccaflow_moves_total").toLong(),
                ),
            )
            report.ratio("imbalance with $name keys", last, static)
            // A range with a single key cannot be split, so the imbalance cannot fall below the relative load of the hottest key.
            val bound = maxOf(MAX_IMBALANCE, hottestKeyLoad)
            report.verdict("$name keys: maximum to mean load %.2f, bound %.2f".format(last, bound), last <= bound)
            load.stop()
        }
    }
    return report.finish()
}

/** Returns the ratio of maximum to mean number of requests that the targets execute in one phase. */
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

/** Returns the expected share of requests of each key, in key order. Must match the distribution of the load generator. */
private fun keyShares(zipf: Double): List<Double> {
    val weights = (1..KEYS).map { rank -> rank.toDouble().pow(-zipf) }
    val shares = DoubleArray(KEYS)
    weights.forEachIndexed { rank, weight -> shares[(rank * RANK_STRIDE % KEYS).toInt()] = weight / weights.sum() }
    return shares.toList()
}

/** Stride with which the load generator spreads hot keys over the key space. Must equal that of the load generator. */
private const val RANK_STRIDE = 7_919L

/** Returns the expected imbalance of the baseline: ranges with equal numbers of keys, assigned to targets in turn and never moved. */
private fun staticImbalance(service: ServicePlan, zipf: Double): Double {
    val loads = DoubleArray(service.targets)
    keyShares(zipf).forEachIndexed { key, share -> loads[key * service.ranges / KEYS % service.targets] += share }
    return loads.max() / loads.average()
}
