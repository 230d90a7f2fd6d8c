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
        Yuccactl(PrintStream(output), PrintStream(errors), httpClient(), SteppedTimer()) { FakeLog() }.run(arguments.toList())
    }

    private fun file(name: String, text: String) = Files.writeString(directory.resolve(name), text).toString()

    /** Guards against lines of several routers that are told in the order of the files, and against news that is newer than the decision. */
    @Test
    fun `puts the lines of several routers in order and tells the news before each decision`() {
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
        expectThat(text.indexOf("edge-1 sent")).isLessThan(text.indexOf("edge-2 refused"))
        expectThat(text).contains("500 ms before: edge-3 range_assigned target=t2 from=0 to=9 former_target=t1")
        expectThat(text.contains("late")).isEqualTo(false)
        expectThat(text).contains("1 lines are no events")
    }

    /** Guards against silence when the id is not in the logs. */
    @Test
    fun `says that no line names the request`() {
        expectThat(run("explain", "r9", file("a.log", "{\"event\":\"ready\"}"))).isEqualTo(ExitStatus.UNKNOWN)
        expectThat(errors.toString()).contains("no line of the logs names request r9")
    }

    /** Guards against a stack trace in place of an error. */
    @Test
    fun `says which file cannot be read`() {
        expectThat(run("explain", "r9", directory.resolve("none.log").toString())).isEqualTo(ExitStatus.USAGE)
        expectThat(errors.toString()).contains("none.log")
    }

    private val refusal = """{"time_ms":5,"event":"request_refused","node":"edge-1","request":"r1","outcome":"full"}"""

    /** Guards against one broken line that hides all others, and against an event that is lost behind the rest of a cut one. */
    @Test
    fun `reads what is whole among broken lines`() {
        val path = directory.resolve("a.log")
        val cut = """{"time_ms":4,"event":"request_repe"""
        val lines = listOf("{", "{\"event\":7}", "[]", "{\"time_ms\":1}", cut + refusal)
        Files.write(path, lines.joinToString("\n").toByteArray() + "\n".toByteArray() + byteArrayOf(-1, -2, 123))
        expectThat(run("explain", "r1", path.toString())).isEqualTo(ExitStatus.DONE)
        expectThat(output.toString()).contains("5 edge-1 refused the request as not run: full\n").contains("5 lines are no events")
    }

    /** Guards against steps that are told twice when logs overlap. */
    @Test
    fun `tells a step once when two files hold it`() {
        run("explain", "r1", file("a.log", refusal), file("b.log", refusal))
        expectThat(output.toString().split("refused the request")).hasSize(2)
    }

    /** Guards against fields that are not there and told as null. */
    @Test
    fun `leaves out what a line does not tell`() {
        val line = """{"time_ms":5,"event":"request_unknown","node":"edge-1","request":"r1","target":"t1","service":"s","sends":1}"""
        run("explain", "r1", file("a.log", line))
        expectThat(output.toString()).contains("at target t1 (service s, 1 sends that may have run)").not().contains("null")
    }

    /** Guards against a request that is searched in a file that is no router's log, and against a message that names no cause. */
    @Test
    fun `tells a file without events from logs that do not name the request`() {
        expectThat(run("explain", "r9", file("a.txt", "some text\nmore"))).isEqualTo(ExitStatus.USAGE)
        expectThat(errors.toString()).contains("none of the 2 lines is an event of a router")
        val dropping = refusal.replace("}", ""","dropped_before":40}""")
        expectThat(run("explain", "r9", file("b.log", dropping))).isEqualTo(ExitStatus.UNKNOWN)
        expectThat(errors.toString()).contains("among the 40 lines about requests that routers left out")
        expectThat(output.size()).isEqualTo(0)
    }

    /** Guards against text among the JSON. */
    @Test
    fun `gives JSON`() {
        expectThat(run("explain", "r1", file("a.log", "$refusal\ntext"), "--json")).isEqualTo(ExitStatus.DONE)
        val fields = Json.parseToJsonElement(output.toString()).jsonObject
        expectThat(fields.keys).containsExactly("request", "steps", "background", "skipped_lines")
        expectThat(fields.getValue("skipped_lines").jsonPrimitive.int).isEqualTo(1)
    }
}
