package yuccaflow.cli

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import yuccaflow.http.httpClient
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.nio.file.Files
import java.nio.file.Path

@DisplayName("yuccactl explain")
class ExplainTest {
    @TempDir
    lateinit var directory: Path

    private val output = ByteArrayOutputStream()
    private val errors = ByteArrayOutputStream()

    private fun run(vararg arguments: String): ExitStatus = runBlocking {
        Yuccactl(PrintStream(output), PrintStream(errors), httpClient(), AutoAdvancingTimer()) { FakeLog() }.run(arguments.toList())
    }

    private fun file(name: String, text: String) = Files.writeString(directory.resolve(name), text).toString()

    /** Events must be ordered by time instead of by file, and events after a decision must not appear as its background. */
    @Test
    fun `orders the events of several routers by time and adds the latest events before each decision`() {
        val second = file(
            "b.log",
            """ 7.1 edge-2 {"time_ms":2000,"event":"request_refused","node":"edge-2","request":"r1","service":"s","key":7,"outcome":"full"}
               {"time_ms":2500,"event":"range_assigned","node":"edge-3","service":"s","from":0,"to":9,"target":"late"}
            """,
        )
        val first = file(
            "a.log",
            """{"time_ms":1500,"event":"request_repeated","node":"edge-1","request":"r1","service":"s","key":7,"outcome":"status 421"}
               {"time_ms":1000,"event":"range_assigned","node":"edge-3","service":"s","from":0,"to":9,"target":"t2","former_target":"t1"}
               not an event
            """,
        )
        expectThat(run("explain", "r1", second, first)).isEqualTo(ExitStatus.DONE)
        val text = output.toString()
        expectThat(text.indexOf("edge-1 retried")).isLessThan(text.indexOf("edge-2 refused"))
        expectThat(text).contains("500 ms before: edge-3 range_assigned target=t2 from=0 to=9 former_target=t1")
        expectThat(text.contains("late")).isEqualTo(false)
        expectThat(text).contains("1 lines are not events")
    }

    /** The command must not print an empty result if no log has the id. */
    @Test
    fun `reports that no line mentions the request`() {
        expectThat(run("explain", "r9", file("a.log", "{\"event\":\"ready\"}"))).isEqualTo(ExitStatus.UNKNOWN)
        expectThat(errors.toString()).contains("no log line mentions request r9")
    }

    /** The command must report an unreadable file instead of failing with a stack trace. */
    @Test
    fun `reports which file cannot be read`() {
        expectThat(run("explain", "r9", directory.resolve("none.log").toString())).isEqualTo(ExitStatus.USAGE)
        expectThat(errors.toString()).contains("none.log")
    }

    private val refusal = """{"time_ms":5,"event":"request_refused","node":"edge-1","request":"r1","outcome":"full"}"""

    /** One malformed line must not hide the others, nor a truncated event the event that follows it on the same line. */
    @Test
    fun `reads the intact events among malformed lines`() {
        val path = directory.resolve("a.log")
        val truncated = """{"time_ms":4,"event":"request_repe"""
        val lines = listOf("{", "{\"event\":7}", "[]", "{\"time_ms\":1}", truncated + refusal)
        Files.write(path, lines.joinToString("\n").toByteArray() + "\n".toByteArray() + byteArrayOf(-1, -2, 123))
        expectThat(run("explain", "r1", path.toString())).isEqualTo(ExitStatus.DONE)
        expectThat(output.toString()).contains("5 edge-1 refused the request as not run: full\n").contains("5 lines are not events")
    }

    /** Overlapping logs contain the same event more than once. */
    @Test
    fun `prints an event once if two files contain it`() {
        run("explain", "r1", file("a.log", refusal), file("b.log", refusal))
        expectThat(output.toString().split("refused the request")).hasSize(2)
    }

    /** Missing fields must not be printed as null. */
    @Test
    fun `omits the fields that an event does not have`() {
        val line = """{"time_ms":5,"event":"request_unknown","node":"edge-1","request":"r1","target":"t1","service":"s","sends":1}"""
        run("explain", "r1", file("a.log", line))
        expectThat(output.toString()).contains("at target t1 (service s, 1 sends that may have run)").not().contains("null")
    }

    /** A file that is not a router's log must not be reported as a log without the request, which has other causes. */
    @Test
    fun `distinguishes a file without events from logs that do not mention the request`() {
        expectThat(run("explain", "r9", file("a.txt", "some text\nmore"))).isEqualTo(ExitStatus.USAGE)
        expectThat(errors.toString()).contains("none of the 2 lines is an event of a router")
        val dropping = refusal.replace("}", ""","dropped_before":40}""")
        expectThat(run("explain", "r9", file("b.log", dropping))).isEqualTo(ExitStatus.UNKNOWN)
        expectThat(errors.toString()).contains("among the 40 request events that the routers dropped")
        expectThat(output.size()).isEqualTo(0)
    }

    /** The JSON must not be mixed with text. */
    @Test
    fun `prints JSON`() {
        expectThat(run("explain", "r1", file("a.log", "$refusal\ntext"), "--json")).isEqualTo(ExitStatus.DONE)
        val fields = Json.parseToJsonElement(output.toString()).jsonObject
        expectThat(fields.keys).containsExactly("request", "steps", "background", "skipped_lines")
        expectThat(fields.getValue("skipped_lines").jsonPrimitive.int).isEqualTo(1)
    }
}
