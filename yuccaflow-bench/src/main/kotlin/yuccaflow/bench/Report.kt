package yuccaflow.bench

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.jfree.chart.ChartFactory
import org.jfree.chart.ChartUtils
import org.jfree.data.xy.XYSeries
import org.jfree.data.xy.XYSeriesCollection
import java.io.File

/**
 * Prints the results of an experiment: a JSON line per case as it is measured, whether each objective was met, and a table of all cases at
 * the end. Charts are written to files.
 */
internal class Report(
    private val experiment: String,
    private val seed: Long,
) {
    private val cases = mutableListOf<Pair<String, Map<String, Number?>>>()
    private val objectivesMet = mutableListOf<Boolean>()

    /** Adds a case and prints its measured values, by name. Cases may differ in the names; a missing value leaves its column empty. */
    fun case(name: String, values: Map<String, Number?>) {
        cases += name to values
        val fields = mapOf("experiment" to JsonPrimitive(experiment), "seed" to JsonPrimitive(seed), "case" to JsonPrimitive(name))
        println(JsonObject(fields + values.mapValues { JsonPrimitive(it.value) }))
    }

    /** Prints the ratio of a measured value to the baseline. */
    fun ratio(description: String, measured: Double, baseline: Double) {
        val ratio = if (baseline == 0.0) Double.NaN else measured / baseline
        println("ratio of $description to the baseline: %.3f (%.2f to %.2f)".format(ratio, measured, baseline))
    }

    /** Records and prints whether an objective was met. */
    fun verdict(description: String, isMet: Boolean) {
        objectivesMet += isMet
        println("${if (isMet) "OK" else "MISSED"}: $description")
    }

    /** Prints the table of all cases. Returns true when every objective was met. */
    fun finish(): Boolean {
        val columns = cases.flatMap { it.second.keys }.distinct()
        val table = Table(listOf("case") + columns)
        cases.forEach { (name, values) -> table.row(listOf(name) + columns.map { values[it] }) }
        println(table)
        return objectivesMet.all { it }
    }

    /** Writes a line chart to `run/` below the project directory; [series] maps the name of each line to its points. */
    fun chart(title: String, xAxis: String, yAxis: String, series: Map<String, List<Pair<Double, Double>>>) {
        val data = XYSeriesCollection()
        series.forEach { (name, points) -> data.addSeries(XYSeries(name, false).apply { points.forEach { add(it.first, it.second) } }) }
        val file = File(Program.root, "run/$experiment-$seed-${title.replace(Regex("\\W+"), "-")}.png")
        file.parentFile.mkdirs()
        System.setProperty("java.awt.headless", "true")
        ChartUtils.saveChartAsPNG(file, ChartFactory.createXYLineChart(title, xAxis, yAxis, data), CHART_WIDTH, CHART_HEIGHT)
        println("chart: run/${file.name}")
    }

    private companion object {
        const val CHART_WIDTH = 1_000
        const val CHART_HEIGHT = 500
    }
}
