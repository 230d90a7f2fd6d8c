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

@DisplayName("Orders to targets over HTTP")
class HttpTargetApiClientTest {
    private val target = FakePlatform()
    private val orders = httpTargetApiClient(target.client, systemTimerService())
    private val limits = WorkLimits("r-1", epoch = 7, primaryEpoch = 5, runBeforeClockMs = 900, timeoutMs = 60_000)
    private val clock = arrayOf("Yuccaflow-Clock-Ms" to "42", "Yuccaflow-Instance" to "i-1")

    private fun work(headers: Array<Pair<String, String>> = emptyArray()) =
        runBlocking { orders.sendWork(target.address, HttpRequest("POST", "/prest/1", headersOf(*headers), "x".toByteArray()), limits) }

    @AfterEach
    fun stop() = target.close()

    @Nested
    @DisplayName("report work as not run")
    inner class NotRun {
        @Test
        fun `when the connection was refused`() {
            target.stop()
            expectThat(work()).isA<WorkResult.NotRun>().get { isShed }.isFalse()
        }

        @Test
        fun `when the target says so, with the reason and whether it shed`() {
            target.answerJson(503, """{"reason":"full"}""", "X-Request-Id" to "r-1", "Yuccaflow-Outcome" to "not-run", *clock)
            expectThat(work()).isA<WorkResult.NotRun>().and {
                get { reason }.isEqualTo("full")
                get { isShed }.isTrue()
                get { clock?.clockMs }.isEqualTo(42)
            }
        }
    }

    @Nested
    @DisplayName("report work as unknown")
    inner class Unknown {
        @Test
        fun `when a refusal belongs to another request, since the own one may run`() {
            target.answerJson(503, "{}", "X-Request-Id" to "r-0", "Yuccaflow-Outcome" to "not-run")
            expectThat(work()).isA<WorkResult.Unknown>()
        }

        @Test
        fun `when the answer carries no request id`() {
            target.answerJson(503, "{}", "Yuccaflow-Outcome" to "not-run")
            expectThat(work()).isA<WorkResult.Unknown>()
        }

        @Test
        fun `when the target does not know the outcome`() {
            target.answerJson(504, "{}", "X-Request-Id" to "r-1", "Yuccaflow-Outcome" to "unknown")
            expectThat(work()).isA<WorkResult.Unknown>()
        }
    }

    @Test
    fun `pass a 503 without an outcome on as the answer, since the target may have run the request`() {
        target.answerJson(503, "{}", "X-Request-Id" to "r-1")
        expectThat(work()).isA<WorkResult.Answered>().get { response.status }.isEqualTo(503)
    }

    @Test
    fun `replace headers that a caller could forge`() {
        target.answer = { HttpResponse(200, headersOf("X-Request-Id" to "r-1")) }
        work(arrayOf("yuccaflow-epoch" to "99", "X-Request-Id" to "forged", "Idempotency-Key" to "k"))
        val headers = target.requests.single().headers
        expectThat(headers.lines.filter { it.name.startsWith("Yuccaflow-", ignoreCase = true) }.associate { it.name to it.value })
            .isEqualTo(mapOf("Yuccaflow-Epoch" to "7", "Yuccaflow-Primary-Epoch" to "5", "Yuccaflow-Run-Before" to "900"))
        expectThat(headers["X-Request-Id"]).isEqualTo("r-1")
        expectThat(headers["Idempotency-Key"]).isEqualTo("k")
    }

    @Test
    fun `carry grants in the published shape and read the clock`() {
        target.answerJson(200, "{}", *clock)
        val order = GrantRequest(listOf(GrantedRange("katalog", "a", null, 7)), 5, 1_000, "i-1")
        expectThat(
            runBlocking { orders.grant(target.address, order, 60_000) },
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
    fun `report a refused grant with its status`() {
        target.answerJson(412, """{"reason":"stale epoch"}""")
        val result = runBlocking { orders.revoke(target.address, emptyList(), 60_000) }
        expectThat(result).isA<TargetCallResult.Refused>().and {
            get { status }.isEqualTo(412)
            get { clock }.isNull()
        }
    }

    @Test
    fun `read a load report, and none from another shape`() = runBlocking {
        val health = httpTargetHealthClient(target.client, systemTimerService())
        target.answerJson(200, """{"in_flight":3,"slots":5,"extra":1}""")
        expectThat(health.load(target.address, 60_000)).isNotNull().isEqualTo(TargetLoadReport(3, 5))
        target.answerJson(200, """[]""")
        expectThat(health.load(target.address, 60_000)).isNull()
        Unit
    }
}
