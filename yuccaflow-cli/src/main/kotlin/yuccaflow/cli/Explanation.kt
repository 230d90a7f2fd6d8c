package yuccaflow.cli

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/** Stands for what a line does not tell. */
private const val ABSENT = "-"

/** One line of a router's event log. */
internal class LogEvent(
    private val fields: JsonObject,
) {
    val event: String get() = text("event").orEmpty()
    val node: String get() = text("node") ?: ABSENT

    /** Unix time, or null in a line that does not tell it. */
    val timeMs: Long? get() = number("time_ms")

    /** Whether the line is an event at all. */
    val isNamed: Boolean get() = (fields["event"] as? JsonPrimitive)?.isString == true

    fun text(name: String): String? = (fields[name] as? JsonPrimitive)?.contentOrNull

    fun number(name: String): Long? = (fields[name] as? JsonPrimitive)?.longOrNull

    fun decimal(name: String): Double? = (fields[name] as? JsonPrimitive)?.doubleOrNull
}

/** What the logs tell of one request. [skippedLines] could not be read as events. */
@Serializable
internal data class Explanation(
    val request: String,
    val steps: List<String>,
    val background: List<String>,
    val skippedLines: Int,
)

/** Reads routers' log lines, in any order, repeated and mixed with other text, and explains one request. */
internal class LogExplainer(
    lines: Sequence<String>,
) {
    private val events: List<LogEvent>
    private var skipped = 0

    init {
        val read = LinkedHashSet<JsonObject>()
        lines.filter { it.isNotBlank() }.forEach { line -> parse(line)?.let(read::add) ?: skipped++ }
        events = read.map(::LogEvent).sortedBy { it.timeMs ?: 0 }
    }

    /** The number of different events. */
    val eventCount: Int get() = events.size

    /** How many lines about requests the routers say that they have left out. */
    val droppedRequestLines: Long
        get() = events.filter { it.event.startsWith(REQUEST_EVENTS) }.sumOf { it.number("dropped_before") ?: 0 }

    /** Explains the request with [id], or returns null when no line names it. */
    fun explain(id: String): Explanation? {
        val own = events.filter { it.text("request") == id }
        if (own.isEmpty()) return null
        return Explanation(id, own.map(::sentence), own.flatMap(::background).distinct(), skipped)
    }

    /**
     * Finds the event in [line], which may have a prefix: the time and the node that a test bench adds, or an event that was cut off when
     * its process ended.
     */
    private fun parse(line: String): JsonObject? {
        val starts = generateSequence(line.indexOf('{')) { line.indexOf('{', it + 1) }.takeWhile { it >= 0 }
        return starts.firstNotNullOfOrNull { parseEvent(line.substring(it)) }
    }

    private fun parseEvent(text: String): JsonObject? = try {
        (Json.parseToJsonElement(text) as? JsonObject)?.takeIf { fields -> LogEvent(fields).isNamed }
    } catch (_: SerializationException) {
        null
    }

    private fun sentence(event: LogEvent): String {
        val what = when (event.event) {
            "request_refused" -> "refused the request as not run"
            "request_repeated" -> "sent the request once more"
            "request_unknown" -> "ended the request without the target's success; it may have run"
            "request_cancelled" -> "gave the request up because the caller closed its connection"
            "request_sampled" -> "passed the target's answer on"
            else -> event.event
        }
        val zone = event.text("target_zone")?.let { " in $it" }.orEmpty()
        val target = event.text("target")?.let { " at target $it$zone" + load(event) }.orEmpty()
        val outcome = event.text("outcome")?.let { ": $it" }.orEmpty()
        return "${event.timeMs ?: ABSENT} ${event.node} $what$target$outcome" + circumstances(event)
    }

    private fun circumstances(event: LogEvent): String {
        val known = listOfNotNull(
            event.text("service")?.let { "service $it" },
            event.number("key")?.let { "key $it" },
            event.number("config_version")?.let { "routing table $it" },
            event.number("elapsed_ms")?.let { "after $it ms" },
            event.number("remaining_ms")?.let { "$it ms left" },
            event.number("sends")?.let { "$it sends that may have run" },
        )
        return if (known.isEmpty()) "" else known.joinToString(prefix = " (", postfix = ")")
    }

    private fun load(event: LogEvent): String {
        val occupancy = event.decimal("occupancy") ?: return ""
        return " with %.1f requests on ${event.number("slots")} slots".format(java.util.Locale.ROOT, occupancy)
    }

    /** The latest news before [decision] of the target, the key and the store, with their age. */
    private fun background(decision: LogEvent): List<String> {
        val decidedAtMs = decision.timeMs ?: return emptyList()
        val before = events.filter { event -> event.timeMs?.let { it <= decidedAtMs } ?: false }
        val target = decision.text("target")
        val key = decision.number("key")
        val news = listOfNotNull(
            before.lastOrNull { target != null && it.node == decision.node && it.event in TARGET_NEWS && it.text("target") == target },
            before.lastOrNull {
                key != null &&
                    it.event in RANGE_NEWS &&
                    covers(
                        it,
                        key,
                    ) &&
                    it.text("service") == decision.text("service")
            },
            before.lastOrNull { it.event == "planner_claimed" },
            before.lastOrNull { it.node == decision.node && it.event in STORE_NEWS },
        )
        return news.map { "${decidedAtMs - (it.timeMs ?: 0)} ms before: ${it.node} ${it.event} ${details(it)}".trimEnd() }
    }

    private fun covers(event: LogEvent, key: Long): Boolean {
        val from = event.number("from") ?: return false
        val to = event.number("to") ?: return false
        return key in from..to
    }

    private fun details(event: LogEvent): String =
        DETAILS.mapNotNull { name -> event.text(name)?.let { "$name=$it" } }.joinToString(" ")

    private companion object {
        const val REQUEST_EVENTS = "request_"
        val TARGET_NEWS = setOf("target_seen", "target_draining", "target_gone", "target_suspected", "target_recovered")
        val RANGE_NEWS = setOf("range_assigned", "range_released", "range_granted")
        val STORE_NEWS = setOf("store_lost", "store_regained", "relay_started", "relay_ended")
        val DETAILS = listOf("target", "from", "to", "generation", "former_target", "reason", "stream", "term", "former_planner", "peer")
    }
}
