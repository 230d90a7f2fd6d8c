package yuccaflow.cli

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.single
import yuccaflow.entry.view.DesiredLimits
import yuccaflow.entry.view.DesiredRoute
import yuccaflow.entry.view.DesiredService
import yuccaflow.entry.view.DesiredShare
import yuccaflow.entry.view.DesiredState
import yuccaflow.entry.view.ListedFormerHolder
import yuccaflow.entry.view.ListedPlanner
import yuccaflow.entry.view.ListedRange
import yuccaflow.entry.view.ListedRouter
import yuccaflow.entry.view.ListedTarget
import yuccaflow.entry.view.RangeList
import yuccaflow.entry.view.RejectedRecord
import yuccaflow.entry.view.RouterList
import yuccaflow.entry.view.StateReader
import yuccaflow.entry.view.StateResult
import yuccaflow.entry.view.TargetList
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpServerLimits
import yuccaflow.http.SocketAddress
import yuccaflow.http.httpClient
import yuccaflow.http.httpServer
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.ServerSocket

/** Returns the state that the test has set. */
private class FakeStateReader : StateReader {
    var desired = DesiredState(
        version = 7,
        emptiedZones = listOf("brest"),
        routes = listOf(
            DesiredRoute(
                name = "r-1",
                host = "h",
                pathPrefix = "/b/",
                isIdempotent = false,
                timeoutMs = 2_000,
                objectiveMs = 150,
                attempts = 2,
                priority = 1,
                shares = listOf(DesiredShare("buse", 0.9), DesiredShare("katalog", 0.1)),
            ),
        ),
        services = listOf(DesiredService("buse", isKeyed = true, connectionLimit = 50, coldStartMs = 1_000, coldPerS = 10.0)),
        limits = DesiredLimits(headerBytes = 1, bodyBytes = 2, requestTimeoutMs = 3, idleTimeoutMs = 4),
        rejected = emptyList(),
    )
    var targets = TargetList(
        listOf("in service", "draining", "leaving").mapIndexed { index, state ->
            ListedTarget("t-$index", "buse", "brest", "10.0.0.$index:80", 4, state == "draining", state == "leaving", 0, 1_000)
        },
        emptyList(),
    )
    var ranges = RangeList(
        endOffset = 20,
        ranges = listOf(
            ListedRange("buse", 0, 99, "t-0", "brest", "10.0.0.0:80", 1_000, 12, 8, false, emptyList()),
            ListedRange("buse", 100, 65_535, "t-1", "brest", "a", null, 18, 2, true, listOf(ListedFormerHolder("t-0", 11))),
        ),
        rejected = emptyList(),
    )
    var routers = RouterList(
        planner = ListedPlanner("edge-2", "life-1", 3),
        candidates = listOf("edge-2/life-1"),
        routers = listOf("edge-1", "edge-2").map { ListedRouter(it, "brest", "10.0.0.9:1") },
        rejected = emptyList(),
    )

    override suspend fun desiredState() = StateResult.Known(desired)

    override suspend fun targets() = StateResult.Known(targets)

    override suspend fun ranges() = StateResult.Known(ranges)

    override suspend fun routers() = StateResult.Known(routers)
}

@DisplayName("yuccactl with a platform's store")
class StoreCommandsTest {
    private val output = ByteArrayOutputStream()
    private val errors = ByteArrayOutputStream()
    private val reader = FakeStateReader()

    private fun errorLines() = errors
        .toString()
        .trim()
        .lines()
        .filter { it.isNotEmpty() }

    private fun run(storeAt: (SocketAddress) -> StateReader, arguments: List<String>): ExitStatus = runBlocking {
        Yuccactl(PrintStream(output), PrintStream(errors), httpClient(), AutoAdvancingTimer(), storeAt) { FakeLog() }.run(arguments)
    }

    private fun runOnFake(vararg arguments: String) = run({ reader }, listOf("--store", "127.0.0.1:9") + arguments)

    @Nested
    @DisplayName("showing the state")
    inner class Showing {
        /** The planner must be distinguishable from the other routers. */
        @Test
        fun `status marks the planner`() {
            expectThat(runOnFake("status")).isEqualTo(ExitStatus.DONE)
            expectThat(output.toString())
                .contains("Planner: edge-2, term 3, life life-1\nCandidates: edge-2/life-1")
                .contains(Regex("edge-1 +brest +10.0.0.9:1 +-"))
                .contains(Regex("edge-2 +brest +10.0.0.9:1 +planner"))
            expectThat(errorLines()).isEmpty()
        }

        /** A missing planner and an unknown group must be visible in the output. */
        @Test
        fun `status shows that there is no planner and that the group is unknown`() {
            reader.routers = reader.routers.copy(planner = null, candidates = null)
            expectThat(runOnFake("status")).isEqualTo(ExitStatus.DONE)
            expectThat(output.toString()).contains("Planner: none\nCandidates: unknown")
            expectThat(errorLines()).single().contains("the members of the routers' group are unknown")
        }

        /** The command must not succeed if no router has ever started. */
        @Test
        fun `status without routers exits as unreachable, as with a log without live routers`() {
            reader.routers = RouterList(null, emptyList(), emptyList(), emptyList())
            expectThat(runOnFake("status")).isEqualTo(ExitStatus.UNREACHABLE)
            expectThat(errorLines()).single().contains("no router has registered")
        }

        /** A range that is moving must not look as if its owner had confirmed the grant. */
        @Test
        fun `owners shows generations, ages and moves`() {
            expectThat(runOnFake("owners")).isEqualTo(ExitStatus.DONE)
            expectThat(output.toString())
                .contains(Regex("buse +0 +99 +t-0 +brest +12 +8 +1970-01-01T00:00:01Z +-"))
                .contains(Regex("buse +100 +65535 +t-1 +brest +18 +2 +- +from t-0"))
        }

        /** A target that is draining or leaving must not look as if it were in service. */
        @Test
        fun `targets shows the state of each target`() {
            expectThat(runOnFake("targets")).isEqualTo(ExitStatus.DONE)
            expectThat(output.toString())
                .contains(Regex("t-0 .* in service"))
                .contains(Regex("t-1 .* draining"))
                .contains(Regex("t-2 .* leaving"))
        }

        /** No part of the routing table may be missing from the output. */
        @Test
        fun `notes shows the routing table and the evacuated zones`() {
            expectThat(runOnFake("notes")).isEqualTo(ExitStatus.DONE)
            expectThat(output.toString())
                .contains("Version 7\nLeaving: zone brest")
                .contains(Regex("r-1 +h +/b/ +no +2000 +150 +2 +1 +buse:0.9, katalog:0.1"))
                .contains(Regex("buse +yes +50 +1000 +10.0"))
        }

        /** The command must not succeed if the routing table in force is unknown. */
        @Test
        fun `notes reports that there is no valid routing table, and why`() {
            reader.desired = DesiredState(null, emptyList(), emptyList(), emptyList(), null, listOf(RejectedRecord("config", 4, "no JSON")))
            expectThat(runOnFake("notes")).isEqualTo(ExitStatus.UNKNOWN)
            expectThat(errors.toString())
                .contains("skipped the record config at offset 4: no JSON")
                .contains("no valid routing table")
        }

        /** The JSON must not be mixed with text, and its fields must be named in the same style as in the reports of routers. */
        @ParameterizedTest
        @ValueSource(strings = ["status term", "owners age_records", "targets is_zone_emptied", "notes emptied_zones"])
        fun `prints JSON`(line: String) {
            val (command, field) = line.split(' ')
            expectThat(runOnFake(command, "--json")).isEqualTo(ExitStatus.DONE)
            expectThat(output.toString().trim()).contains("\"$field\"").contains(Regex("(?s)^\\{.*}$"))
        }
    }

    @Nested
    @DisplayName("with the platform adapter")
    inner class WithAdapter {
        private fun expectUnreachable(address: SocketAddress) {
            for (command in listOf("status", "owners", "targets", "notes")) {
                errors.reset()
                expectThat(run(::platformStore, listOf(command, "--store", address.toString()))).isEqualTo(ExitStatus.UNREACHABLE)
                expectThat(errorLines()).hasSize(1).get { single() }.contains("cannot read the store at $address: ")
            }
            expectThat(output.size()).isEqualTo(0)
        }

        private fun expectUnreachable(response: HttpResponse) = runBlocking {
            val server = httpServer(SocketAddress("127.0.0.1", 0), HttpServerLimits()) { response }
            expectUnreachable(server.address)
            server.close(0)
        }

        /** A store that is down must not lead to a stack trace or an empty table. */
        @Test
        fun `reports that the connection is refused`() =
            expectUnreachable(ServerSocket(0).use { SocketAddress("127.0.0.1", it.localPort) })

        /** An error response must not look like an empty store. */
        @Test
        fun `reports an error response of the store`() = listOf(503, 429, 500).forEach { expectUnreachable(HttpResponse(it)) }

        /** The response of another kind of server must not be mistaken for that of a store. */
        @Test
        fun `reports a response that is not in the format of a store`() {
            val bodies = listOf("<html>", "{}", "[]", """{"end_offset":1,"items":[{"key":"k","value":"no base64!","offset":0}]}""")
            bodies.forEach { expectUnreachable(HttpResponse(200, body = it.toByteArray())) }
        }

        /** The command must not hang on a store that accepts connections and never responds. */
        @Test
        fun `reports a store that does not respond, within a few seconds`() {
            ServerSocket(0).use { unresponsive ->
                val startedNanos = System.nanoTime()
                val address = SocketAddress("127.0.0.1", unresponsive.localPort)
                expectThat(run(::platformStore, listOf("owners", "--store", address.toString()))).isEqualTo(ExitStatus.UNREACHABLE)
                expectThat((System.nanoTime() - startedNanos) / NANOS_PER_MS).isLessThan(MAX_READ_MS)
                expectThat(errorLines()).single().contains("cannot read the store at $address: ")
            }
        }
    }

    @Nested
    @DisplayName("parsing the command line")
    inner class Usage {
        /** A command must not read from another place than the options name, and must not write to the platform's store. */
        @ParameterizedTest
        @ValueSource(
            strings = [
                "status --store nowhere", "status --store 127.0.0.1:9 --log 127.0.0.1:8", "notes --store 127.0.0.1:9 --log 127.0.0.1:8",
                "owners --store 127.0.0.1:9 --router 127.0.0.1:8", "publish n.ini --store 127.0.0.1:9",
                "publish n.ini --store 127.0.0.1:9 --log 127.0.0.1:8", "leave zone brest --store 127.0.0.1:9",
                "trace q-1 --store 127.0.0.1:9",
            ],
        )
        fun `rejects invalid command lines with status 2 and one line`(line: String) {
            expectThat(run({ reader }, line.split(' '))).isEqualTo(ExitStatus.USAGE)
            expectThat(errorLines()).single().contains("--store: ")
            expectThat(output.size()).isEqualTo(0)
        }
    }

    private companion object {
        const val MAX_READ_MS = 4_000L
        const val NANOS_PER_MS = 1_000_000L
    }
}
