package yuccaflow.entry.routing

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.doesNotContain
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

@DisplayName("The request router")
class RequestRouterTest {
    private val names = HeaderNames()
    private val timer = ManualTimer(1_000)
    private val log = RecordingEventLog()
    private val sent = ArrayList<Pair<SocketAddress, HttpRequest>>()
    private var results: (Int) -> HttpResult = { served() }
    private var waitForConnection: (SocketAddress) -> Unit = { }

    private object FixedTableDecoder : RecordDecoder by FakeRecords {
        override fun decodeOperatorRecord(key: String, value: ByteArray?): OperatorRecord = OperatorRecord.Table(
            RoutingTable(
                1,
                persistentListOf(route("read", RequestKind.IDEMPOTENT), route("book", RequestKind.NON_IDEMPOTENT)),
                persistentMapOf("s" to FakeRecords.serviceConfig("s")),
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
            prepare: (HttpRequest) -> HttpRequest?,
        ): HttpResult {
            waitForConnection(address)
            val prepared = prepare(request) ?: return HttpResult.NotSent("withdrawn", isWithdrawn = true)
            sent += address to prepared
            return results(sent.size)
        }

        override suspend fun close() = Unit
    }

    private val operators = OperatorState(FixedTableDecoder, timer, log)
    private val directory = TargetDirectory(FixedTableDecoder, operators, timer, log) { null }
    private val chooser = TargetChooser(directory, "a", timer, ColdStartLimiter("n", ColdStartLimits(1.5, 5.0), operators) { setOf("n") })
    private val router = RequestRouter(
        RoutingDependencies(
            operators,
            directory,
            chooser,
            KeyOwnerChooser(ClusterState(timer, log), directory, operators, chooser, timer) { },
            TargetClient(client, names),
            { budget },
            { _, _ -> },
            RouterMeters("n", "a"),
            { drainEndsAtMs },
        ),
        names,
        timer,
        log,
    )
    private var drainEndsAtMs: Long? = null
    private var budget = RetryBudget(RetryBudgetSettings(share = 1.0, extraSends = 100.0, windowMs = 1_000)) { 1 }

    private fun served(status: Int = 200) =
        HttpResult.Answered(HttpResponse(status, headersOf(names.signature to "sig"), "body".toByteArray()))

    private fun leaving(status: Int = 200) =
        HttpResult.Answered(HttpResponse(status, headersOf(names.signature to "sig", names.leaving to "1"), "body".toByteArray()))

    private fun shedWithPause(seconds: String) =
        HttpResult.Answered(HttpResponse(503, headersOf(names.notRun to "1", "Retry-After" to seconds)))

    private fun shed() = HttpResult.Answered(HttpResponse(503, headersOf(names.notRun to "1")))

    private suspend fun handleRequest(path: String, targets: Int = 3, deadlineMs: Long = 900): HttpResponse {
        operators.onSnapshot(listOf(KeyedRecord("table", ByteArray(0), 0)), 1)
        val entries = List(targets) { FakeRecords.targetChange(FakeRecords.entry("t$it", it + 1, service = "s")) }
        directory.onSnapshot(entries.mapIndexed { index, change -> KeyedRecord(change.key, change.value, index.toLong()) }, 9)
        budget.deposit(timer.now)
        timer.now += 1_000
        budget.deposit(timer.now)
        return router.handle(request(path, deadlineMs))
    }

    private fun request(path: String, deadlineMs: Long = 900) =
        HttpRequest("GET", path, headersOf("Host" to "h", names.requestId to "r1", names.deadlineMs to "$deadlineMs"))

    @Nested
    @DisplayName("given a request that is not idempotent")
    inner class AtMostOnce {
        /** Guards against a booking that runs twice because the response to its first attempt was lost. */
        @Test
        fun `does not retry if the response is lost`() = runTest {
            results = { HttpResult.Unknown("reset") }
            expectThat(handleRequest("/book/1").status).isEqualTo(502)
            expectThat(sent).hasSize(1)
        }

        /** Guards against a booking that runs twice because its target answered with an error. */
        @Test
        fun `forwards an error of the target`() = runTest {
            results = { served(500) }
            expectThat(handleRequest("/book/1").status).isEqualTo(500)
            expectThat(sent).hasSize(1)
        }

        /** Guards against a booking that is refused although another target has capacity. */
        @Test
        fun `retries if a target reports that it did not run the request`() = runTest {
            results = { if (it == 1) shed() else served() }
            expectThat(handleRequest("/book/1").status).isEqualTo(200)
            expectThat(sent.map { it.first }.toSet()).hasSize(2)
        }

        /** Guards against a refusal, which implies that the request did not run, after an attempt that may have run. */
        @Test
        fun `never refuses after an attempt without a response`() = runTest {
            results = { if (it == 1) HttpResult.Unknown("reset") else shed() }
            expectThat(handleRequest("/book/1").status).isNotEqualTo(503)
        }
    }

    @Nested
    @DisplayName("given a request that waits for a connection")
    inner class WaitingForConnection {
        /** Guards against requests to a target that began to leave after it was chosen. */
        @Test
        fun `sends it to another target if its target begins to drain meanwhile`() = runTest {
            val drained = ArrayList<SocketAddress>()
            waitForConnection = { address ->
                val entry = directory.ofService("s").map { it.entry }.first { it.address == address }
                val change = FakeRecords.targetChange(entry.copy(isDraining = true))
                if (drained.isEmpty()) directory.onRecords(listOf(KeyedRecord(change.key, change.value, 10)), 11, timer.now)
                drained += address
            }
            expectThat(handleRequest("/book/1").status).isEqualTo(200)
            expectThat(sent.map { it.first }).containsExactly(drained.last())
            expectThat(drained.toSet()).hasSize(2)
        }

        /** Guards against work for a caller whose time is over. */
        @Test
        fun `does not send it after its deadline`() = runTest {
            waitForConnection = { timer.now += 900 }
            val response = handleRequest("/book/1", deadlineMs = 900)
            expectThat(response.status).isEqualTo(503)
            expectThat(sent).hasSize(0)
        }

        /** Guards against a target that works on after the deadline because it was told the time before the wait. */
        @Test
        fun `tells the target the time that is left after the wait`() = runTest {
            waitForConnection = { timer.now += 300 }
            handleRequest("/book/1", deadlineMs = 905)
            expectThat(sent.single().second.headers[names.deadlineMs]).isEqualTo("600")
        }
    }

    @Nested
    @DisplayName("given a target that asks for a pause")
    inner class PausedTargets {
        private suspend fun sendMany(times: Int = FURTHER_REQUESTS) = repeat(times) { router.handle(request("/book/1")) }

        /** Guards against requests to a target that has asked for none, and against a pause that ends before its time. */
        @Test
        fun `sends it nothing until the pause is over`() = runTest {
            results = { if (it == 1) shedWithPause("2.5") else served() }
            handleRequest("/book/1", targets = 1)
            sendMany()
            timer.now += 2_400
            sendMany()
            expectThat(sent).hasSize(1)
            timer.now += 200
            sendMany()
            expectThat(sent.size).isGreaterThan(1)
        }

        /** Guards against refusals although another target takes requests. */
        @Test
        fun `sends the requests to other targets meanwhile`() = runTest {
            results = { if (it == 1) shedWithPause("2.5") else served() }
            expectThat(handleRequest("/book/1").status).isEqualTo(200)
            sendMany()
            expectThat(sent.count { it.first == sent.first().first }).isEqualTo(1)
            expectThat(sent).hasSize(FURTHER_REQUESTS + 2)
        }

        /** Guards against the end of a longer pause that a shorter one brings forward. */
        @Test
        fun `keeps to the latest end`() = runTest {
            results = { if (it <= 2) shedWithPause(if (it == 1) "2" else "0.5") else served() }
            handleRequest("/book/1", targets = 1)
            timer.now += 2_000
            router.handle(request("/book/1"))
            sent.clear()
            timer.now += 400
            expectThat(router.handle(request("/book/1")).status).isEqualTo(503)
            expectThat(sent).hasSize(0)
        }

        /** Guards against callers that wait or come back although no target takes requests. */
        @Test
        fun `refuses at once with the shortest rest if all have asked`() = runTest {
            results = { shedWithPause(if (it == 1) "4" else "3") }
            handleRequest("/book/1", targets = 2)
            sent.clear()
            val askedAtMs = timer.now
            val response = router.handle(request("/book/1"))
            expectThat(response.status).isEqualTo(503)
            expectThat(response.headers["Retry-After"]!!.toDouble()).isGreaterThan(2.9).isLessThan(5.1)
            expectThat(timer.now).isEqualTo(askedAtMs)
            expectThat(sent).hasSize(0)
        }

        /** Guards against a request that was chosen before the pause and leaves the router within it. */
        @Test
        fun `withdraws a request that waits for a connection to it`() = runTest {
            var isFirst = true
            waitForConnection = { address ->
                if (isFirst) directory.ofService("s").first { it.entry.address == address }.pauseUntil(timer.now + 5_000)
                isFirst = false
            }
            expectThat(handleRequest("/book/1").status).isEqualTo(200)
            expectThat(sent).hasSize(1)
        }

        /** Guards against a target that is suspected of a failure because it has asked for a pause. */
        @Test
        fun `does not suspect it`() = runTest {
            results = { shedWithPause("0.01") }
            repeat(10) {
                handleRequest("/book/1", targets = 1)
                timer.now += 3_000
            }
            expectThat(log.count("target_suspected")).isEqualTo(0)
        }
    }

    @Nested
    @DisplayName("given a target that says in an answer that it leaves")
    inner class LeavingAnswers {
        /** Guards against new requests to a target that has told this router that it leaves, while the store does not say so. */
        @ParameterizedTest
        @ValueSource(ints = [200, 404, 500])
        fun `sends it no further request`(status: Int) = runTest {
            results = { if (it == 1) leaving(status) else served() }
            handleRequest("/book/1")
            val leavingAddress = sent.single().first
            repeat(FURTHER_REQUESTS) { router.handle(request("/book/1")) }
            expectThat(sent.drop(1).map { it.first }).doesNotContain(leavingAddress)
            expectThat(log.count("target_draining")).isEqualTo(1)
        }

        /** Guards against a leaving that is forgotten when the target's entry is listed again. */
        @Test
        fun `keeps to it when its entry is listed again`() = runTest {
            results = { if (it == 1) leaving() else served() }
            handleRequest("/book/1")
            handleRequest("/book/1")
            repeat(FURTHER_REQUESTS) { router.handle(request("/book/1")) }
            expectThat(sent.drop(1).map { it.first }).doesNotContain(sent.first().first)
        }

        /** Guards against a leaving that outlives the process: the next one at the address is another target. */
        @Test
        fun `uses the next process at its address`() = runTest {
            results = { if (it == 1) leaving() else served() }
            handleRequest("/book/1", targets = 1)
            val change = FakeRecords.targetChange(FakeRecords.entry("t0", 1, bornMs = 9, service = "s"))
            directory.onRecords(listOf(KeyedRecord(change.key, change.value, 10)), 11)
            expectThat(router.handle(request("/book/1")).status).isEqualTo(200)
        }

        /** Guards against an answer of another target, at an address that is used again, that is taken for this one's. */
        @Test
        fun `does not believe another target`() = runTest {
            val answer = headersOf(names.instance to "other", names.leaving to "1", names.notRun to "1")
            results = { if (it == 1) HttpResult.Answered(HttpResponse(421, answer)) else served() }
            handleRequest("/book/1")
            expectThat(log.count("target_draining")).isEqualTo(0)
        }
    }

    @Nested
    @DisplayName("while it drains")
    inner class Draining {
        /** Guards against a request that is taken late in a shutdown, runs, and is cut off without an answer. */
        @Test
        fun `refuses a request whose deadline is after the end of the drain`() = runTest {
            drainEndsAtMs = timer.now + 1_000 + 500
            val response = handleRequest("/book/1", deadlineMs = 900)
            expectThat(response.status).isEqualTo(503)
            expectThat(response.headers["Retry-After"]).isNotNull()
            expectThat(sent).hasSize(0)
        }

        /** Guards against callers that are sent away although their request is certain to be complete in time. */
        @Test
        fun `serves a request whose deadline is before the end of the drain`() = runTest {
            drainEndsAtMs = timer.now + 1_000 + 2_000
            expectThat(handleRequest("/book/1", deadlineMs = 900).status).isEqualTo(200)
        }
    }

    @Nested
    @DisplayName("given a target that answers with an error and does not report that the request did not run")
    inner class UnmarkedFailure {
        /** Guards against a booking that runs twice because an error is mistaken for load shedding. */
        @Test
        fun `does not retry a request that is not idempotent`() = runTest {
            results = { HttpResult.Answered(HttpResponse(503)) }
            handleRequest("/book/1")
            expectThat(sent).hasSize(1)
        }
    }

    @Nested
    @DisplayName("when no target is left after an attempt that may have run")
    inner class RefusedAfterSend {
        /** Guards against a refusal, which implies that the request did not run, although the response to an earlier attempt was lost. */
        @Test
        fun `does not refuse if a response was lost`() = runTest {
            results = { if (it == 1) HttpResult.Unknown("reset") else shed() }
            expectThat(handleRequest("/read/1").status).isEqualTo(502)
            expectThat(sent.size).isGreaterThan(1)
        }

        /** Guards against a refusal, which implies that the request did not run, although an earlier target ran it and failed. */
        @Test
        fun `does not refuse if a target has answered with an error`() = runTest {
            results = { if (it == 1) served(500) else shed() }
            expectThat(handleRequest("/read/1").status).isEqualTo(502)
            expectThat(sent.size).isGreaterThan(1)
        }
    }

    @Nested
    @DisplayName("given no retry budget")
    inner class NoRetryBudget {
        /** Guards against retries after lost responses that multiply the load of failing targets. */
        @Test
        fun `does not retry if the response is lost, although other targets are available`() = runTest {
            results = { HttpResult.Unknown("reset") }
            budget = RetryBudget(RetryBudgetSettings(share = 0.0, extraSends = 0.0, windowMs = 1_000)) { 1 }
            expectThat(handleRequest("/read/1").status).isEqualTo(502)
            expectThat(sent).hasSize(1)
        }

        /** Guards against retries after load shedding, which cost the overloaded targets time and count against the budget. */
        @Test
        fun `does not retry if the target sheds the request, although other targets are available`() = runTest {
            results = { shed() }
            budget = RetryBudget(RetryBudgetSettings(share = 0.0, extraSends = 0.0, windowMs = 1_000)) { 1 }
            expectThat(handleRequest("/read/1").status).isEqualTo(503)
            expectThat(sent).hasSize(1)
        }
    }

    @Nested
    @DisplayName("given little time before the deadline")
    inner class LittleTimeLeft {
        /** Guards against work for a caller that no longer waits. */
        @Test
        fun `refuses a request past its deadline without sending it`() = runTest {
            expectThat(handleRequest("/read/1", deadlineMs = 1).status).isEqualTo(503)
            expectThat(sent.map { it.first }).containsExactly()
        }

        /** Guards against a second run of a request that a target may still be processing. */
        @Test
        fun `does not retry after the attempt has timed out`() = runTest {
            results = { HttpResult.Unknown("no whole response in time") }
            expectThat(handleRequest("/read/1").status).isEqualTo(504)
            expectThat(sent).hasSize(1)
        }

        /** Guards against a retry that cannot be answered before the deadline and only adds load. */
        @Test
        fun `does not retry if a retry cannot be answered before the deadline`() = runTest {
            handleRequest("/read/1")
            sent.clear()
            // The targets are fast, so that only the remaining time prevents a retry.
            directory.ofService("s").forEach { it.recordResponse(1, 1.0) }
            results = {
                timer.now += 880
                HttpResult.Unknown("reset")
            }
            expectThat(handleRequest("/read/1").status).isEqualTo(502)
            expectThat(sent).hasSize(1)
        }
    }

    @Nested
    @DisplayName("given an idempotent request")
    inner class Idempotent {
        /** Guards against an error for the caller although there is time to try another target. */
        @Test
        fun `retries at another target if the response is lost`() = runTest {
            results = { if (it == 1) HttpResult.Unknown("reset") else served() }
            expectThat(handleRequest("/read/1").status).isEqualTo(200)
            expectThat(sent.map { it.first }.toSet()).hasSize(2)
        }

        /** Guards against more attempts than the route allows. */
        @Test
        fun `gives up after the route's number of attempts`() = runTest {
            results = { HttpResult.Unknown("reset") }
            expectThat(handleRequest("/read/1").status).isEqualTo(502)
            expectThat(sent).hasSize(2)
        }

        /** Guards against retries beyond the budget that all routers share. */
        @Test
        fun `does not retry without budget`() = runTest {
            results = { HttpResult.Unknown("reset") }
            while (budget.tryWithdraw(timer.now)) Unit
            operators.onSnapshot(listOf(KeyedRecord("table", ByteArray(0), 0)), 1)
            val target = FakeRecords.targetChange(FakeRecords.entry("t1", 1, service = "s"))
            directory.onSnapshot(listOf(KeyedRecord(target.key, target.value, 0)), 1)
            router.handle(HttpRequest("GET", "/read/1", headersOf("Host" to "h", names.requestId to "r1")))
            expectThat(sent).hasSize(1)
        }

        /** Guards against a successful response that another process sent in place of the target. */
        @Test
        fun `does not forward a successful response without a signature`() = runTest {
            results = { HttpResult.Answered(HttpResponse(200, body = "spoilt".toByteArray())) }
            expectThat(handleRequest("/read/1").status).isEqualTo(502)
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

        /** Guards against a failed read although the size limit ended its first attempt early. */
        @Test
        fun `retries a read at another target if the response exceeds the size limit`() = runTest {
            results = { if (it == 1) overLimit else served() }
            expectThat(handleRequest("/read/1").status).isEqualTo(200)
            expectThat(sent.map { it.first }.toSet()).hasSize(2)
        }

        /** Guards against a booking that runs twice. */
        @Test
        fun `answers 502 to a booking and sends it once if the response exceeds the size limit`() = runTest {
            results = { overLimit }
            expectThat(handleRequest("/book/1").status).isEqualTo(502)
            expectThat(sent).hasSize(1)
        }

        /** Guards against a booking that runs twice, and against a response which implies that it did not run. */
        @Test
        fun `answers 504 to a booking and sends it once if the response times out`() = runTest {
            results = { untilTimeout() }
            expectThat(handleRequest("/book/1").status).isEqualTo(504)
            expectThat(sent).hasSize(1)
        }

        /** Guards against a retry for which no caller waits. */
        @Test
        fun `answers 504 to a read if the response times out`() = runTest {
            results = { untilTimeout() }
            expectThat(handleRequest("/read/1").status).isEqualTo(504)
            expectThat(sent).hasSize(1)
        }
    }

    /** Guards against a deadline that the router extends, and against a target at a reused address that runs another service's request. */
    @Test
    fun `sends the remaining time and the expected instance to the target`() = runTest {
        handleRequest("/read/1", targets = 1)
        val headers = sent.single().second.headers
        expectThat(headers[names.deadlineMs]!!.toLong()).isLessThan(901)
        expectThat(headers[names.expectedInstance]).isEqualTo("t0")
        expectThat(headers.lines.filter { it.name == names.deadlineMs }).hasSize(1)
    }

    /** Guards against a refusal without a time after which to retry. */
    @Test
    fun `refuses at once with a Retry-After header if the service has no target`() = runTest {
        val answer = handleRequest("/read/1", targets = 0)
        expectThat(answer.status).isEqualTo(503)
        expectThat(answer.headers["Retry-After"]).isNotNull()
        expectThat(answer.headers[names.requestId]).isEqualTo("r1")
        expectThat(sent.map { it.first }).containsExactly()
    }

    /** Guards against a 404 while no routing table is known, after which a caller would not retry. */
    @Test
    fun `answers 503 before the first routing table, and 404 only if the table has no route`() = runTest {
        val request = HttpRequest("GET", "/none/1", headersOf("Host" to "h", names.requestId to "r1"))
        expectThat(router.handle(request).status).isEqualTo(503)
        expectThat(handleRequest("/none/1").status).isEqualTo(404)
    }

    private companion object {
        const val FURTHER_REQUESTS = 50
    }
}
