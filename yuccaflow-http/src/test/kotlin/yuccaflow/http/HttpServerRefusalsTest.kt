package yuccaflow.http

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.get
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue

@DisplayName("An HTTP server")
class HttpServerRefusalsTest : HttpServerFixture() {
    @Nested
    @DisplayName("given a malformed or ambiguous request")
    inner class MalformedOrAmbiguousRequests {
        @ParameterizedTest
        @ValueSource(
            strings = [
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc",
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0x3\r\n\r\nabc",
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: \r\n\r\nabc",
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcdef\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n folded\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n\tfolded\r\n\r\n",
                "GET / HTTP/1.1\r\n Host: h\r\n\r\n",
                "\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n X-A: 1\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: h\r\nX-A : 1\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: h\r\nno colon\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: h\r\nX-A: a\u0000b\r\n\r\n",
                "GET / HTTP/1.1\r\nX-A: 1\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
                "GET\r\n\r\n",
                "GET /\r\n\r\n",
                "GET / HTTP/2.0\r\nHost: h\r\n\r\n",
                "GET / FTP/1.1\r\nHost: h\r\n\r\n",
                "GET nopath HTTP/1.1\r\nHost: h\r\n\r\n",
                "GET /\u00e9 HTTP/1.1\r\nHost: h\r\n\r\n",
                "G(T / HTTP/1.1\r\nHost: h\r\n\r\n",
            ],
        )
        fun `refuses it with 400 and closes the connection, so that no request can be smuggled`(text: String) {
            start().use { caller ->
                caller.send(text)
                val response = caller.response()
                expectThat(response.status).isEqualTo(400)
                expectThat(response.headers)["yuccaflow-outcome"].isEqualTo("not-run")
                expectThat(response.headers)["x-request-id"].isNotNull()
                expectThat(caller.isClosedByServer()).isTrue()
            }
            expectThat(handled).isEmpty()
        }

        @Test
        fun `refuses a folded line that arrives byte by byte`() {
            start().use { caller ->
                "GET / HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n folded\r\n\r\n".forEach { runCatching { caller.send(it.toString()) } }
                expectThat(caller.response().status).isEqualTo(400)
            }
        }

        @Test
        fun `accepts lines that begin with a space within a body`() {
            start().use { caller ->
                caller.send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n\r\n a\r\n" + VALID_REQUEST)
                expectThat(caller.response().body).isEqualTo("POST /b \r\n a\r\n")
                expectThat(caller.response().status).isEqualTo(200)
            }
        }
    }

    @Nested
    @DisplayName("given a caller that sends too much or too slowly")
    inner class Limits {
        @Test
        fun `refuses a body whose announced length is over the limit`() {
            start(HttpServerLimits(bodyLimitBytes = 4)).use { caller ->
                caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n")
                expectThat(caller.response().status).isEqualTo(413)
                expectThat(caller.isClosedByServer()).isTrue()
            }
        }

        @Test
        fun `refuses a chunked body as soon as it is over the limit`() {
            start(HttpServerLimits(bodyLimitBytes = 4)).use { caller ->
                caller.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\nabc\r\n")
                expectThat(caller.response().status).isEqualTo(413)
                expectThat(caller.isClosedByServer()).isTrue()
            }
            expectThat(handled).isEmpty()
        }

        @Test
        fun `refuses headers over the limit`() {
            start(HttpServerLimits(headerLimitBytes = 64)).use { caller ->
                caller.send("GET / HTTP/1.1\r\nHost: h\r\n" + "X-A: 123456789\r\n".repeat(8) + "\r\n")
                expectThat(caller.response().status).isEqualTo(431)
                expectThat(caller.isClosedByServer()).isTrue()
            }
        }

        @Test
        fun `refuses a request line over the limit`() {
            start(HttpServerLimits(requestLineLimitBytes = 64)).use { caller ->
                caller.send("GET /${"a".repeat(100)} HTTP/1.1\r\nHost: h\r\n\r\n")
                expectThat(caller.response().status).isEqualTo(414)
            }
        }

        @ParameterizedTest
        @ValueSource(
            strings = [
                "G",
                "GET / HTTP/1.1\r\nHost: h\r\n",
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab",
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
            ],
        )
        fun `refuses a request that does not arrive completely in time`(text: String) {
            start(HttpServerLimits(requestTimeoutMs = 50)).use { caller ->
                caller.send(text)
                expectThat(caller.response().status).isEqualTo(408)
                expectThat(caller.isClosedByServer()).isTrue()
            }
            expectThat(handled).isEmpty()
        }

        @Test
        fun `limits the total time of a request, so that a trickle of bytes does not keep a connection open`() {
            start(HttpServerLimits(requestTimeoutMs = 100)).use { caller ->
                caller.send("GET / HTTP/1.1\r\nHost: h\r\nX-A: ")
                val trickle = Thread {
                    runCatching {
                        while (true) {
                            caller.send("a")
                            Thread.sleep(10)
                        }
                    }
                }
                trickle.start()
                expectThat(caller.response().status).isEqualTo(408)
                caller.close()
                trickle.join()
            }
        }

        @Test
        fun `closes an idle connection without a response`() {
            start(HttpServerLimits(idleTimeoutMs = 50)).use { caller -> expectThat(caller.isClosedByServer()).isTrue() }
        }

        @Test
        fun `refuses connections over the limit with 503 and the outcome not-run`() {
            start(HttpServerLimits(connectionLimit = 1)).use { first ->
                first.send(VALID_REQUEST).response()
                RawHttpClient(server!!.address).use { second ->
                    val response = second.response()
                    expectThat(response.status).isEqualTo(503)
                    expectThat(response.headers)["yuccaflow-outcome"].isEqualTo("not-run")
                }
            }
        }
    }
}
