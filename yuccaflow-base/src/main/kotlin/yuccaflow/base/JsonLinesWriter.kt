package yuccaflow.base

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.tinylog.core.LogEntry
import org.tinylog.core.LogEntryValue
import org.tinylog.writers.Writer
import java.io.PrintStream

/**
 * A tinylog writer that prints each log entry to standard output as a JSON object on one line. The JSON writer of tinylog itself writes
 * to files only.
 *
 * tinylog creates it for the writer name `json lines` in its settings.
 */
class JsonLinesWriter(
    private val output: PrintStream,
) : Writer {
    /** The constructor that tinylog requires. The properties are unused, because this writer has none. */
    constructor(
        @Suppress("UNUSED_PARAMETER") properties: Map<String, String>,
    ) : this(System.out)

    override fun getRequiredLogEntryValues(): Collection<LogEntryValue> =
        setOf(
            LogEntryValue.DATE,
            LogEntryValue.LEVEL,
            LogEntryValue.CLASS,
            LogEntryValue.MESSAGE,
            LogEntryValue.EXCEPTION,
            LogEntryValue.CONTEXT,
        )

    override fun write(entry: LogEntry) {
        output.println(toJson(entry).toString())
    }

    override fun flush() = output.flush()

    override fun close() = output.flush()

    private fun toJson(entry: LogEntry): JsonObject = buildJsonObject {
        entry.context.orEmpty().forEach { (name, value) -> put(name, value) }
        put("time", entry.timestamp.toInstant().toString())
        put("level", entry.level.name.lowercase())
        put("logger", entry.className.substringAfterLast('.'))
        put("message", entry.message.orEmpty())
        entry.exception?.let { put("error", it.stackTraceToString()) }
    }
}
