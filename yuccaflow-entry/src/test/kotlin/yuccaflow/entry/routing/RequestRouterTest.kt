package yuccaflow.entry.routing

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import yuccaflow.entry.balance.ColdStartLimiter
import yuccaflow.entry.balance.ColdStartLimits
import yuccaflow.entry.balance.TargetChooser
import yuccaflow.entry.config.CallerLimits
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.config.RequestKind
import yuccaflow.entry.config.Route
import yuccaflow.entry.config.RoutingTable
import yuccaflow.entry.config.ServiceShare
import yuccaflow.entry.directory.OperatorRecord
import yuccaflow.entry.directory.RecordDecoder
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.ManualTimer
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.telemetry.RouterMeters
import yuccaflow.http.HttpClient
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpResult
import yuccaflow.http.SocketAddress
import yuccaflow.http.headersOf

@DisplayName("The router of requests")
class RequestRouterTest {
    private val names = HeaderNames()
    private val timer = ManualTimer(1_000)
    private val log = RecordingEventLog()
    private val sent = ArrayList<Pair<SocketAddress, HttpRequest>>()
    private var answers: (Int) -> HttpResult = { served() }

    private object Table : RecordDecoder by FakeRecords {
        override fun decodeOperatorRecord(key: String, value: ByteArray?): OperatorRecord = OperatorRecord.Table(
            RoutingTable(
                1,
                persistentListOf(route("read", RequestKind.IDEMPOTENT), route("book", RequestKind.NON_IDEMPOTENT)),
                persistentMapOf("s" to FakeRecords.rules("s")),
                CallerLimits(8_192, 65_536, 1_000, 1_000),
            ),
        )

        private fun route(name: String, kind: RequestKind) =
            Route(name, "h", "/$name/", kind, 1_000, 200, 2, 1, persistentListOf(ServiceShare("s", 1.0)))
    }

    private val client = object : HttpClient {
        override suspend fun send(
            address: SocketAddress,
            request: HttpRequest,
            timeoutMs: Long,
            expectedRequestId: String?,
            maySend: () -> Boolean,
        ): HttpResult {
            sent += address to request
            return answers(sent.size)
        }

        override suspend fun close() = Unit
    }

    private val operators = OperatorState(Table, timer, log)
    private val directory = TargetDirectory(Table, operators, timer, log) { null }
    private val chooser = TargetChooser(directory, "a", timer, ColdStartLimiter("n", ColdStartLimits(1.5, 5.0), operators) { setOf("n") })
    private val router = RequestRouter(
        RoutingDependencies(
            operators,
            chooser,
            KeyOwnerChooser(ClusterState(timer, log), directory, operators, chooser, timer) { },
            TargetClient(client, names),
            { budget },
            { _, _ -> },
            RouterMeters("n", "a"),
        ),
        names,
        timer,
        log,
    )
    private var budget = RetryBudget(RetryBudgetSettings(share = 1.0, extraSends = 100.0, windowMs = 1_000)) { 1 }

    private fun served(status: Int = 200) =
        HttpResult.Answered(HttpResponse(status, headersOf(names.signature to "sig"), "body".toByteArray()))

    private fun shed() = HttpResult.Answered(HttpResponse(503, headersOf(names.notRun to "1")))

    private suspend fun ask(path: String, targets: Int = 3, deadlineMs: Long = 900): HttpResponse {
        operators.onSnapshot(listOf(KeyedRecord("table", ByteArray(0), 0)), 1)
        val entries = List(targets) { FakeRecords.targetChange(FakeRecords.entry("t$it", it + 1, service = "s")) }
        directory.onSnapshot(entries.mapIndexed { index, change -> KeyedRecord(change.key, change.value, index.toLong()) }, 9)
        budget.earn(timer.now)
        timer.now += 1_000
        budget.earn(timer.now)
        val headers = headersOf("Host" to "h", names.requestId to "r1", names.deadlineMs to "$deadlineMs")
        return router.handle(HttpRequest("GET", path, headers))
    }

    @Nested
    @DisplayName("given a request that must run at most once")
    inner class AtMostOnce {
        /** Guards against a booking that runs twice after its first answer was lost. */
        @Test
        fun `does not send again when the answer is lost`() = runTest {
            answers = { HttpResult.Unknown("reset") }
            expectThat(ask("/book/1").status).isEqualTo(502)
            expectThat(sent).hasSize(1)
        }

        /** Guards against a booking that runs twice after its target failed it. */
        @Test
        fun `passes a failure of the target on`() = runTest {
            answers = { served(500) }
            expectThat(ask("/book/1").status).isEqualTo(500)
            expectThat(sent).hasSize(1)
        }

        /** Guards against a booking that is refused although another target is free. */
        @Test
        fun `sends again when a target says that it did not run the request`() = runTest {
            answers = { if (it == 1) shed() else served() }
            expectThat(ask("/book/1").status).isEqualTo(200)
            expectThat(sent.map { it.first }.toSet()).hasSize(2)
        }

        /** Guards against a refusal that promises "not run" after a send that may have run. */
        @Test
        fun `never refuses after a send without an answer`() = runTest {
            answers = { if (it == 1) HttpResult.Unknown("reset") else shed() }
            expectThat(ask("/book/1").status).isNotEqualTo(503)
        }
    }

    @Nested
    @DisplayName("given a target that fails a request without saying that it did not run")
    inner class UnmarkedFailure {
        /** Guards against a booking that runs twice because a failure is taken for a target that is full. */
        @Test
        fun `does not send a request that must run at most once again`() = runTest {
            answers = { HttpResult.Answered(HttpResponse(503)) }
            ask("/book/1")
            expectThat(sent).hasSize(1)
        }
    }

    @Nested
    @DisplayName("when no target is left after a send that may have run")
    inner class RefusedAfterSend {
        /** Guards against a refusal that promises "not run" although the answer to an earlier send was lost. */
        @Test
        fun `does not refuse when an answer was lost`() = runTest {
            answers = { if (it == 1) HttpResult.Unknown("reset") else shed() }
            expectThat(ask("/read/1").status).isEqualTo(502)
            expectThat(sent.size).isGreaterThan(1)
        }

        /** Guards against a refusal that promises "not run" although an earlier target ran the request and failed it. */
        @Test
        fun `does not refuse when a target has failed the request`() = runTest {
            answers = { if (it == 1) served(500) else shed() }
            expectThat(ask("/read/1").status).isEqualTo(502)
            expectThat(sent.size).isGreaterThan(1)
        }
    }

    @Nested
    @DisplayName("given no budget for repeats")
    inner class WithoutBudget {
        /** Guards against repeats after lost answers that multiply the load of targets in trouble. */
        @Test
        fun `does not send again when the answer is lost, though other targets are free`() = runTest {
            answers = { HttpResult.Unknown("reset") }
            budget = RetryBudget(RetryBudgetSettings(share = 0.0, extraSends = 0.0, windowMs = 1_000)) { 1 }
            expectThat(ask("/read/1").status).isEqualTo(502)
            expectThat(sent).hasSize(1)
        }

        /** Guards against repeats after sheds, which cost the full targets time and count as sends. */
        @Test
        fun `does not send again when the target is full, though other targets are free`() = runTest {
            answers = { shed() }
            budget = RetryBudget(RetryBudgetSettings(share = 0.0, extraSends = 0.0, windowMs = 1_000)) { 1 }
            expectThat(ask("/read/1").status).isEqualTo(503)
            expectThat(sent).hasSize(1)
        }
    }

    @Nested
    @DisplayName("given little time")
    inner class LittleTime {
        /** Guards against work for a caller that has given up. */
        @Test
        fun `refuses a request whose time is over without a send`() = runTest {
            expectThat(ask("/read/1", deadlineMs = 1).status).isEqualTo(503)
            expectThat(sent.map { it.first }).containsExactly()
        }

        /** Guards against a second run of a request that a target may still be busy with. */
        @Test
        fun `does not send again after the time of the target is over`() = runTest {
            answers = { HttpResult.Unknown("no whole response in time") }
            expectThat(ask("/read/1").status).isEqualTo(504)
            expectThat(sent).hasSize(1)
        }

        /** Guards against a repeat that cannot be answered in time and only adds load. */
        @Test
        fun `does not send again when a repeat cannot be answered in time`() = runTest {
            ask("/read/1")
            sent.clear()
            // Fast targets, so that only the time that is left speaks against a repeat.
            directory.ofService("s").forEach { it.responded(1, 1.0) }
            answers = {
                timer.now += 880
                HttpResult.Unknown("reset")
            }
            expectThat(ask("/read/1").status).isEqualTo(502)
            expectThat(sent).hasSize(1)
        }
    }

    @Nested
    @DisplayName("given a request that may run again")
    inner class Idempotent {
        /** Guards against a lost answer that the caller sees although there is time for another target. */
        @Test
        fun `sends to another target when the answer is lost`() = runTest {
            answers = { if (it == 1) HttpResult.Unknown("reset") else served() }
            expectThat(ask("/read/1").status).isEqualTo(200)
            expectThat(sent.map { it.first }.toSet()).hasSize(2)
        }

        /** Guards against more sends than the route allows. */
        @Test
        fun `gives up after the attempts of the route`() = runTest {
            answers = { HttpResult.Unknown("reset") }
            expectThat(ask("/read/1").status).isEqualTo(502)
            expectThat(sent).hasSize(2)
        }

        /** Guards against repeats beyond the budget that all routers share. */
        @Test
        fun `does not send again without budget`() = runTest {
            answers = { HttpResult.Unknown("reset") }
            while (budget.spend(timer.now)) Unit
            operators.onSnapshot(listOf(KeyedRecord("table", ByteArray(0), 0)), 1)
            val target = FakeRecords.targetChange(FakeRecords.entry("t1", 1, service = "s"))
            directory.onSnapshot(listOf(KeyedRecord(target.key, target.value, 0)), 1)
            router.handle(HttpRequest("GET", "/read/1", headersOf("Host" to "h", names.requestId to "r1")))
            expectThat(sent).hasSize(1)
        }

        /** Guards against a success without the target's proof that reaches the caller. */
        @Test
        fun `does not pass on a success without a signature`() = runTest {
            answers = { HttpResult.Answered(HttpResponse(200, body = "spoilt".toByteArray())) }
            expectThat(ask("/read/1").status).isEqualTo(502)
        }
    }

    @Nested
    @DisplayName("given a target whose response never ends")
    inner class Endless {
        private val overLimit = HttpResult.Unknown("10.0.0.1:80: the response is malformed: over 8912896 bytes arrived")

        private fun untilTimeout(): HttpResult {
            timer.now += 900
            return HttpResult.Unknown("no whole response from 10.0.0.1:80 within 900 ms")
        }

        /** Guards against a read that fails although a limit ended its first send early. */
        @Test
        fun `sends a read to another target when a limit ends the response`() = runTest {
            answers = { if (it == 1) overLimit else served() }
            expectThat(ask("/read/1").status).isEqualTo(200)
            expectThat(sent.map { it.first }.toSet()).hasSize(2)
        }

        /** Guards against a booking that runs twice. */
        @Test
        fun `answers 502 for a booking and sends it once when a limit ends the response`() = runTest {
            answers = { overLimit }
            expectThat(ask("/book/1").status).isEqualTo(502)
            expectThat(sent).hasSize(1)
        }

        /** Guards against a booking that runs twice, and an answer that promises that it did not run. */
        @Test
        fun `answers 504 for a booking and sends it once when the time ends the response`() = runTest {
            answers = { untilTimeout() }
            expectThat(ask("/book/1").status).isEqualTo(504)
            expectThat(sent).hasSize(1)
        }

        /** Guards against a repeat that nobody waits for. */
        @Test
        fun `answers 504 for a read when the time ends the response`() = runTest {
            answers = { untilTimeout() }
            expectThat(ask("/read/1").status).isEqualTo(504)
            expectThat(sent).hasSize(1)
        }
    }

    /** Guards against a deadline that grows on the way, and a target at a reused address that runs another service's request. */
    @Test
    fun `tells the target what is left of the time and which instance is meant`() = runTest {
        ask("/read/1", targets = 1)
        val headers = sent.single().second.headers
        expectThat(headers[names.deadlineMs]!!.toLong()).isLessThan(901)
        expectThat(headers[names.expectedInstance]).isEqualTo("t0")
        expectThat(headers.lines.filter { it.name == names.deadlineMs }).hasSize(1)
    }

    /** Guards against a refusal that does not say when to come back. */
    @Test
    fun `refuses at once with a time to come back when the service has no target`() = runTest {
        val answer = ask("/read/1", targets = 0)
        expectThat(answer.status).isEqualTo(503)
        expectThat(answer.headers["Retry-After"]).isNotNull()
        expectThat(answer.headers[names.requestId]).isEqualTo("r1")
        expectThat(sent.map { it.first }).containsExactly()
    }

    /** Guards against a 404 while no table is known: a caller would not ask again. */
    @Test
    fun `answers 503 before the first table and 404 only by a table`() = runTest {
        val request = HttpRequest("GET", "/none/1", headersOf("Host" to "h", names.requestId to "r1"))
        expectThat(router.handle(request).status).isEqualTo(503)
        expectThat(ask("/none/1").status).isEqualTo(404)
    }
}
