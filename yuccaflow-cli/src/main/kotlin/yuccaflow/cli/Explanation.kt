package yuccaflow.cli

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/** Printed for a field that the event does not have. */
private const val ABSENT = "-"

/** One event of a router's event log. */
internal class LogEvent(
    private val fields: JsonObject,
) {
    val event: String get() = text("event").orEmpty()
    val node: String get() = text("node") ?: ABSENT

    /** Unix time of the event, or null if the event does not have it. */
    val timeMs: Long? get() = number("time_ms")

    /** Whether the object has an event name; otherwise it is not an event. */
    val hasEventName: Boolean get() = (fields["event"] as? JsonPrimitive)?.isString == true

    fun text(name: String): String? = (fields[name] as? JsonPrimitive)?.contentOrNull

    fun number(name: String): Long? = (fields[name] as? JsonPrimitive)?.longOrNull

    fun decimal(name: String): Double? = (fields[name] as? JsonPrimitive)?.doubleOrNull
}

/**
 * What the logs tell about one request.
 *
 * [steps] describes the events of the request in order of time. [background] describes the latest events before them that concern the
 * target, the key, the planner or the store. [skippedLines] is the number of lines that are not events.
 */
@Serializable
internal data class Explanation(
    val request: String,
    val steps: List<String>,
    val background: List<String>,
    val skippedLines: Int,
)

/** Explains requests from the event logs of routers. The lines may be in any order, duplicated and mixed with other text. */
internal class LogExplainer(
    lines: Sequence<String>,
) {
    private val events: List<LogEvent>
    private var skipped = 0

    init {
        val distinct = LinkedHashSet<JsonObject>()
        lines.filter { it.isNotBlank() }.forEach { line -> parse(line)?.let(distinct::add) ?: skipped++ }
        events = distinct.map(::LogEvent).sortedBy { it.timeMs ?: 0 }
    }

    /** The number of distinct events. */
    val eventCount: Int get() = events.size

    /** The number of request events that the routers report as dropped. */
    val droppedRequestEvents: Long
        get() = events.filter { it.event.startsWith(REQUEST_EVENT_PREFIX) }.sumOf { it.number("dropped_before") ?: 0 }

    /** Explains the request [id]. Returns null if no event mentions it. */
    fun explain(id: String): Explanation? {
        val requestEvents = events.filter { it.text("request") == id }
        if (requestEvents.isEmpty()) return null
        return Explanation(id, requestEvents.map(::describe), requestEvents.flatMap(::background).distinct(), skipped)
    }

    /**
     * Finds the event in [line], which may have a prefix: the time and the node as added by a benchmark, or a part of an event whose
     * output was truncated when its process ended.
     */
    private fun parse(line: String): JsonObject? {
        val starts = generateSequence(line.indexOf('{')) { line.indexOf('{', it + 1) }.takeWhile { it >= 0 }
        return starts.firstNotNullOfOrNull { parseEvent(line.substring(it)) }
    }

    private fun parseEvent(text: String): JsonObject? = try {
        (Json.parseToJsonElement(text) as? JsonObject)?.takeIf { fields -> LogEvent(fields).hasEventName }
    } catch (_: SerializationException) {
        null
    }

    private fun describe(event: LogEvent): String {
        val what = when (event.event) {
            "request_refused" -> "refused the request as not run"
            "request_repeated" -> "retried the request after a failed attempt"
            "request_unknown" -> "ended the request without a successful response of the target; it may have run"
            "request_cancelled" -> "cancelled the request because the caller closed its connection"
            "request_sampled" -> "forwarded the response of the target"
            else -> event.event
        }
        val zone = event.text("target_zone")?.let { " in $it" }.orEmpty()
        val target = event.text("target")?.let { " at target $it$zone" + load(event) }.orEmpty()
        val outcome = event.text("outcome")?.let { ": $it" }.orEmpty()
        return "${event.timeMs ?: ABSENT} ${event.node} $what$target$outcome" + requestDetails(event)
    }

    private fun requestDetails(event: LogEvent): String {
        val details = listOfNotNull(
            event.text("service")?.let { "service $it" },
            event.number("key")?.let { "key $it" },
            event.number("config_version")?.let { "routing table $it" },
            event.number("elapsed_ms")?.let { "after $it ms" },
            event.number("remaining_ms")?.let { "$it ms left" },
            event.number("sends")?.let { "$it sends that may have run" },
        )
        return if (details.isEmpty()) "" else details.joinToString(prefix = " (", postfix = ")")
    }

    private fun load(event: LogEvent): String {
        val occupancy = event.decimal("occupancy") ?: return ""
        return " with %.1f requests on ${event.number("slots")} slots".format(java.util.Locale.ROOT, occupancy)
    }

    /** Describes the latest events up to [decision] that concern its target, its key, the planner or the store, with their age. */
    private fun background(decision: LogEvent): List<String> {
        val decidedAtMs = decision.timeMs ?: return emptyList()
        val before = events.filter { event -> event.timeMs?.let { it <= decidedAtMs } ?: false }
        val target = decision.text("target")
        val key = decision.number("key")
        val related = listOfNotNull(
            before.lastOrNull { target != null && it.node == decision.node && it.event in TARGET_EVENTS && it.text("target") == target },
            before.lastOrNull {
                key != null &&
                    it.event in RANGE_EVENTS &&
                    covers(
                        it,
                        key,
                    ) &&
                    it.text("service") == decision.text("service")
            },
            before.lastOrNull { it.event == "planner_claimed" },
            before.lastOrNull { it.node == decision.node && it.event in STORE_EVENTS },
        )
        return related.map { "${decidedAtMs - (it.timeMs ?: 0)} ms before: ${it.node} ${it.event} ${fieldsOf(it)}".trimEnd() }
    }

    private fun covers(event: LogEvent, key: Long): Boolean {
        val from = event.number("from") ?: return false
        val to = event.number("to") ?: return false
        return key in from..to
    }

    private fun fieldsOf(event: LogEvent): String =
        BACKGROUND_FIELDS.mapNotNull { name -> event.text(name)?.let { "$name=$it" } }.joinToString(" ")

    private companion object {
        const val REQUEST_EVENT_PREFIX = "request_"
        val TARGET_EVENTS = setOf("target_seen", "target_draining", "target_paused", "target_gone", "target_suspected", "target_recovered")
        val RANGE_EVENTS = setOf("range_assigned", "range_released", "range_granted")
        val STORE_EVENTS = setOf("store_lost", "store_regained", "relay_started", "relay_ended")
        val BACKGROUND_FIELDS =
            listOf("target", "from", "to", "generation", "former_target", "reason", "stream", "term", "former_planner", "peer")
    }
}
