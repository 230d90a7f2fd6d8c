package yuccaflow.external

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import yuccaflow.base.systemTimerService
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.headersOf

@DisplayName("HTTP clients of targets")
class HttpTargetApiClientTest {
    private val target = StubHttpServer()
    private val targets = httpTargetApiClient(target.client, systemTimerService())
    private val limits = WorkLimits("r-1", epoch = 7, primaryEpoch = 5, runBeforeClockMs = 900, timeoutMs = 60_000)
    private val clock = arrayOf("Yuccaflow-Clock-Ms" to "42", "Yuccaflow-Instance" to "i-1")

    private fun sendWork(headers: Array<Pair<String, String>> = emptyArray()) =
        runBlocking { targets.sendWork(target.address, HttpRequest("POST", "/prest/1", headersOf(*headers), "x".toByteArray()), limits) }

    @AfterEach
    fun stop() = target.close()

    @Nested
    @DisplayName("report a request as not run")
    inner class NotRun {
        @Test
        fun `when the connection is refused`() {
            target.stop()
            expectThat(sendWork()).isA<WorkResult.NotRun>().get { isShed }.isFalse()
        }

        @Test
        fun `when the target says so, with its reason and whether it was out of capacity`() {
            target.respondJson(503, """{"reason":"full"}""", "X-Request-Id" to "r-1", "Yuccaflow-Outcome" to "not-run", *clock)
            expectThat(sendWork()).isA<WorkResult.NotRun>().and {
                get { reason }.isEqualTo("full")
                get { isShed }.isTrue()
                get { clock?.clockMs }.isEqualTo(42)
            }
        }
    }

    @Nested
    @DisplayName("report the outcome of a request as unknown")
    inner class Unknown {
        @Test
        fun `when the rejection belongs to another request, since this one may still run`() {
            target.respondJson(503, "{}", "X-Request-Id" to "r-0", "Yuccaflow-Outcome" to "not-run")
            expectThat(sendWork()).isA<WorkResult.Unknown>()
        }

        @Test
        fun `when the response has no request id`() {
            target.respondJson(503, "{}", "Yuccaflow-Outcome" to "not-run")
            expectThat(sendWork()).isA<WorkResult.Unknown>()
        }

        @Test
        fun `when the target does not know the outcome`() {
            target.respondJson(504, "{}", "X-Request-Id" to "r-1", "Yuccaflow-Outcome" to "unknown")
            expectThat(sendWork()).isA<WorkResult.Unknown>()
        }
    }

    @Test
    fun `return a 503 without an outcome header as the response, since the target may have run the request`() {
        target.respondJson(503, "{}", "X-Request-Id" to "r-1")
        expectThat(sendWork()).isA<WorkResult.Answered>().get { response.status }.isEqualTo(503)
    }

    @Test
    fun `replace the headers that targets trust, which a caller could forge`() {
        target.handler = { HttpResponse(200, headersOf("X-Request-Id" to "r-1")) }
        sendWork(arrayOf("yuccaflow-epoch" to "99", "X-Request-Id" to "forged", "Idempotency-Key" to "k"))
        val headers = target.requests.single().headers
        expectThat(headers.lines.filter { it.name.startsWith("Yuccaflow-", ignoreCase = true) }.associate { it.name to it.value })
            .isEqualTo(mapOf("Yuccaflow-Epoch" to "7", "Yuccaflow-Primary-Epoch" to "5", "Yuccaflow-Run-Before" to "900"))
        expectThat(headers["X-Request-Id"]).isEqualTo("r-1")
        expectThat(headers["Idempotency-Key"]).isEqualTo("k")
    }

    @Test
    fun `send grants in the documented format and read the clock`() {
        target.respondJson(200, "{}", *clock)
        val request = GrantRequest(listOf(GrantedRange("katalog", "a", null, 7)), 5, 1_000, "i-1")
        expectThat(
            runBlocking { targets.grant(target.address, request, 60_000) },
        ).isA<TargetCallResult.Done>().get { clock.instance }.isEqualTo("i-1")
        expectThat(
            target.requests
                .single()
                .body
                .decodeToString(),
        ).isEqualTo(
            """{"ranges":[{"service":"katalog","from":"a","to":null,"epoch":7}],"primary_epoch":5,"expires_at_clock_ms":1000,"instance":"i-1"}""",
        )
    }

    @Test
    fun `report a rejected revocation with its status`() {
        target.respondJson(412, """{"reason":"stale epoch"}""")
        val result = runBlocking { targets.revoke(target.address, emptyList(), 60_000) }
        expectThat(result).isA<TargetCallResult.Refused>().and {
            get { status }.isEqualTo(412)
            get { clock }.isNull()
        }
    }

    @Test
    fun `read a load report, or none from an invalid response`() = runBlocking {
        val health = httpTargetHealthClient(target.client, systemTimerService())
        target.respondJson(200, """{"in_flight":3,"slots":5,"extra":1}""")
        expectThat(health.load(target.address, 60_000)).isNotNull().isEqualTo(TargetLoadReport(3, 5))
        target.respondJson(200, """[]""")
        expectThat(health.load(target.address, 60_000)).isNull()
        Unit
    }
}
