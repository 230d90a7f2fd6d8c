package yuccaflow.cli

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import yuccaflow.control.AdminJson
import yuccaflow.control.ConfigRecord
import yuccaflow.control.ConfigState
import yuccaflow.control.ControlRecord
import yuccaflow.control.OwnersReport
import yuccaflow.control.RangeReport
import yuccaflow.control.RouterId
import yuccaflow.control.ServiceName
import yuccaflow.control.SpanReport
import yuccaflow.control.TargetId
import yuccaflow.control.TraceReport
import yuccaflow.control.applyConfigRecord
import yuccaflow.control.emptyControlTable
import yuccaflow.control.snapshotOf
import yuccaflow.external.Streams
import yuccaflow.http.httpClient
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.nio.file.Files
import java.nio.file.Path

@DisplayName("yuccactl")
class YuccactlTest {
    @TempDir
    lateinit var directory: Path

    private val log = FakeLog()
    private val timer = AutoAdvancingTimer()
    private val client = httpClient()
    private val routers = mutableListOf<FakeRouter>()
    private val output = ByteArrayOutputStream()
    private val errors = ByteArrayOutputStream()

    private fun run(vararg arguments: String): ExitStatus = runBlocking {
        Yuccactl(PrintStream(output), PrintStream(errors), client, timer) { log }.run(arguments.toList())
    }

    private fun runWithLog(vararg arguments: String) = run("--log", "127.0.0.1:9000", *arguments)

    private fun note(id: String, zone: String = "brest", region: String = "breizh") =
        "[note]\nid = $id\nbase = 0\n[zone $zone]\naction = add\nregion = $region\n"

    private fun publish(text: String = note("n-1")) =
        runWithLog("publish", Files.writeString(directory.resolve("note.ini"), text).toString())

    private fun router(id: String, configPosition: Long): FakeRouter {
        val router = FakeRouter(id, configPosition)
        routers += router
        log.add(router.registration())
        return router
    }

    @AfterEach
    fun stop() = runBlocking {
        routers.forEach { it.close() }
        client.close()
    }

    @Nested
    @DisplayName("publishing")
    inner class Publishing {
        @Test
        fun `waits until the note is in force on every live router`() {
            router("r-1", 1)
            val slow = router("r-2", 0)
            timer.onSleep = { slow.configPosition = 1 }
            expectThat(publish()).isEqualTo(ExitStatus.DONE)
            expectThat(errors.toString()).contains("In force on 1 of 2 live routers")
            expectThat(output.toString()).contains("in force on all 2 live routers")
        }

        @Test
        fun `does not append again if the record took effect and only the response was lost`() {
            log.appendFaults += AppendFault.ANSWER_LOST
            expectThat(publish()).isEqualTo(ExitStatus.DONE)
            expectThat(log.appendCount).isEqualTo(1)
        }

        @Test
        fun `appends again if the stream does not hold the record`() {
            log.appendFaults += AppendFault.RECORD_LOST
            expectThat(publish()).isEqualTo(ExitStatus.DONE)
            expectThat(log.configRecords()).hasSize(1)
        }

        @Test
        fun `applies a note once even if the lost append takes effect after the stream was read`() {
            log.appendFaults += AppendFault.TAKES_EFFECT_LATE
            expectThat(publish()).isEqualTo(ExitStatus.DONE)
            expectThat(log.configRecords()).hasSize(2)
            expectThat(errors.toString()).contains("accepted as version 1 (offset 1)")
        }

        @Test
        fun `does not append again while the stream cannot be read`() {
            log.appendFaults += AppendFault.ANSWER_LOST
            log.isReadable = { log.appendCount == 0 }
            expectThat(publish()).isEqualTo(ExitStatus.UNKNOWN)
            expectThat(log.appendCount).isEqualTo(1)
            expectThat(errors.toString()).contains("Run the command again with the same file")
        }

        @Test
        fun `finds the note in the stream if the command is run again`() {
            log.appendFaults += AppendFault.ANSWER_LOST
            log.isReadable = { log.appendCount == 0 }
            publish()
            log.isReadable = { true }
            expectThat(publish()).isEqualTo(ExitStatus.DONE)
            expectThat(log.appendCount).isEqualTo(1)
        }

        @Test
        fun `rejects a note that conflicts with a concurrent one and prints the reason`() {
            log.onNextAppend = { log.add(ConfigRecord.Note("n-2", note("n-2", region = "other"))) }
            expectThat(publish()).isEqualTo(ExitStatus.REJECTED)
            expectThat(output.toString()).contains("[zone brest] was changed by version 1")
        }

        @Test
        fun `rejects a note whose id a different concurrent note has used`() {
            log.onNextAppend = { log.add(ConfigRecord.Note("n-1", note("n-1", zone = "rennes"))) }
            expectThat(publish()).isEqualTo(ExitStatus.REJECTED)
            expectThat(output.toString()).contains("the id n-1 is already in use")
        }

        @Test
        fun `does not append a note that would be rejected, since this would use up its id`() {
            log.add(ConfigRecord.Note("n-2", note("n-2")))
            expectThat(publish()).isEqualTo(ExitStatus.REJECTED)
            expectThat(log.appendCount).isEqualTo(0)
        }

        @Test
        fun `distinguishes an unreachable log service from an unknown outcome`() {
            log.appendFaults += AppendFault.REFUSED
            expectThat(publish()).isEqualTo(ExitStatus.UNREACHABLE)
            expectThat(log.appendCount).isEqualTo(1)
        }

        @Test
        fun `reports an unknown outcome if a lost append is followed by failed ones`() {
            log.appendFaults += AppendFault.RECORD_LOST
            log.appendFaults += List(1_000) { AppendFault.REFUSED }
            expectThat(publish()).isEqualTo(ExitStatus.UNKNOWN)
        }

        @Test
        fun `lists the routers on which the note is not in force at the time limit`() {
            router("r-1", 1)
            router("r-2", 0)
            routers += FakeRouter("r-3").also { log.add(it.registration()) }
            routers.last().close()
            expectThat(publish()).isEqualTo(ExitStatus.UNKNOWN)
            expectThat(output.toString()).contains("host-r-2  it has read `config` up to offset 0 of 1").contains("host-r-3")
            expectThat(errors.toString()).contains("the note n-1 is accepted and will not be reverted")
        }

        @Test
        fun `does not wait for a router whose lease has ended`() {
            router("r-1", 1)
            router("r-2", 0)
            timer.onSleep = {
                log.add(ControlRecord.RouterLeaving(RouterId("r-2")))
                log.add(ControlRecord.RouterStopped(RouterId("r-2")))
            }
            expectThat(publish()).isEqualTo(ExitStatus.DONE)
        }

        @Test
        fun `reports all mistakes in a note and publishes nothing`() {
            expectThat(publish("[note]\nid = n-1\n[zone brest]\naction = paint\n")).isEqualTo(ExitStatus.USAGE)
            expectThat(output.toString()).contains("[note] base").contains("[zone brest] action")
            expectThat(log.appendCount).isEqualTo(0)
        }

        @Test
        fun `marks a zone as leaving and rejects an unknown zone`() {
            publish()
            expectThat(runWithLog("leave", "zone", "brest")).isEqualTo(ExitStatus.DONE)
            expectThat(runWithLog("leave", "zone", "paris")).isEqualTo(ExitStatus.REJECTED)
            output.reset()
            expectThat(runWithLog("notes")).isEqualTo(ExitStatus.DONE)
            expectThat(output.toString()).contains("Version 2\nLeaving: zone brest")
        }

        @Test
        fun `prints the result as JSON`() {
            router("r-1", 1)
            publish(note("n-1"))
            output.reset()
            runWithLog("--json", "publish", directory.resolve("note.ini").toString())
            expectThat(output.toString()).contains("\"result\": \"accepted\"").contains("\"in_force\": [").contains("\"r-1\"")
        }
    }

    @Nested
    @DisplayName("with expired records")
    inner class Expired {
        private val state = applyConfigRecord(ConfigState.Empty, 1, ConfigRecord.Note("n-0", note("n-0", zone = "rennes")))

        @Test
        fun `starts from the latest checkpoint`() {
            router("r-1", 2)
            log.add(ConfigRecord.Note("n-0", note("n-0", zone = "rennes")))
            val table = emptyControlTable().apply(1, routers.single().registration()).table
            log.add(ControlRecord.Checkpoint(snapshotOf(table, state)))
            log.expireBefore(Streams.CONTROL, 2)
            log.expireBefore(Streams.CONFIG, 2)
            expectThat(publish()).isEqualTo(ExitStatus.DONE)
            expectThat(errors.toString()).contains("accepted as version 2")
            expectThat(output.toString()).contains("in force on all 1 live routers")
        }

        @Test
        fun `publishes nothing if there is no checkpoint`() {
            log.add(ConfigRecord.Note("n-0", note("n-0", zone = "rennes")))
            log.expireBefore(Streams.CONFIG, 2)
            expectThat(publish()).isEqualTo(ExitStatus.UNREACHABLE)
            expectThat(log.appendCount).isEqualTo(0)
        }
    }

    @Nested
    @DisplayName("showing the state")
    inner class Showing {
        @Test
        fun `lists routers with and without a response`() {
            router("r-1", 3)
            router("r-2", 3).close()
            expectThat(runWithLog("status")).isEqualTo(ExitStatus.DONE)
            expectThat(output.toString()).contains("host-r-1").contains(Regex("brest +host-r-2 +\\S+ +no answer"))
        }

        @Test
        fun `exits as unreachable if no router responds`() {
            router("r-1", 3).close()
            expectThat(runWithLog("owners")).isEqualTo(ExitStatus.UNREACHABLE)
        }

        @Test
        fun `queries a single router without the log service`() {
            val range = RangeReport(ServiceName("katalog"), "", "m", TargetId("katalog-01"), 7, true, TargetId("katalog-02"))
            val queried = router("r-1", 3)
            queried.reports["/owners"] = AdminJson.encodeToString(OwnersReport.serializer(), OwnersReport(9, listOf(range)))
            log.isReadable = { false }
            expectThat(run("owners", "--router", queried.address.toString())).isEqualTo(ExitStatus.DONE)
            expectThat(output.toString()).contains("katalog  \"\"    \"m\"  katalog-01  7      to katalog-02")
        }

        @Test
        fun `merges the spans of a request from all routers in order`() {
            val entry = SpanReport("entry", "t", "s-1", null, "host-r-1", 1_000, 5_000, emptyMap())
            val primary = SpanReport("primary", "t", "s-2", "s-1", "host-r-2", 2_000, 3_000, mapOf("target" to "katalog-01"))
            listOf(router("r-1", 3) to entry, router("r-2", 3) to primary).forEach { (router, span) ->
                router.reports["/trace/q-1"] = AdminJson.encodeToString(TraceReport.serializer(), TraceReport("q-1", listOf(span)))
            }
            expectThat(runWithLog("trace", "q-1")).isEqualTo(ExitStatus.DONE)
            expectThat(output.toString()).contains("  primary  host-r-2  1.0       3.0          target=katalog-01")
        }
    }

    @Nested
    @DisplayName("parsing the command line")
    inner class Usage {
        @ParameterizedTest
        @ValueSource(
            strings = [
                "", "paint", "publish", "leave zoo brest --log 127.0.0.1:1", "leave zone --log 127.0.0.1:1", "status", "notes",
                "status --log localhost:1", "status --log 127.0.0.1:1 --timeout 0", "status --router 127.0.0.1", "check missing.ini",
            ],
        )
        fun `rejects invalid command lines with status 2 and a message`(line: String) {
            expectThat(run(*line.split(' ').filter { it.isNotEmpty() }.toTypedArray())).isEqualTo(ExitStatus.USAGE)
            expectThat(errors.size()).isGreaterThan(0)
        }

        @Test
        fun `prints the help with the exit statuses, and the version`() {
            expectThat(run("--help")).isEqualTo(ExitStatus.DONE)
            expectThat(output.toString()).contains("Exit statuses: 0 done")
            expectThat(run("--version")).isEqualTo(ExitStatus.DONE)
        }
    }
}
