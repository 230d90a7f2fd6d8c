package yuccaflow.entry.routing

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpResult
import yuccaflow.http.headersOf

@DisplayName("The request router")
internal class RequestRouterTest : RequestRouterFixture() {
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

        /** Guards against a booking that is made twice, because its caller is told that it has not run although its target ran it. */
        @ParameterizedTest
        @ValueSource(ints = [408, 429, 503])
        fun `passes on no status that says so either`(status: Int) = runTest {
            results = { served(status) }
            val response = handleRequest("/book/1")
            expectThat(response.status).isEqualTo(502)
            // A failure with the signature of a target has the status that the target gave.
            expectThat(response.headers[names.signature]).isNull()
            expectThat(response.headers["Retry-After"]).isNull()
            expectThat(sent).hasSize(1)
        }

        /** Guards against the same after a request was repeated and the targets had no other answer. */
        @Test
        fun `passes on no such status after the last attempt at an idempotent request`() = runTest {
            results = { served(503) }
            expectThat(handleRequest("/read/1").status).isEqualTo(502)
            expectThat(sent).hasSize(2)
        }

        /** Guards against a failing target that is chosen again and again, because its failures have a status below 500. */
        @ParameterizedTest
        @ValueSource(ints = [408, 429])
        fun `repeats an idempotent request at another target`(status: Int) = runTest {
            results = { if (it == 1) served(status) else served() }
            expectThat(handleRequest("/read/1").status).isEqualTo(200)
            expectThat(sent.map { it.first }.toSet()).hasSize(2)
        }

        /** Guards against other failures of a target that are hidden from its callers. */
        @ParameterizedTest
        @ValueSource(ints = [400, 404, 409, 500, 501, 504])
        fun `passes on any other status with its signature`(status: Int) = runTest {
            results = { served(status) }
            val response = handleRequest("/book/1")
            expectThat(response.status).isEqualTo(status)
            expectThat(response.headers[names.signature]).isEqualTo("sig")
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

        /** Guards against a request that is sent on after its caller has left, because a late event loop read it long after (GONE). */
        @Test
        fun `counts the time for which the request may have waited to be read`() = runTest {
            readDelayMs = 850
            expectThat(handleRequest("/read/1", deadlineMs = 800).status).isEqualTo(503)
            expectThat(sent).hasSize(0)
            readDelayMs = 300
            handleRequest("/read/1", deadlineMs = 800)
            expectThat(
                sent
                    .single()
                    .second.headers[names.deadlineMs]!!
                    .toLong(),
            ).isLessThan(501)
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

    /** Guards against a key that the router reads in another way than the target that gets the same text. */
    @ParameterizedTest
    @ValueSource(strings = ["", "+5", "-1", "65536", "2147483647", "5 ", "0x5", "\u0665", "000005"])
    fun `rejects a key that is no number of one to five digits in the key space`(key: String) = runTest {
        handleRequest("/read/1")
        sent.clear()
        val keyed = request("/keyed/1").let { HttpRequest(it.method, it.target, it.headers.with(names.key, key), it.body) }
        expectThat(router.handle(keyed).status).isEqualTo(400)
        expectThat(sent).hasSize(0)
    }

    /** Guards against a 404 while no routing table is known, after which a caller would not retry. */
    @Test
    fun `answers 503 before the first routing table, and 404 only if the table has no route`() = runTest {
        val request = HttpRequest("GET", "/none/1", headersOf("Host" to "h", names.requestId to "r1"))
        expectThat(router.handle(request).status).isEqualTo(503)
        expectThat(handleRequest("/none/1").status).isEqualTo(404)
    }
}
