package yuccaflow.bench

import kotlinx.coroutines.delay
import org.apache.commons.math3.stat.regression.SimpleRegression

private const val RATE = 300.0
private const val KEYS = 1_000
private const val BYTES_PER_KB = 1_024.0
private const val MS_PER_SECOND = 1_000.0
private const val PERCENT = 100.0

/** Each dimension has at least three sizes, so that the fit of a regression line can be judged. */
private val SIZE_FACTORS = listOf(1, 2, 3)
private val RANGE_COUNTS = listOf(20, 40, 80)
private val REQUEST_RATES = listOf(200, 400, 800)

private class ScalingPoint(
    val dimension: String,
    val size: Int,
    val deployment: Deployment,
    val routersPerZone: Int,
    val rate: Double,
)

/** Measures the resource use of a router while the number of routers, ranges, targets and requests is varied one at a time. */
internal suspend fun measureSlopes(settings: ExperimentSettings, report: Report): Boolean {
    val base = settings.deployment
    val points = SIZE_FACTORS.map { ScalingPoint("routers", it * base.zones.size, base, it, RATE) } +
        RANGE_COUNTS.map { ScalingPoint("ranges", it, base.withKeyedServices { service -> service.copy(ranges = it) }, 1, RATE) } +
        SIZE_FACTORS.map { factor ->
            val larger = base.copy(services = base.services.map { it.copy(targets = it.targets * factor) })
            ScalingPoint("targets", larger.targets.size, larger, 1, RATE)
        } +
        REQUEST_RATES.map { ScalingPoint("requests/s", it, base, 1, it.toDouble()) }
    val costs = points.groupBy({ it.dimension }) { it.size to measureCost(it, settings, report) }
    costs.forEach { (dimension, measured) -> reportSlopes(dimension, measured, report) }
    return report.finish()
}

private fun reportSlopes(dimension: String, measured: List<Pair<Int, RouterCost>>, report: Report) {
    val values: Map<String, (RouterCost) -> Double> = mapOf(
        "cpu_percent" to { it.cpuPercent },
        "memory_mb" to { it.memoryMb },
        "kb_per_s" to { it.kbPerSecond },
        "records_per_s" to { it.recordsPerSecond },
    )
    values.forEach { (name, value) ->
        val line = SimpleRegression()
        measured.forEach { (size, cost) -> line.addData(size.toDouble(), value(cost)) }
        println("slope of $name over $dimension: %.5f, at zero %.3f, R2 %.2f".format(line.slope, line.intercept, line.rSquare))
    }
    val series = mapOf("cpu percent" to measured.map { it.first.toDouble() to it.second.cpuPercent })
    report.chart("CPU time over $dimension", dimension, "percent of a core", series)
}

private class RouterCost(
    val cpuPercent: Double,
    val memoryMb: Double,
    val kbPerSecond: Double,
    val recordsPerSecond: Double,
)

private suspend fun measureCost(point: ScalingPoint, settings: ExperimentSettings, report: Report): RouterCost {
    val options = ClusterOptions(point.routersPerZone, usesOptimizingCompiler = true, seed = settings.seed, hasDelays = false)
    return withCluster(point.deployment, options) { cluster ->
        val mix = point.deployment.mix(KEYS, zipf = 0.0)
        val plan =
            LoadPlan(
                cluster.routers.map { it.plan.caller },
                mix = mix,
                rate = point.rate,
                seed = settings.seed,
                usesOptimizingCompiler = true,
            )
        LoadGeneratorProcess.start(cluster.group, cluster.ports, plan)
        delay(WARM_UP_MS)
        val processes = cluster.routers.map { it.process }
        val cpu = processes.sumOf { it.cpuMs }
        val bytes = processes.sumOf { it.ioBytes() }
        val records = cluster.controlStreamEnd()
        delay(settings.phaseMs)
        val seconds = settings.phaseMs / MS_PER_SECOND
        val count = processes.size
        val cost = RouterCost(
            cpuPercent = (processes.sumOf { it.cpuMs } - cpu) / settings.phaseMs.toDouble() / count * PERCENT,
            memoryMb = processes.sumOf { it.residentBytes() } / BYTES_PER_KB / BYTES_PER_KB / count,
            kbPerSecond = (processes.sumOf { it.ioBytes() } - bytes) / BYTES_PER_KB / seconds / count,
            recordsPerSecond = (cluster.controlStreamEnd() - records) / seconds,
        )
        report.case(
            "${point.dimension} ${point.size}",
            mapOf(
                "cpu_percent" to cost.cpuPercent,
                "memory_mb" to cost.memoryMb,
                "kb_per_s" to cost.kbPerSecond,
                "records_per_s" to cost.recordsPerSecond,
            ),
        )
        cost
    }
}

private fun Deployment.withKeyedServices(change: (ServicePlan) -> ServicePlan): Deployment =
    copy(services = services.map { if (it.isKeyed) change(it) else it })
