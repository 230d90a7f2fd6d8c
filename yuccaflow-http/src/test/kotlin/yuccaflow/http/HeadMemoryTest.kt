package yuccaflow.http

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList

@DisplayName("The memory for heads")
@Timeout(60)
class HeadMemoryTest {
    private val memory = MessageMemory(LIMIT_BYTES)

    private fun awaitUsed(isReached: (Long) -> Boolean) {
        while (!isReached(memory.usedBytes)) Thread.sleep(1)
    }

    private fun awaitFree() = awaitUsed { it == 0L }

    @Nested
    @DisplayName("of requests")
    inner class Requests {
        private val handled = CopyOnWriteArrayList<String>()

        @Volatile
        private var held = CompletableFuture.completedFuture(Unit)

        private val server = NettyHttpServer(
            SocketAddress("127.0.0.1", 0),
            Dispatchers.IO,
            { HttpServerLimits(requestTimeoutMs = REQUEST_TIMEOUT_MS) },
            {
                handled += it.target
                held.get()
                HttpResponse(OK, it.headers)
            },
            memory = memory,
        )

        @AfterEach
        fun stop() {
            held.complete(Unit)
            runBlocking { server.close(0) }
        }

        private fun caller(text: String) = RawHttpClient(server.address).send(text)

        /** Guards against heads that count only when they are complete, so that those that never end exhaust the heap. */
        @Test
        fun `is counted while a head is incomplete, and released when its caller leaves`() {
            repeat(ROUNDS) {
                caller(LARGE_HEAD).use { awaitUsed { it >= LARGE_LINES * LINE_BYTES } }
                awaitFree()
            }
        }

        /** Guards against trailers, which are header lines too. */
        @Test
        fun `is counted while trailers are incomplete, and released when their caller leaves`() {
            val begin = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
            repeat(ROUNDS) {
                caller(begin + "a:\r\n".repeat(LARGE_LINES)).use { awaitUsed { it >= LARGE_LINES * LINE_BYTES_IN_DECODER } }
                awaitFree()
            }
            expectThat(handled).isEmpty()
        }

        /** Guards against heads that count only until the request is handled, while their lines are still in use. */
        @Test
        fun `is counted until the response has been sent`() {
            held = CompletableFuture()
            caller("$LARGE_HEAD\r\n").use { caller ->
                while (handled.isEmpty()) Thread.sleep(1)
                expectThat(memory.usedBytes).isGreaterThan(LARGE_LINES * LINE_BYTES.toLong())
                held.complete(Unit)
                expectThat(caller.response().status).isEqualTo(OK)
                awaitFree()
            }
        }

        /** Guards against a refusal that is not true, and against large heads that take the room of small ones. */
        @Test
        fun `refuses a large head while others take most of it, serves small ones, and takes it when they are gone`() {
            caller(LARGE_HEAD).use { unfinished ->
                awaitUsed { it >= LARGE_LINES * LINE_BYTES }
                caller("$LARGE_HEAD\r\n".replace("/a", "/refused")).use { refused ->
                    val refusal = refused.response()
                    expectThat(refusal.status).isEqualTo(UNAVAILABLE)
                    expectThat(refusal.headers["yuccaflow-outcome"]).isEqualTo("not-run")
                    expectThat(refusal.headers["retry-after"]).isNotNull()
                    expectThat(refused.isClosedByServer()).isTrue()
                }
                expectThat(caller(VALID_REQUEST).use { it.response().status }).isEqualTo(OK)
                expectThat(unfinished.send("\r\n").response().status).isEqualTo(OK)
            }
            awaitFree()
            expectThat(caller("$LARGE_HEAD\r\n").use { it.response().status }).isEqualTo(OK)
            expectThat(handled).containsExactly("/a", "/a", "/a")
            awaitFree()
        }

        /** Guards against requests that are lost, or run behind a refusal, when a pipelined head finds no room. */
        @Test
        fun `refuses a pipelined head after the responses to those before it, and runs nothing after it`() {
            val tooLarge = "GET /b HTTP/1.1\r\nHost: h\r\n" + "a:\r\n".repeat(LARGE_LINES * 3) + "\r\n"
            caller(VALID_REQUEST + tooLarge + VALID_REQUEST.replace("/a", "/c")).use { caller ->
                expectThat(List(2) { caller.response().status }).containsExactly(OK, UNAVAILABLE)
                expectThat(caller.isClosedByServer()).isTrue()
            }
            expectThat(handled).containsExactly("/a")
            awaitFree()
        }

        /** Guards against memory that stays counted on the ways on which a request is refused for another reason. */
        @ParameterizedTest
        @ValueSource(
            strings = [
                "GET / HTTP/1.1\r\nHost: h\r\na:",
                "GET / HTTP/1.1\r\nHost: h\r\nno colon\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n folded\r\n\r\n",
                "GET / HTTP/1.1\r\nX-A: 1\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab",
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
                "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
            ],
        )
        fun `is released when the connection of a request is closed by the server`(text: String) {
            caller(text).use { caller ->
                caller.response()
                expectThat(caller.isClosedByServer()).isTrue()
            }
            awaitFree()
        }

        /** Guards against a connection that keeps memory counted between its requests. */
        @Test
        fun `is free while a connection is idle`() {
            caller("").use { caller ->
                repeat(ROUNDS) {
                    caller.send(VALID_REQUEST.repeat(3))
                    repeat(3) { expectThat(caller.response().status).isEqualTo(OK) }
                    awaitFree()
                }
            }
        }
    }

    @Nested
    @DisplayName("of responses")
    inner class Responses {
        private val server = ScriptedServer()
        private val client = NettyHttpClient(HttpClientSettings(connectTimeoutMs = 10_000), memory)

        @AfterEach
        fun stop() = runBlocking {
            client.close()
            server.close()
        }

        private suspend fun ask() = client.send(server.address, HttpRequest("GET", "/a"), LONG_MS)

        /** Guards against targets that exhaust the heap with the heads of their responses, and small ones that are refused for it. */
        @Test
        fun `breaks off a large head when others take most of it, and receives small ones`() {
            val text = "HTTP/1.1 200 OK\r\n" + "a:\r\n".repeat(LARGE_LINES)
            server.serve { socket, number ->
                socket.readRequest()
                when (number) {
                    1 -> socket.getOutputStream().write((text + text).toByteArray())
                    2 -> socket.answer("small")
                    else -> socket.getOutputStream().write("${text}Content-Length: 5\r\n\r\nlarge".toByteArray())
                }
                socket.getInputStream().read()
            }
            runBlocking(Dispatchers.IO) {
                expectThat(ask()).isA<HttpResult.Unknown>()
                expectThat(bodyOf(ask())).isEqualTo("small")
                awaitFree()
                client.close()
            }
            runBlocking(Dispatchers.IO) {
                val next = NettyHttpClient(HttpClientSettings(connectTimeoutMs = 10_000), memory)
                expectThat(bodyOf(next.send(server.address, HttpRequest("GET", "/a"), LONG_MS))).isEqualTo("large")
                awaitFree()
                next.close()
            }
        }

        /** Guards against interim responses that stay counted, and against a connection that ends within a head. */
        @Test
        fun `is released after interim responses and when a connection ends within a head`() {
            val interim = "HTTP/1.1 103 Any\r\n${"a:\r\n".repeat(LARGE_LINES / 2)}\r\n"
            server.serve { socket, number ->
                socket.readRequest()
                val stream = socket.getOutputStream()
                if (number == 1) {
                    repeat(ROUNDS) {
                        stream.write(interim.toByteArray())
                        Thread.sleep(TAKEN_MS)
                        awaitFree()
                    }
                    stream.write("HTTP/1.1 204 Any\r\nConnection: close\r\n\r\n".toByteArray())
                } else {
                    stream.write(interim.dropLast(2).toByteArray())
                }
            }
            runBlocking(Dispatchers.IO) {
                expectThat(ask()).isA<HttpResult.Answered>()
                awaitFree()
                expectThat(ask()).isA<HttpResult.Unknown>()
                awaitFree()
            }
        }
    }

    private companion object {
        const val LIMIT_BYTES = 900_000L
        const val ROUNDS = 5
        const val LARGE_LINES = 1_000

        /** At least the memory that a line takes with its copies, and alone in the decoder. */
        const val LINE_BYTES = 300
        const val LINE_BYTES_IN_DECODER = 144

        /** Takes less than half of the limit, so that one fits beside a few small ones, but not two. */
        val LARGE_HEAD = "GET /a HTTP/1.1\r\nHost: h\r\n" + "a:\r\n".repeat(LARGE_LINES)
        const val REQUEST_TIMEOUT_MS = 3_000L

        /** Time in which an interim response has usually arrived. */
        const val TAKEN_MS = 50L
        const val LONG_MS = 20_000L
        const val OK = 200
        const val UNAVAILABLE = 503
    }
}
