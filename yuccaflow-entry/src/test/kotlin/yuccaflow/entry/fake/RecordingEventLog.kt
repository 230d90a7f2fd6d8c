package yuccaflow.entry.fake

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import yuccaflow.entry.telemetry.EventFields
import yuccaflow.entry.telemetry.EventLog

/** Keeps all events in memory. */
internal class RecordingEventLog : EventLog {
    val events = ArrayList<Pair<String, JsonObject>>()

    override fun log(event: String, fields: EventFields.() -> Unit) {
        events += event to buildJsonObject { EventFields(this).fields() }
    }

    fun count(event: String): Int = events.count { it.first == event }
}
