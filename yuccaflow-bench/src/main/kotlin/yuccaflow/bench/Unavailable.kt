package yuccaflow.bench

import kotlinx.coroutines.delay

private const val RATE = 600.0
private const val KEYS = 40
private const val LIMIT_MS = 3_000L
private const val TARGET_LOSS = "SIGKILL of a target"
private const val STATIC_RATE = 200.0
private const val MS_IN_SECOND = 1_000
private const val OBSERVE_MS = 10_000L
private const val RECOVER_MS = 8_000L
private const val LOG_OUTAGE_MS = 60_000L
private const val PERCENT_WITHIN = 99

/** One loss: what is killed, which targets that touches, and how it comes back. */
private class Loss(
    val name: String,
    val touched: Set<String>,
    val lose: suspend () -> Unit,
    val restore: suspend () -> Unit,
)

/** What one loss did to the keys of divided services. */
private class LossResult(
    val touchedMs: List<Long>,
    val untouchedMs: List<Long>,
)

/** Time without service for each key after SIGKILL of a target, a primary and a zone, and while the log service is down. */
internal suspend fun measureUnavailable(settings: ExperimentSettings, report: Report): Boolean {
    val deployment = settings.deployment
    val options = ClusterOptions(settings.routersPerZone, measured = true, TargetProcesses.PER_TARGET, seed = settings.seed)
    withCluster(deployment, options) { cluster ->
        val divided = deployment.services
            .filter { it.isDivided }
            .map { it.name }
            .toSet()
        val plan = cluster.load(deployment.mix(KEYS, zipf = 0.0, only = divided), RATE)
        val load = CallerLoad.start(cluster.group, cluster.ports, plan)
        delay(WARM_UP_MS)
        val results = linkedMapOf<String, MutableList<LossResult>>()
        repeat(settings.repeats) { round ->
            listOf(targetLoss(cluster, round), primaryLoss(cluster, round), zoneLoss(cluster)).forEach { loss ->
                results.getOrPut(loss.name) { mutableListOf() } += observe(cluster, load, loss)
            }
        }
        results.forEach { (name, losses) -> report.loss(name, losses) }
        logOutage(cluster, load, report)
        report.chart("answered share", "second", "share", mapOf("answered" to load.seconds.points { it.answeredShare }))
        val audit = cluster.audit(load)
        report.verdict("nothing doubled or run by two owners at once: $audit", audit.doubled == 0 && audit.overlaps == 0)
        // The baseline sends past the routers, so it comes after the audit that it would spoil.
        val worst = results.getValue(TARGET_LOSS).maxOf { it.touchedMs.maxOrNull() ?: 0 }
        report.ratio("worst time without service after SIGKILL of a target", worst.toDouble(), staticLoss(cluster, settings, report))
    }
    return report.finish()
}

private suspend fun observe(cluster: Cluster, load: CallerLoad, loss: Loss): LossResult {
    val touchedRanges = cluster.owners().filter { it.owner.value in loss.touched }
    load.reset()
    loss.lose()
    delay(OBSERVE_MS)
    val outages = load.outages()
    loss.restore()
    cluster.awaitRouters("/ready")
    delay(RECOVER_MS)
    val (touched, untouched) = outages.entries.partition { (key, _) ->
        touchedRanges.any { it.holds(key.substringBefore('/'), key.substringAfter('/')) }
    }
    return LossResult(touched.map { it.value.longestMs }, untouched.map { it.value.longestMs })
}

private fun Report.loss(name: String, losses: List<LossResult>) {
    val worst = losses.map { it.touchedMs.maxOrNull() ?: 0 }
    val untouched = losses.flatMap { it.untouchedMs }
    val touched = losses.flatMap { it.touchedMs }.sorted()
    case(
        name,
        mapOf(
            "losses" to losses.size,
            "keys_hit" to touched.size,
            "median_key_ms" to (touched.getOrNull(touched.size / 2) ?: 0),
            "worst_key_ms" to (worst.maxOrNull() ?: 0),
            "other_keys_hit" to untouched.size,
            "other_worst_ms" to (untouched.maxOrNull() ?: 0),
        ),
    )
    val within = worst.count { it <= LIMIT_MS }
    verdict("$name: $within of ${losses.size} losses within $LIMIT_MS ms", within * 100 >= losses.size * PERCENT_WITHIN)
    verdict("$name: ${untouched.size} outages of keys that the loss did not touch, expected 0", untouched.isEmpty())
}

private fun targetLoss(cluster: Cluster, round: Int): Loss {
    val divided = cluster.targets.filter { handle ->
        cluster.deployment.targets
            .first { it.name in handle.names }
            .service.isDivided
    }
    val victim = divided[round % divided.size]
    return Loss(
        TARGET_LOSS,
        victim.names.toSet(),
        lose = { victim.process.kill() },
        restore = { cluster.restartTargets(victim) },
    )
}

/** Baseline: callers go straight to the target that their keys are assigned to for good, until that target itself is back. */
private suspend fun staticLoss(cluster: Cluster, settings: ExperimentSettings, report: Report): Double {
    val plan = cluster.deployment.targets.first { it.service.isDivided && !it.checksFences }
    val handle = cluster.targets.first { plan.name in it.names }
    val mix = cluster.deployment.mix(KEYS, zipf = 0.0, only = setOf(plan.service.name))
    val entries = listOf(cluster.addressOf(plan.name))
    val load = CallerLoad.start(
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

private suspend fun primaryLoss(cluster: Cluster, round: Int): Loss {
    val primaries = cluster.primaries()
    val victim = cluster.routers.filter { it.status()?.router in primaries.values }.let { it[round % it.size] }
    val id = victim.status()?.router
    return Loss(
        "SIGKILL of a primary",
        primaries.filterValues { it == id }.keys,
        lose = { victim.process.kill() },
        restore = { victim.process = cluster.startRouter(victim.plan) },
    )
}

private fun zoneLoss(cluster: Cluster): Loss {
    val zone = cluster.deployment.drillZone
    val routers = cluster.routers.filter { it.plan.zone == zone }
    val targets = cluster.targets.filter { it.zone == zone }
    return Loss(
        "SIGKILL of a zone",
        targets.flatMap { it.names }.toSet(),
        lose = { (routers.map { it.process } + targets.map { it.process }).forEach { it.signal("KILL") } },
        restore = {
            targets.forEach { cluster.restartTargets(it) }
            routers.forEach { it.process = cluster.startRouter(it.plan) }
        },
    )
}

private suspend fun logOutage(cluster: Cluster, load: CallerLoad, report: Report) {
    load.reset()
    cluster.switchLog("\"down\":true")
    delay(LOG_OUTAGE_MS)
    val result = load.results().getValue("all")
    val outages = load.outages()
    cluster.switchLog("\"down\":false")
    val worst = outages.values.maxOfOrNull { it.longestMs } ?: 0
    val hit = mapOf("losses" to 1, "other_keys_hit" to outages.size, "other_worst_ms" to worst)
    report.case("log down for 60 s", hit + result.values())
    report.verdict("log down for 60 s: ${outages.size} keys without service at some time, expected 0", outages.isEmpty())
}
