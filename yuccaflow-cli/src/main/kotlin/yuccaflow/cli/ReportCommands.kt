package yuccaflow.cli

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import yuccaflow.control.ConfigRecordOutcome
import yuccaflow.control.OwnersReport
import yuccaflow.control.SpanReport
import yuccaflow.control.StatusReport
import yuccaflow.control.TargetsReport
import yuccaflow.control.TraceReport
import yuccaflow.http.SocketAddress

/** One router as printed by `status`. Has either its [status], or the [failure] if it sent none. */
@Serializable
internal data class RouterStatus(
    val router: String,
    val zone: String,
    val host: String,
    val adminAddress: String,
    val status: StatusReport?,
    val failure: String?,
)

/** The routers as printed by `status`. */
@Serializable
internal data class RoutersReport(
    val routers: List<RouterStatus>,
)

/** The current configuration version, marks and latest published records as printed by `notes`. */
@Serializable
internal data class NotesReport(
    val version: Long,
    val leavingZones: List<String>,
    val leavingHosts: List<String>,
    val outcomes: List<ConfigRecordOutcome>,
)

/** Shows the state of a system that is kept in the log service, as reported by its routers, and the traces of requests. */
internal class ReportCommands(
    private val reader: StreamReader?,
    private val adminClient: RouterAdminClient,
    private val router: SocketAddress?,
    private val console: Console,
) : StateCommands {
    /** A router to query. All but its [adminAddress] are `-` if it was given on the command line. */
    private class KnownRouter(
        val id: String,
        val zone: String,
        val host: String,
        val adminAddress: String,
    )

    /** Shows all live routers, or only the one given by `--router`. */
    override suspend fun status(): ExitStatus {
        val statuses = queryAll("/status", StatusReport.serializer()).map { (router, answer) ->
            when (answer) {
                is RouterQueryResult.Answered ->
                    answer.report.let { RouterStatus(it.router.value, it.zone.value, it.host, router.adminAddress, it, failure = null) }
                is RouterQueryResult.NoAnswer -> RouterStatus(router.id, router.zone, router.host, router.adminAddress, null, answer.reason)
            }
        }
        console.result(RoutersReport.serializer(), RoutersReport(statuses)) { statusTable(it) }
        if (statuses.any { it.status != null }) return ExitStatus.DONE
        console.error(
            if (statuses.isEmpty()) "no router is live. Start routers and try again." else "no router answered. Check their hosts.",
        )
        return ExitStatus.UNREACHABLE
    }

    override suspend fun owners(): ExitStatus = showFirst("/owners", OwnersReport.serializer()) { report ->
        val rows = report.ranges.map {
            val move = if (it.isMoving) "to ${it.movingTo ?: "nobody"}" else null
            listOf(it.service.value, quoted(it.from), it.to?.let(::quoted) ?: "unbounded", it.owner.value, cell(it.epoch), cell(move))
        }
        table(listOf("SERVICE", "FROM", "TO", "OWNER", "EPOCH", "MOVE"), rows)
    }

    override suspend fun targets(): ExitStatus = showFirst("/targets", TargetsReport.serializer()) { report ->
        val rows = report.targets.map {
            val state = when {
                !it.isInService -> "leaving"
                it.isReachable == false -> "unreachable"
                it.isReachable == null -> "unknown"
                else -> "serving"
            }
            listOf(it.target.value, it.service.value, it.zone.value, it.address, cell(it.primary), state) +
                listOf(it.capacity, it.inFlight, it.queued, it.requestsPerSecond).map(::cell)
        }
        table(listOf("TARGET", "SERVICE", "ZONE", "ADDRESS", "PRIMARY", "STATE", "CAPACITY", "RUNNING", "QUEUED", "PER SECOND"), rows)
    }

    override suspend fun notes(): ExitStatus {
        val reader = checkNotNull(reader)
        reader.readConfig()
        val config = reader.config
        val report = NotesReport(config.version, config.leavingZones.map { it.value }, config.leavingHosts.toList(), config.outcomes)
        console.result(NotesReport.serializer(), report) { notesText(it) }
        return ExitStatus.DONE
    }

    /** Shows the trace of a request, with the spans of all queried routers. */
    suspend fun trace(requestId: String): ExitStatus {
        val answers = queryAll("/trace/$requestId", TraceReport.serializer()).map { it.second }
        val spans = answers
            .filterIsInstance<RouterQueryResult.Answered<TraceReport>>()
            .flatMap {
                it.report.spans
            }.sortedBy { it.startedAtMicros }
        console.result(TraceReport.serializer(), TraceReport(requestId, spans)) { spanTree(it.spans) }
        val failures = answers.filterIsInstance<RouterQueryResult.NoAnswer>()
        failures.forEach { console.error("spans may be missing: ${it.reason}") }
        if (failures.size == answers.size) return ExitStatus.UNREACHABLE
        if (spans.isEmpty()) console.error("no router has spans of request $requestId. Routers keep only those of the latest requests.")
        return ExitStatus.DONE
    }

    private suspend fun routers(): List<KnownRouter> {
        if (router != null) return listOf(KnownRouter("-", "-", "-", router.toString()))
        val reader = checkNotNull(reader)
        reader.readControl()
        return reader.table.routers.values
            .filter { reader.table.isLive(it.id) }
            .sortedWith(compareBy({ it.zone.value }, { it.host }))
            .map { KnownRouter(it.id.value, it.zone.value, it.host, it.adminAddress) }
    }

    private suspend fun <T> queryAll(
        path: String,
        deserializer: DeserializationStrategy<T>,
    ): List<Pair<KnownRouter, RouterQueryResult<T>>> {
        val routers = routers()
        return coroutineScope { routers.map { async { it to adminClient.query(it.adminAddress, path, deserializer) } }.awaitAll() }
    }

    /** Shows the report of the first router that sends one, since all routers follow the same log. */
    private suspend fun <T> showFirst(path: String, serializer: KSerializer<T>, text: (T) -> String): ExitStatus {
        for (known in routers()) {
            when (val answer = adminClient.query(known.adminAddress, path, serializer)) {
                is RouterQueryResult.NoAnswer -> console.progress("Router ${known.id} did not answer: ${answer.reason}")
                is RouterQueryResult.Answered -> {
                    console.result(serializer, answer.report, text)
                    return ExitStatus.DONE
                }
            }
        }
        console.error("no router answered. Check that routers are live with `yuccactl status`.")
        return ExitStatus.UNREACHABLE
    }

    private fun quoted(key: String) = "\"$key\""

    private fun statusTable(report: RoutersReport): String {
        val rows = report.routers.map { router ->
            val status = router.status
            val state = if (status == null) {
                listOf("no answer", "-", "-", "-", "-")
            } else {
                val lease = if (status.leaseRemainingMs > 0) "${status.leaseRemainingMs} ms" else "none"
                listOf(status.stage.lowercase(), lease) +
                    listOf(status.controlPosition, status.configPosition, status.configVersion).map(::cell)
            }
            listOf(router.router, router.zone, router.host, router.adminAddress) + state
        }
        return table(listOf("ROUTER", "ZONE", "HOST", "ADMIN", "STAGE", "LEASE", "CONTROL", "CONFIG", "VERSION"), rows)
    }

    private fun notesText(report: NotesReport): String {
        val rows = report.outcomes.map {
            listOf(it.id, cell(it.offset), if (it.version == null) "rejected" else "accepted", cell(it.version), cell(it.rejection))
        }
        val leaving = (report.leavingZones.map { "zone $it" } + report.leavingHosts.map { "host $it" }).joinToString()
        return listOfNotNull(
            "Version ${report.version}",
            leaving.takeIf { it.isNotEmpty() }?.let { "Leaving: $it" },
            table(listOf("ID", "OFFSET", "RESULT", "VERSION", "REASON"), rows),
        ).joinToString("\n")
    }

    private fun spanTree(spans: List<SpanReport>): String {
        val ids = spans.map { it.spanId }.toSet()
        val start = spans.firstOrNull()?.startedAtMicros ?: 0
        val rows = mutableListOf<List<String>>()

        fun add(span: SpanReport, depth: Int) {
            val tags = span.tags.entries
                .sortedBy { it.key }
                .joinToString(" ") { "${it.key}=${it.value}" }
            rows +=
                listOf(
                    "  ".repeat(depth) + span.name,
                    span.host,
                    formatMillis(span.startedAtMicros - start),
                    formatMillis(span.durationMicros),
                    tags,
                )
            spans.filter { it.parentId == span.spanId }.forEach { add(it, depth + 1) }
        }
        spans.filter { it.parentId !in ids }.forEach { add(it, 0) }
        return table(listOf("SPAN", "HOST", "START MS", "DURATION MS", "TAGS"), rows)
    }

    private fun formatMillis(micros: Long): String = cell(micros / MICROS_PER_MS)

    private companion object {
        const val MICROS_PER_MS = 1_000.0
    }
}
