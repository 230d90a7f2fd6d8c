package yuccaflow.bench

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking

/** The first organisation with three targets for each service, which starts within seconds. */
internal val SmallHarpes: Deployment = Deployment.Harpes.copy(
    services = Deployment.Harpes.services.map { it.copy(targets = 3, ranges = if (it.isDivided) 6 else 0) },
)

private const val RATE = 150.0
private const val KEYS = 20
private const val TEST_WARM_UP_MS = 3_000L

/** Runs [block] with three routers in three zones, a warm load of [rate] requests per second and the first note in force. */
internal fun underLoad(seed: Long, rate: Double = RATE, block: suspend (Cluster, CallerLoad) -> Unit): Unit = runBlocking {
    withCluster(SmallHarpes, ClusterOptions(seed = seed)) { cluster ->
        val plan = cluster.load(SmallHarpes.mix(KEYS, zipf = 0.0), rate)
        val load = CallerLoad.start(cluster.group, cluster.ports, plan)
        delay(TEST_WARM_UP_MS)
        load.reset()
        block(cluster, load)
    }
}

/** Ends the load, waits for the last answers and compares what callers were told with what the targets ran. */
internal suspend fun auditAfter(cluster: Cluster, load: CallerLoad): Audit {
    load.rate(0.0)
    delay(SETTLE_MS)
    return cluster.audit(load)
}

/** The configuration version at each running router. */
internal suspend fun Cluster.configVersions(): Set<Long?> =
    routers.filter { it.process.isAlive }.map { it.status()?.configVersion }.toSet()
