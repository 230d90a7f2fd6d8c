package yuccaflow.bench

/** What an experiment is run with. */
internal data class ExperimentSettings(
    val seed: Long,
    val deployment: Deployment,
    val routersPerZone: Int,
    /** Repetitions of each loss, where an experiment repeats. */
    val repeats: Int,
    /** Length of each phase of load. */
    val phaseMs: Long,
)

/** One experiment; returns true when every stated target was met. */
internal fun interface Experiment {
    suspend fun run(settings: ExperimentSettings, report: Report): Boolean
}

/** The experiments by the names that `bin/bench` takes. */
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

/** Runs [block] against a started cluster whose first note is in force. */
internal suspend fun <T> withCluster(deployment: Deployment, options: ClusterOptions, block: suspend (Cluster) -> T): T =
    ProcessGroup().use { group ->
        val cluster = Cluster(deployment, options, group)
        cluster.start()
        cluster.publishFirstNote()
        cluster.awaitRouters("/ready")
        block(cluster)
    }

/** Lets a load warm up, then runs [block] and returns the totals of the time that it took. */
internal suspend fun CallerLoad.measured(warmUpMs: Long, block: suspend () -> Unit): Map<String, LoadResult> {
    kotlinx.coroutines.delay(warmUpMs)
    reset()
    block()
    return results()
}

/** Time for which the compilers of all JVMs get load before a measurement begins. */
internal const val WARM_UP_MS = 8_000L

/** Time after the end of the load in which the last answers arrive. */
internal const val SETTLE_MS = 4_000L

internal val LoadResult.answeredShare: Double get() = if (sent == 0L) 1.0 else answered.toDouble() / sent
