package yuccaflow.entry.telemetry

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import yuccaflow.entry.fake.ManualTimer
import java.io.OutputStream
import java.io.PipedInputStream
import java.io.PipedOutputStream
import java.util.concurrent.CountDownLatch

@DisplayName("The event log")
class EventLogTest {
    private val timer = ManualTimer()

    /** Guards against requests that block because the log's reader has stopped reading. */
    @Test
    @Timeout(10)
    fun `never blocks if the output does`() {
        val blocked = object : OutputStream() {
            override fun write(byte: Int) = CountDownLatch(1).await()
        }
        val log = eventLog(blocked, timer, "n", "z", EventLogLimits(eventsPerS = 1_000_000, queuedLines = 10))
        repeat(10_000) { log.log("event") { put("number", it) } }
    }

    /** Guards against a flood of lines, and against lines that are dropped without a report. */
    @Test
    @Timeout(10)
    fun `limits the lines per event and reports how many were dropped`() {
        val input = PipedInputStream(65_536)
        val log = eventLog(PipedOutputStream(input), timer, "n", "z", EventLogLimits(eventsPerS = 3))
        repeat(10) { log.log("event") }
        timer.now += 1_000
        log.log("event") { put("request", "r1") }
        val lines = input
            .bufferedReader()
            .lineSequence()
            .take(4)
            .toList()
        expectThat(lines).hasSize(4)
        val last = Json.parseToJsonElement(lines.last()).jsonObject
        expectThat(last.getValue("dropped_before").toString()).isEqualTo("7")
        expectThat(last.getValue("request").toString()).isEqualTo("\"r1\"")
    }
}
