package yuccaflow.entry.telemetry

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import yuccaflow.base.TimerService
import yuccaflow.http.EssentialThreads
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Builder of the fields of one event. */
class EventFields internal constructor(
    private val json: JsonObjectBuilder,
) {
    /** Adds a string field, or nothing if [value] is null. */
    fun put(name: String, value: String?) {
        if (value != null) json.put(name, JsonPrimitive(value))
    }

    /** Adds a number field, or nothing if [value] is null. */
    fun put(name: String, value: Number?) {
        if (value != null) json.put(name, JsonPrimitive(value))
    }

    /** Adds a Boolean field. */
    fun put(name: String, value: Boolean) {
        json.put(name, JsonPrimitive(value))
    }
}

/** Writes the router's decisions and the changes of its view of the system as JSON lines. Never blocks the caller. */
interface EventLog {
    /** Writes an event, unless the rate limit of its name is reached; then [fields] is not called. */
    fun log(event: String, fields: EventFields.() -> Unit = {})
}

/**
 * Limits of an [EventLog].
 *
 * @property eventsPerS lines per second and event name. Further ones are dropped and counted.
 * @property queuedLines lines that wait for a slow output. Further ones are dropped and counted.
 */
data class EventLogLimits(
    val eventsPerS: Int = 20,
    val queuedLines: Int = 2_000,
)

/** Creates an event log that writes to [output] from its own thread. Each line has the fields [node] and [zone]. */
fun eventLog(output: OutputStream, timer: TimerService, node: String, zone: String, limits: EventLogLimits = EventLogLimits()): EventLog =
    JsonEventLog(output, timer, node, zone, limits)

internal class JsonEventLog(
    private val output: OutputStream,
    private val timer: TimerService,
    private val node: String,
    private val zone: String,
    private val limits: EventLogLimits,
) : EventLog {
    private val queue = ArrayBlockingQueue<ByteArray>(limits.queuedLines)
    private val windows = HashMap<String, RateWindow>()

    /** Lines that were dropped because the queue was full and that no written line has reported yet. */
    private val unreportedQueueDrops = AtomicLong()

    init {
        val body = EssentialThreads.guard("event-log") { writeLines() }
        thread(name = "event-log", isDaemon = true) { body.run() }
    }

    /** Counts of one event name in the current one-second window. */
    private class RateWindow(
        var windowStartMs: Long,
    ) {
        var count = 0
        var dropped = 0L
    }

    @Synchronized
    override fun log(event: String, fields: EventFields.() -> Unit) {
        val nowMs = timer.nowMs()
        val window = windows.getOrPut(event) { RateWindow(nowMs) }
        if (nowMs - window.windowStartMs >= WINDOW_MS) {
            window.windowStartMs = nowMs
            window.count = 0
        }
        if (window.count >= limits.eventsPerS) {
            window.dropped++
            return
        }
        window.count++
        val queueDrops = unreportedQueueDrops.getAndSet(0)
        val line = buildJsonObject {
            put("time_ms", JsonPrimitive(System.currentTimeMillis()))
            put("steady_ms", JsonPrimitive(nowMs))
            put("event", JsonPrimitive(event))
            put("node", JsonPrimitive(node))
            put("zone", JsonPrimitive(zone))
            EventFields(this).fields()
            if (window.dropped > 0) put("dropped_before", JsonPrimitive(window.dropped))
            if (queueDrops > 0) put("unqueued_before", JsonPrimitive(queueDrops))
        }
        if (queue.offer((line.toString() + "\n").toByteArray())) window.dropped = 0 else unreportedQueueDrops.addAndGet(queueDrops + 1)
    }

    private fun writeLines() {
        val buffered = output.buffered()
        while (true) {
            buffered.write(queue.take())
            while (true) buffered.write(queue.poll() ?: break)
            buffered.flush()
        }
    }

    private companion object {
        const val WINDOW_MS = 1_000L
    }
}
