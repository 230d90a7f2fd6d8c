package yuccaflow.bench

import kotlinx.serialization.Serializable
import yuccaflow.http.SocketAddress
import java.util.concurrent.CopyOnWriteArrayList

/** Results of the callers, for one second or in total. */
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

/** Time without service for one key. */
@Serializable
internal data class KeyOutage(
    val longestMs: Long,
    val totalMs: Long,
    val count: Int,
)

@Serializable
internal data class CallerIds(
    val prefix: String,
    val answered: String,
    val notRun: String,
    val unknown: String,
)

/** What a callers process is to do. */
internal data class LoadPlan(
    val entries: List<SocketAddress>,
    /** Admin addresses that a load balancer would probe, in the order of the entries; empty for none. */
    val probes: List<SocketAddress> = emptyList(),
    val mix: List<MixFileEntry>,
    val rate: Double,
    val seed: Long,
    val prefix: String = "c",
    val deadlineMs: Long = 3_000,
    val optimize: Boolean = false,
) {
    /** Arguments of the callers stand-in, which serves its switches at [control] and reads the request kinds from the file [mixPath]. */
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

/** A running callers process. */
internal class CallerLoad private constructor(
    private val process: ManagedProcess,
    private val control: SocketAddress,
) {
    /** The results of each second so far. */
    val seconds: MutableList<LoadResult> = CopyOnWriteArrayList()

    fun onSecond(listener: (LoadResult) -> Unit) {
        process.onLine { line -> parse(line)?.let(listener) }
    }

    suspend fun rate(requestsPerSecond: Double): Unit = Web.post(control, "/switches", """{"rate":$requestsPerSecond}""")

    /** Forgets counts and latencies so far, but not the ids. */
    suspend fun reset(): Unit = Web.post(control, "/reset", "{}")

    /** Totals by service, and over all under the name `all`. */
    suspend fun results(): Map<String, LoadResult> = BenchJson.decodeFromString(Web.get(control, "/results"))

    suspend fun outages(): Map<String, KeyOutage> = BenchJson.decodeFromString(Web.get(control, "/outages"))

    suspend fun reasons(): Map<String, Long> = BenchJson.decodeFromString(Web.get(control, "/reasons"))

    suspend fun ids(): CallerIds = BenchJson.decodeFromString(Web.get(control, "/acknowledged"))

    fun stop() {
        process.terminate()
        process.awaitExit(STOP_LIMIT_MS)
    }

    private fun parse(line: String): LoadResult? =
        if (line.startsWith("{\"second\"")) BenchJson.decodeFromString<LoadResult>(line) else null

    companion object {
        private const val STOP_LIMIT_MS = 5_000L

        suspend fun start(group: ProcessGroup, ports: Ports, plan: LoadPlan): CallerLoad {
            val control = ports.take()
            val mix = group.file("mix-${plan.prefix}.json", BenchJson.encodeToString(plan.mix))
            val jvm = JvmOptions(heapMb = 384, optimize = plan.optimize, processors = 3)
            val process = group.start("callers-${plan.prefix}", Program.STANDIN, plan.arguments(control, mix.path), jvm)
            val load = CallerLoad(process, control)
            load.onSecond { load.seconds += it }
            process.awaitReady()
            return load
        }
    }
}
