package yuccaflow.bench

import kotlinx.coroutines.delay

private const val RATE = 600.0
private const val KEYS = 40
private const val OUTAGE_LIMIT_MS = 3_000L
private const val TARGET_LOSS = "SIGKILL of a target"
private const val STATIC_RATE = 200.0
private const val MS_IN_SECOND = 1_000
private const val OBSERVE_MS = 10_000L
private const val RECOVER_MS = 8_000L
private const val LOG_OUTAGE_MS = 60_000L
private const val REQUIRED_PERCENT = 99

/** A failure to inject: [affected] are the targets whose keys it may make unavailable, [restore] brings the lost processes back. */
private class LossScenario(
    val name: String,
    val affected: Set<String>,
    val inject: suspend () -> Unit,
    val restore: suspend () -> Unit,
)

/** The longest outage of each key of keyed services after a failure, for keys owned by affected targets and for all others. */
private class LossImpact(
    val affectedOutagesMs: List<Long>,
    val unaffectedOutagesMs: List<Long>,
)

/** Measures the outage of each key after SIGKILL of a target, a primary router and a zone, and while the log service is down. */
internal suspend fun measureUnavailable(settings: ExperimentSettings, report: Report): Boolean {
    val deployment = settings.deployment
    val options =
        ClusterOptions(settings.routersPerZone, usesOptimizingCompiler = true, TargetProcessLayout.PER_TARGET, seed = settings.seed)
    withCluster(deployment, options) { cluster ->
        val keyed = deployment.services
            .filter { it.isKeyed }
            .map { it.name }
            .toSet()
        val plan = cluster.load(deployment.mix(KEYS, zipf = 0.0, only = keyed), RATE)
        val load = LoadGeneratorProcess.start(cluster.group, cluster.ports, plan)
        delay(WARM_UP_MS)
        val results = linkedMapOf<String, MutableList<LossImpact>>()
        repeat(settings.repeats) { round ->
            listOf(targetLoss(cluster, round), primaryLoss(cluster, round), zoneLoss(cluster)).forEach { loss ->
                results.getOrPut(loss.name) { mutableListOf() } += observe(cluster, load, loss)
            }
        }
        results.forEach { (name, losses) -> report.reportLosses(name, losses) }
        measureLogOutage(cluster, load, report)
        report.chart("answered share", "second", "share", mapOf("answered" to load.seconds.points { it.answeredShare }))
        val audit = cluster.audit(load)
        report.verdict("no request executed twice, no key owned by two targets at once: $audit", audit.doubled == 0 && audit.overlaps == 0)
        // The baseline bypasses the routers, so it must run after the audit, which it would falsify.
        val worst = results.getValue(TARGET_LOSS).maxOf { it.affectedOutagesMs.maxOrNull() ?: 0 }
        report.ratio("longest outage after SIGKILL of a target", worst.toDouble(), measureStaticLoss(cluster, settings, report))
    }
    return report.finish()
}

private suspend fun observe(cluster: Cluster, load: LoadGeneratorProcess, loss: LossScenario): LossImpact {
    val affectedRanges = cluster.owners().filter { it.owner.value in loss.affected }
    load.reset()
    loss.inject()
    delay(OBSERVE_MS)
    val outages = load.outages()
    loss.restore()
    cluster.awaitRouters("/ready")
    delay(RECOVER_MS)
    val (affected, unaffected) = outages.entries.partition { (key, _) ->
        affectedRanges.any { it.holds(key.substringBefore('/'), key.substringAfter('/')) }
    }
    return LossImpact(affected.map { it.value.longestMs }, unaffected.map { it.value.longestMs })
}

private fun Report.reportLosses(name: String, losses: List<LossImpact>) {
    val worst = losses.map { it.affectedOutagesMs.maxOrNull() ?: 0 }
    val unaffected = losses.flatMap { it.unaffectedOutagesMs }
    val affected = losses.flatMap { it.affectedOutagesMs }.sorted()
    case(
        name,
        mapOf(
            "losses" to losses.size,
            "keys_hit" to affected.size,
            "median_key_ms" to (affected.getOrNull(affected.size / 2) ?: 0),
            "worst_key_ms" to (worst.maxOrNull() ?: 0),
            "other_keys_hit" to unaffected.size,
            "other_worst_ms" to (unaffected.maxOrNull() ?: 0),
        ),
    )
    val within = worst.count { it <= OUTAGE_LIMIT_MS }
    verdict("$name: $within of ${losses.size} losses within $OUTAGE_LIMIT_MS ms", within * 100 >= losses.size * REQUIRED_PERCENT)
    verdict("$name: ${unaffected.size} outages of keys that the failure does not affect, expected 0", unaffected.isEmpty())
}

private fun targetLoss(cluster: Cluster, round: Int): LossScenario {
    val keyed = cluster.targets.filter { handle ->
        cluster.deployment.targets
            .first { it.name in handle.names }
            .service.isKeyed
    }
    val victim = keyed[round % keyed.size]
    return LossScenario(
        TARGET_LOSS,
        victim.names.toSet(),
        inject = { victim.process.kill() },
        restore = { cluster.restartTargets(victim) },
    )
}

/** The baseline: keys are assigned to targets statically and callers bypass the routers; an outage lasts until the target has restarted. */
private suspend fun measureStaticLoss(cluster: Cluster, settings: ExperimentSettings, report: Report): Double {
    val plan = cluster.deployment.targets.first { it.service.isKeyed && !it.checksFences }
    val handle = cluster.targets.first { plan.name in it.names }
    val mix = cluster.deployment.mix(KEYS, zipf = 0.0, only = setOf(plan.service.name))
    val entries = listOf(cluster.addressOf(plan.name))
    val load = LoadGeneratorProcess.start(
        cluster.group,
        cluster.ports,
        LoadPlan(entries, mix = mix, rate = STATIC_RATE, seed = settings.seed, prefix = "static"),
    )
    delay(WARM_UP_MS)
    load.reset()
    handle.process.kill()
    delay(OBSERVE_MS)
    cluster.restartTargets(handle)
    delay(RECOVER_MS)
    val outages = load
        .outages()
        .values
        .map { it.longestMs }
        .sorted()
    load.stop()
    report.case(
        "static assignment, target back after ${OBSERVE_MS / MS_IN_SECOND} s",
        mapOf(
            "losses" to 1,
            "keys_hit" to outages.size,
            "median_key_ms" to outages[outages.size / 2],
            "worst_key_ms" to outages.last(),
        ),
    )
    return outages.last().toDouble()
}

private suspend fun primaryLoss(cluster: Cluster, round: Int): LossScenario {
    val primaries = cluster.primaries()
    val victim = cluster.routers.filter { it.status()?.router in primaries.values }.let { it[round % it.size] }
    val id = victim.status()?.router
    return LossScenario(
        "SIGKILL of a primary",
        primaries.filterValues { it == id }.keys,
        inject = { victim.process.kill() },
        restore = { victim.process = cluster.startRouter(victim.plan) },
    )
}

private fun zoneLoss(cluster: Cluster): LossScenario {
    val zone = cluster.deployment.drillZone
    val routers = cluster.routers.filter { it.plan.zone == zone }
    val targets = cluster.targets.filter { it.zone == zone }
    return LossScenario(
        "SIGKILL of a zone",
        targets.flatMap { it.names }.toSet(),
        inject = { (routers.map { it.process } + targets.map { it.process }).forEach { it.signal("KILL") } },
        restore = {
            targets.forEach { cluster.restartTargets(it) }
            routers.forEach { it.process = cluster.startRouter(it.plan) }
        },
    )
}

private suspend fun measureLogOutage(cluster: Cluster, load: LoadGeneratorProcess, report: Report) {
    load.reset()
    cluster.setLogSwitches("\"down\":true")
    delay(LOG_OUTAGE_MS)
    val result = load.results().getValue("all")
    val outages = load.outages()
    cluster.setLogSwitches("\"down\":false")
    val worst = outages.values.maxOfOrNull { it.longestMs } ?: 0
    val hit = mapOf("losses" to 1, "other_keys_hit" to outages.size, "other_worst_ms" to worst)
    report.case("log down for 60 s", hit + result.values())
    report.verdict("log down for 60 s: ${outages.size} keys with an outage, expected 0", outages.isEmpty())
}
