package yuccaflow.bench

import kotlinx.serialization.Serializable
import yuccaflow.http.SocketAddress
import java.util.concurrent.CopyOnWriteArrayList

/**
 * Number of requests by outcome, and latencies of the answered ones, for one second or in total; [second] is null in totals.
 * Requests in [notRun] were refused without being executed; those in [unknown] may have been executed.
 */
@Serializable
internal data class LoadResult(
    val second: Long? = null,
    val sent: Long = 0,
    val answered: Long = 0,
    val notRun: Long = 0,
    val unknown: Long = 0,
    val failed: Long = 0,
    val p50Ms: Double = 0.0,
    val p99Ms: Double = 0.0,
    val p999Ms: Double = 0.0,
    val maxMs: Double = 0.0,
)

/** Outages of one key: periods in which its requests got no answer in time. */
@Serializable
internal data class KeyOutage(
    val longestMs: Long,
    val totalMs: Long,
    val count: Int,
)

/** Ids of non-idempotent requests by outcome: numbers after [prefix], as ranges such as `0-17,19`. */
@Serializable
internal data class RequestIdsByOutcome(
    val prefix: String,
    val answered: String,
    val notRun: String,
    val unknown: String,
)

/** Parameters of a load generator. */
internal data class LoadPlan(
    /** Addresses to which requests are sent. */
    val entries: List<SocketAddress>,
    /** Admin addresses to probe as a load balancer does, in the order of the entries; empty for no probes. */
    val probes: List<SocketAddress> = emptyList(),
    val mix: List<RequestTemplateFileEntry>,
    /** Requests per second. */
    val rate: Double,
    val seed: Long,
    /** Prefix of the request ids; distinguishes the load generators of one run. */
    val prefix: String = "c",
    val deadlineMs: Long = 3_000,
    val usesOptimizingCompiler: Boolean = false,
) {
    /** Arguments of the `callers` stand-in, which serves its switches at [control] and reads request templates from the file [mixPath]. */
    fun arguments(control: SocketAddress, mixPath: String): List<String> =
        listOf(
            "callers",
            "--control",
            "$control",
            "--entries",
            entries.joinToString(","),
            "--probes",
            probes.joinToString(","),
            "--mix",
            mixPath,
            "--rate",
            "$rate",
            "--seed",
            "$seed",
            "--prefix",
            prefix,
            "--deadline-ms",
            "$deadlineMs",
        )
}

/** A running load generator: a process of the `callers` stand-in. */
internal class LoadGeneratorProcess private constructor(
    private val process: ManagedProcess,
    private val control: SocketAddress,
) {
    /** Results of each second so far, in order. */
    val seconds: MutableList<LoadResult> = CopyOnWriteArrayList()

    /** Calls [listener] with the results of each second, as the load generator prints them. */
    fun addSecondListener(listener: (LoadResult) -> Unit) {
        process.addLineListener { line -> parse(line)?.let(listener) }
    }

    /** Changes the rate of a running load. */
    suspend fun setRate(requestsPerSecond: Double): Unit = ControlClient.post(control, "/switches", """{"rate":$requestsPerSecond}""")

    /** Clears counts, latencies and outages, but keeps the ids that an audit needs. */
    suspend fun reset(): Unit = ControlClient.post(control, "/reset", "{}")

    /** Totals by service, and over all services under the name `all`. */
    suspend fun results(): Map<String, LoadResult> = BenchJson.decodeFromString(ControlClient.get(control, "/results"))

    /** Outages by `service/key`. */
    suspend fun outages(): Map<String, KeyOutage> = BenchJson.decodeFromString(ControlClient.get(control, "/outages"))

    /** Number of requests that were not answered successfully, by reason. */
    suspend fun reasons(): Map<String, Long> = BenchJson.decodeFromString(ControlClient.get(control, "/reasons"))

    /** Ids of the non-idempotent requests so far; [reset] does not clear them. */
    suspend fun ids(): RequestIdsByOutcome = BenchJson.decodeFromString(ControlClient.get(control, "/acknowledged"))

    fun stop() {
        process.terminate()
        process.awaitExit(STOP_TIMEOUT_MS)
    }

    private fun parse(line: String): LoadResult? =
        if (line.startsWith("{\"second\"")) BenchJson.decodeFromString<LoadResult>(line) else null

    companion object {
        private const val STOP_TIMEOUT_MS = 5_000L

        /** Starts the load and waits until the process is ready. */
        suspend fun start(group: ProcessGroup, ports: PortBlock, plan: LoadPlan): LoadGeneratorProcess {
            val control = ports.next()
            val mix = group.file("mix-${plan.prefix}.json", BenchJson.encodeToString(plan.mix))
            val jvm = JvmOptions(heapMb = 384, usesOptimizingCompiler = plan.usesOptimizingCompiler, processors = 3)
            val process = group.start("callers-${plan.prefix}", Program.STANDIN, plan.arguments(control, mix.path), jvm)
            val load = LoadGeneratorProcess(process, control)
            load.addSecondListener { load.seconds += it }
            process.awaitReady()
            return load
        }
    }
}
