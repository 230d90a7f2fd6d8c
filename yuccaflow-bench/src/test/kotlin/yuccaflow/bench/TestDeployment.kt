package yuccaflow.bench

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking

/** [Deployment.Harpes] with three targets per service, which starts within seconds. */
internal val SmallHarpes: Deployment = Deployment.Harpes.copy(
    services = Deployment.Harpes.services.map { it.copy(targets = 3, ranges = if (it.isKeyed) 6 else 0) },
)

private const val RATE = 150.0
private const val KEYS = 20
private const val TEST_WARM_UP_MS = 3_000L

/** Runs [block] against three routers in three zones under a load of [rate] requests per second, after a warm-up. */
internal fun underLoad(seed: Long, rate: Double = RATE, block: suspend (Cluster, LoadGeneratorProcess) -> Unit): Unit = runBlocking {
    withCluster(SmallHarpes, ClusterOptions(seed = seed)) { cluster ->
        val plan = cluster.load(SmallHarpes.mix(KEYS, zipf = 0.0), rate)
        val load = LoadGeneratorProcess.start(cluster.group, cluster.ports, plan)
        delay(TEST_WARM_UP_MS)
        load.reset()
        block(cluster, load)
    }
}

/** Stops the load, waits for the last responses and compares the outcomes that callers saw with what the targets executed. */
internal suspend fun stopAndAudit(cluster: Cluster, load: LoadGeneratorProcess): Audit {
    load.setRate(0.0)
    delay(SETTLE_MS)
    return cluster.audit(load)
}

/** The configuration version at each running router. */
internal suspend fun Cluster.configVersions(): Set<Long?> =
    routers.filter { it.process.isAlive }.map { it.status()?.configVersion }.toSet()
