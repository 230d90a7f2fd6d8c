package yuccaflow.control

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.File

/**
 * Replays recorded sessions and compares the outcome of every record and the final state with the golden file next to the session. Fails
 * if readers interpret the same records differently than before.
 *
 * Each line of a session file is one step. Blank lines and lines that begin with `#` are skipped.
 * - `control RECORD`: applies a control record, given as JSON.
 * - `note ID`: applies a change of the configuration, whose text follows on lines that are indented by two spaces.
 * - `mark ID KIND NAME STATE`: marks a zone or host as leaving or as no longer leaving. KIND is `zone` or `host`; a STATE other than
 *   `leaving` ends the mark.
 * - `unreadable STREAM`: applies a record that cannot be decoded, to `config` or `control`.
 * - `checkpoint`: applies a checkpoint of the current state. A second reader starts from it and must end in the same state.
 *
 * The actual output is written to target/golden.
 */
internal class GoldenSessionTest {
    private val sessions = listOf("racing-planners", "paused-primary", "two-notes", "checkpoint-restart", "withdrawn-destination")

    @TestFactory
    fun `replayed sessions match their golden files`(): List<DynamicTest> =
        sessions.map { name ->
            DynamicTest.dynamicTest(name) {
                val actual = GoldenReplay().replay(resource("$name.session"))
                File("target/golden").mkdirs()
                File("target/golden/$name.expected").writeText(actual)
                expectThat(actual).isEqualTo(resource("$name.expected"))
            }
        }

    private fun resource(name: String): String = checkNotNull(javaClass.getResource("/golden/$name")) { "no golden file $name" }.readText()
}

/** Replays one session. */
private class GoldenReplay {
    private var table = emptyControlTable()
    private var config = ConfigState.Empty
    private var restoredReader: Pair<ControlTable, ConfigState>? = null
    private val output = StringBuilder()

    fun replay(session: String): String {
        val lines = ArrayDeque(session.lines().filter { it.isNotBlank() && !it.startsWith("#") })
        while (lines.isNotEmpty()) {
            val words = lines.removeFirst().split(' ', limit = 2)
            val rest = words.getOrElse(1) { "" }
            when (words[0]) {
                "control" -> applyControl(Json.decodeFromString<ControlRecord>(rest))
                "unreadable" -> if (rest == "config") applyConfig(null) else applyControl(null)
                "note" -> applyConfig(ConfigRecord.Note(rest, takeIndentedText(lines)))
                "mark" -> applyConfig(mark(rest.split(' ')))
                "checkpoint" -> checkpoint()
                else -> error("unknown line in a session: ${words[0]}")
            }
        }
        val state = render(table, config)
        restoredReader?.let { (otherTable, otherConfig) -> expectThat(render(otherTable, otherConfig)).isEqualTo(state) }
        return output.append("\n").append(state).toString()
    }

    private fun takeIndentedText(lines: ArrayDeque<String>): String {
        val text = mutableListOf<String>()
        while (lines.firstOrNull()?.startsWith("  ") == true) text += lines.removeFirst().trim()
        return text.joinToString("\n")
    }

    private fun mark(values: List<String>): ConfigRecord.Mark =
        ConfigRecord.Mark(values[0], MarkSubject.valueOf(values[1].uppercase()), values[2], isLeaving = values[3] == "leaving")

    private fun checkpoint() {
        val snapshot = snapshotOf(table, config)
        val stored = decodeControlRecord(encodeControlRecord(ControlRecord.Checkpoint(snapshot))) as ControlRecord.Checkpoint
        restoredReader = controlTable(stored.snapshot) to stored.snapshot.config
        applyControl(stored)
    }

    private fun applyControl(record: ControlRecord?) {
        val stored = record?.let { decodeControlRecord(encodeControlRecord(it)) }
        val applied = table.apply(table.position + 1, stored)
        table = applied.table
        restoredReader = restoredReader?.let { (other, config) -> other.apply(other.position + 1, stored).table to config }
        val kind = record?.let { it::class.simpleName } ?: "unreadable"
        output.appendLine("control ${table.position} $kind: ${applied.voidReason?.let { "void, $it" } ?: "in force"}")
    }

    private fun applyConfig(record: ConfigRecord?) {
        val stored = record?.let { decodeConfigRecord(encodeConfigRecord(it)) }
        val outcomeCount = config.outcomes.size
        config = applyConfigRecord(config, config.position + 1, stored)
        restoredReader = restoredReader?.let { (table, other) -> table to applyConfigRecord(other, other.position + 1, stored) }
        val outcome = config.outcomes.drop(outcomeCount).firstOrNull()
        val result =
            outcome?.let { it.rejection?.let { reason -> "rejected, $reason" } ?: "accepted as version ${it.version}" } ?: "ignored"
        output.appendLine("config ${config.position} ${record?.id ?: "unreadable"}: $result")
    }

    private fun render(table: ControlTable, config: ConfigState): String {
        val snapshot = snapshotOf(table, config)
        val routers =
            snapshot.routers.map { router ->
                val suspicion = router.suspicion?.let {
                    ", suspicion ${it.offset} by ${it.by} read by ${it.readBy.sortedBy { id -> id.value }}"
                }
                "router ${router.id}: ${router.stage}, zone ${router.zone}, epoch ${router.epoch}, witnesses ${router.witnesses}${suspicion ?: ""}"
            }
        val primaries = snapshot.primaries.map { "primary of ${it.target}: ${it.router}, epoch ${it.epoch}" }
        val ranges =
            snapshot.ranges.map { entry ->
                val move = entry.move?.let { ", moving to ${it.to ?: "nobody"} since ${it.epoch}" } ?: ""
                "range ${entry.service} ${entry.range}: owner ${entry.owner}, epoch ${entry.epoch}$move"
            }
        val configLines =
            listOf(
                "version ${config.version}",
                "zones ${config.zones.keys.map { it.value }.sorted()}, leaving ${config.leavingZones.map { it.value }.sorted()}",
                "services ${config.services.keys.map { it.value }.sorted()}",
                "targets ${config.targets.values.map { "${it.id} at ${it.address}" }.sorted()}",
                "declared ${config.ranges.values.map { "${it.name} ${it.range}" }.sorted()}",
            )
        return (listOf("position ${table.position}") + routers + primaries + ranges + configLines).joinToString("\n", postfix = "\n")
    }
}
