package yuccaflow.http

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.yield
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.get
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import java.util.Collections
import java.util.concurrent.atomic.AtomicInteger

@DisplayName("An HTTP server")
class HttpServerTest : HttpServerFixture() {
    @Nested
    @DisplayName("on one connection")
    inner class Connections {
        @Test
        fun `answers pipelined requests in order, one at a time`() {
            val running = Collections.synchronizedList(mutableListOf<Int>())
            val count = AtomicInteger()
            start { request ->
                running += count.incrementAndGet()
                yield()
                count.decrementAndGet()
                ECHO.handle(request)
            }.use { caller ->
                caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n")
                expectThat(List(3) { caller.response().body }).containsExactly("GET /1 ", "GET /2 ", "GET /3 ")
            }
            expectThat(running.toList()).containsExactly(1, 1, 1)
        }

        /** Guards against a slow request that delays those after it, and against responses in the wrong order. */
        @Test
        fun `handles pipelined requests concurrently up to the pipeline depth and answers in order`() {
            val behind = CompletableDeferred<Unit>()
            start(HttpServerLimits(pipelineDepth = 2)) { request ->
                if (request.target == "/1") behind.await() else behind.complete(Unit)
                ECHO.handle(request)
            }.use { caller ->
                caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
                expectThat(List(2) { caller.response().body }).containsExactly("GET /1 ", "GET /2 ")
            }
        }

        /** Guards against a close that is announced before the responses of requests in progress: callers would send those again. */
        @Test
        fun `announces a close with the last response only, while it still accepts connections`() {
            val first = CompletableDeferred<Unit>()
            start(HttpServerLimits(pipelineDepth = 4)) { request ->
                if (request.target == "/1") first.await()
                ECHO.handle(request)
            }.use { caller ->
                caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
                while (handled.size < 2) Thread.sleep(1)
                server!!.announceClose()
                first.complete(Unit)
                expectThat(caller.response().headers["connection"]).isEqualTo(null)
                expectThat(caller.response().headers["connection"]).isEqualTo("close")
                RawHttpClient(server!!.address).use {
                    expectThat(it.send(VALID_REQUEST).response().headers["connection"]).isEqualTo("close")
                }
            }
        }

        /** Guards against a caller that always has requests in progress and whose last ones are cut off when the server stops. */
        @Test
        fun `handles at most one more request after the announcement, even if the caller keeps sending`() {
            val first = CompletableDeferred<Unit>()
            start(HttpServerLimits(pipelineDepth = 4)) { request ->
                if (request.target == "/1") first.await()
                ECHO.handle(request)
            }.use { caller ->
                caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
                while (handled.isEmpty()) Thread.sleep(1)
                server!!.announceClose()
                caller.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n")
                Thread.sleep(PIPELINED_REQUESTS_READ_MS)
                first.complete(Unit)
                val bodies = ArrayList<String>()
                do {
                    val response = caller.response()
                    bodies += response.body
                } while (response.headers["connection"] != "close")
                expectThat(bodies).isEqualTo(handled.mapTo(ArrayList()) { "GET $it " })
                expectThat(handled.size).isLessThanOrEqualTo(2)
                expectThat(caller.isClosedByServer()).isTrue()
            }
        }

        /** Guards against a request that is taken behind a long one late in a shutdown and cut off without a response at its end. */
        @Test
        fun `takes no request behind one in progress after the announcement`() {
            val first = CompletableDeferred<Unit>()
            start(HttpServerLimits(pipelineDepth = 4)) { request ->
                first.await()
                ECHO.handle(request)
            }.use { caller ->
                caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
                while (handled.isEmpty()) Thread.sleep(1)
                server!!.announceClose()
                caller.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
                Thread.sleep(PIPELINED_REQUESTS_READ_MS)
                first.complete(Unit)
                expectThat(caller.response().headers["connection"]).isEqualTo("close")
                expectThat(caller.isClosedByServer()).isTrue()
                expectThat(handled.toList()).containsExactly("/1")
            }
        }

        @Test
        fun `serves many pipelined requests that fill the event queue`() {
            val requests = 2_000
            start().use { caller ->
                val sender = Thread { repeat(requests) { caller.send("GET /$it HTTP/1.1\r\nHost: h\r\n\r\n") } }
                sender.start()
                repeat(requests) { expectThat(caller.response().body).isEqualTo("GET /$it ") }
                sender.join()
            }
        }

        @Test
        fun `answers Expect 100-continue before it reads the body`() {
            start().use { caller ->
                caller.send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
                expectThat(caller.response().status).isEqualTo(100)
                expectThat(caller.send("hi").response().body).isEqualTo("POST /b hi")
            }
        }

        @Test
        fun `refuses other expectations`() {
            start().use { caller ->
                caller.send("GET / HTTP/1.1\r\nHost: h\r\nExpect: tea\r\n\r\n")
                expectThat(caller.response().status).isEqualTo(417)
            }
        }

        @Test
        fun `keeps the connection open by default and closes it on Connection close`() {
            start().use { caller ->
                expectThat(caller.send(VALID_REQUEST).response().status).isEqualTo(200)
                val last = caller.send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").response()
                expectThat(last.headers)["connection"].isEqualTo("close")
                expectThat(caller.isClosedByServer()).isTrue()
            }
        }

        @Test
        fun `closes the connection after an HTTP 1_0 request`() {
            start().use { caller ->
                caller.send("GET /a HTTP/1.0\r\n\r\n").response()
                expectThat(caller.isClosedByServer()).isTrue()
            }
        }

        @Test
        fun `sends no body to HEAD, but its length`() {
            start().use { caller ->
                val response = caller.send("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n").response(bodyExpected = false)
                expectThat(response.headers)["content-length"].isEqualTo("8")
                expectThat(caller.send(VALID_REQUEST).response().body).isEqualTo("GET /a ")
            }
        }

        @Test
        fun `reduces an absolute request target to its path`() {
            start().use { caller ->
                caller.send("GET http://h:80/a?b HTTP/1.1\r\nHost: h\r\n\r\n")
                expectThat(caller.response().body).isEqualTo("GET /a?b ")
            }
        }

        @Test
        fun `does not forward hop-by-hop headers`() {
            start { HttpResponse(200, headersOf("Transfer-Encoding" to "chunked", "Content-Length" to "9", "X-A" to "1"), byteArrayOf(65)) }
                .use { caller ->
                    val response = caller.send(VALID_REQUEST).response()
                    expectThat(response.body).isEqualTo("A")
                    expectThat(response.headers["transfer-encoding"]).isEqualTo(null)
                }
        }
    }

    @Nested
    @DisplayName("around its handler")
    inner class Handling {
        @Test
        fun `answers 500 with outcome unknown when the handler fails`() {
            start { error("broken") }.use { caller ->
                val response = caller.send("GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r-1\r\n\r\n").response()
                expectThat(response.status).isEqualTo(500)
                expectThat(response.headers)["yuccaflow-outcome"].isEqualTo("unknown")
                expectThat(response.body).contains("\"request_id\":\"r-1\"")
            }
        }

        @Test
        fun `answers 500 when a timeout within the handler expires, and keeps the connection open`() {
            start { withTimeout(1) { awaitCancellation() } }.use { caller ->
                expectThat(caller.send(VALID_REQUEST).response().status).isEqualTo(500)
                expectThat(caller.send(VALID_REQUEST).response().status).isEqualTo(500)
            }
        }

        @Test
        fun `answers 500 when the handler returns a header that would split the response`() {
            start { HttpResponse(200, headersOf("X-A" to "1\r\nX-B: 2")) }.use { caller ->
                expectThat(caller.send(VALID_REQUEST).response().status).isEqualTo(500)
            }
        }

        @Test
        fun `cancels the handler when the caller disconnects`() = runBlocking {
            val entered = CompletableDeferred<Unit>()
            val cancelled = CompletableDeferred<Unit>()
            start {
                entered.complete(Unit)
                try {
                    awaitCancellation()
                } finally {
                    cancelled.complete(Unit)
                }
            }.use { caller ->
                caller.send(VALID_REQUEST)
                entered.await()
            }
            cancelled.await()
        }

        @Test
        fun `finishes a running request when it stops, and tells the caller to close the connection`() = runBlocking {
            val entered = CompletableDeferred<Unit>()
            val release = CompletableDeferred<Unit>()
            start {
                entered.complete(Unit)
                release.await()
                ECHO.handle(it)
            }.use { caller ->
                caller.send(VALID_REQUEST)
                entered.await()
                val closing = launch { server!!.close(60_000) }
                while (runCatching { RawHttpClient(server!!.address).close() }.isSuccess) delay(1)
                release.complete(Unit)
                expectThat(caller.response().headers)["connection"].isEqualTo("close")
                closing.join()
            }
        }
    }

    private companion object {
        /** Time in which a server that still reads has read two pipelined requests. */
        const val PIPELINED_REQUESTS_READ_MS = 200L
    }
}
