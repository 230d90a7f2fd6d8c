package yuccaflow.bench

import kotlinx.coroutines.delay
import java.util.zip.CRC32

private const val RATE = 300.0
private const val KEYS = 1_000
private const val REBALANCE_MS = 25_000L
private const val KEY_SPACE = 100_000
private const val KEY_DIGITS = 5
private const val SAMPLE_STEP = 10

/**
 * Measures the share of keys that change owner when a target is lost and returns, and when a zone is evacuated and returns. The baseline
 * hashes keys modulo the number of targets.
 */
internal suspend fun measureChurn(settings: ExperimentSettings, report: Report): Boolean {
    val service = settings.deployment.services.first { it.isKeyed }
    val deployment = settings.deployment.copy(services = listOf(service))
    val options =
        ClusterOptions(settings.routersPerZone, usesOptimizingCompiler = true, TargetProcessLayout.PER_TARGET, seed = settings.seed)
    withCluster(deployment, options) { cluster ->
        val mix = deployment.mix(KEYS, zipf = 0.0)
        LoadGeneratorProcess.start(cluster.group, cluster.ports, cluster.load(mix, RATE))
        delay(REBALANCE_MS)
        val all = deployment.targets.map { it.name }
        val victim = cluster.targets.first()
        val inZone = deployment.targets
            .filter { it.zone == deployment.drillZone }
            .map { it.name }
            .toSet()
        val operators = OperatorCli(cluster)
        report.measureChange(cluster, "target lost", all, all - victim.names.toSet()) { victim.process.kill() }
        report.measureChange(cluster, "target returned", all - victim.names.toSet(), all) { cluster.restartTargets(victim) }
        report.measureChange(cluster, "zone left", all, all - inZone) { operators.leaveZone(deployment.drillZone) }
        report.measureChange(cluster, "zone returned", all - inZone, all) { operators.returnZone(deployment.drillZone) }
    }
    return report.finish()
}

private suspend fun Report.measureChange(
    cluster: Cluster,
    name: String,
    before: List<String>,
    after: List<String>,
    change: suspend () -> Unit,
) {
    val old = ownersBySample(cluster)
    change()
    delay(REBALANCE_MS)
    val new = ownersBySample(cluster)
    val movedShare = old.indices.count { old[it] != new[it] }.toDouble() / old.size
    val rehashedShare = samples().count { before[hash(it) % before.size] != after[hash(it) % after.size] }.toDouble() / old.size
    val lost = before - after.toSet()
    val minimumShare = if (lost.isEmpty()) 0.0 else old.count { it in lost }.toDouble() / old.size
    case(name, mapOf("share_moved" to movedShare, "least_possible" to minimumShare, "full_rehash" to rehashedShare))
    ratio("keys moved, $name", movedShare, rehashedShare)
}

private fun samples(): List<String> = (0 until KEY_SPACE step SAMPLE_STEP).map { it.toString().padStart(KEY_DIGITS, '0') }

private fun hash(key: String): Int = (CRC32().apply { update(key.encodeToByteArray()) }.value % Int.MAX_VALUE).toInt()

private suspend fun ownersBySample(cluster: Cluster): List<String?> {
    val service = cluster.deployment.services
        .single()
        .name
    val ranges = cluster.owners().filter { it.service.value == service }
    return samples().map { key -> ranges.firstOrNull { it.holds(service, key) }?.owner?.value }
}
