package yuccaflow.bench

/** Parameters of an experiment. */
internal data class ExperimentSettings(
    val seed: Long,
    val deployment: Deployment,
    val routersPerZone: Int,
    /** Number of repetitions of each failure, in experiments that repeat them. */
    val repeats: Int,
    /** Duration of each load phase. */
    val phaseMs: Long,
)

/** An experiment. [run] returns true when every objective was met. */
internal fun interface Experiment {
    suspend fun run(settings: ExperimentSettings, report: Report): Boolean
}

/** The experiments, by the name that `bin/bench` accepts. */
internal val Experiments: Map<String, Experiment> = mapOf(
    "overhead" to Experiment(::measureOverhead),
    "unavailable" to Experiment(::measureUnavailable),
    "drill" to Experiment(::measureDrill),
    "stragglers" to Experiment(::measureStragglers),
    "coldstart" to Experiment(::measureColdStart),
    "imbalance" to Experiment(::measureImbalance),
    "churn" to Experiment(::measureChurn),
    "slopes" to Experiment(::measureSlopes),
    "table" to Experiment { _, report -> measureTableCost(report) },
)

/** Starts a cluster, publishes its first release note, and runs [block] once the note is in force and the routers are ready. */
internal suspend fun <T> withCluster(deployment: Deployment, options: ClusterOptions, block: suspend (Cluster) -> T): T =
    ProcessGroup().use { group ->
        val cluster = Cluster(deployment, options, group)
        cluster.start()
        cluster.publishFirstNote()
        cluster.awaitRouters("/ready")
        block(cluster)
    }

/** Waits for [warmUpMs], then runs [block] and returns the totals of the load during the block. */
internal suspend fun LoadGeneratorProcess.measureAfterWarmUp(warmUpMs: Long, block: suspend () -> Unit): Map<String, LoadResult> {
    kotlinx.coroutines.delay(warmUpMs)
    reset()
    block()
    return results()
}

/** Duration of the load before a measurement, in which the JIT compilers of all JVMs warm up. */
internal const val WARM_UP_MS = 8_000L

/** Time after the end of the load in which the last responses arrive. */
internal const val SETTLE_MS = 4_000L

internal val LoadResult.answeredShare: Double get() = if (sent == 0L) 1.0 else answered.toDouble() / sent
