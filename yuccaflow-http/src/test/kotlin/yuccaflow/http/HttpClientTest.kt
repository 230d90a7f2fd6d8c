package yuccaflow.http

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.net.SocketException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private const val LONG_MS = 60_000L

/** Timeout for a server that does not respond. It must be long enough to open the connection on a busy machine. */
private const val SILENCE_MS = 2_000L

@DisplayName("An HTTP client")
class HttpClientTest {
    private val server = ScriptedServer()
    private val address = server.address
    private val client = httpClient(HttpClientSettings(connectTimeoutMs = 10_000))
    private val get = HttpRequest("GET", "/a", headersOf("X-Request-Id" to "r-1"))

    private fun send(timeoutMs: Long = LONG_MS, expectedId: String? = null, request: HttpRequest = get): HttpResult =
        runBlocking { client.send(address, request, timeoutMs, expectedId) }

    @AfterEach
    fun stop() = runBlocking {
        client.close()
        server.close()
    }

    @Nested
    @DisplayName("reports NotSent only when no byte was sent")
    inner class NotSent {
        @Test
        fun `for a refused connection`() {
            server.close()
            expectThat(send()).isA<HttpResult.NotSent>()
        }

        @Test
        fun `for an invalid request, which the server would read as two`() {
            server.serve { socket, _ -> socket.readRequest() }
            expectThat(send(request = HttpRequest("GET", "/", headersOf("X-A" to "1\r\n\r\nGET /b")))).isA<HttpResult.NotSent>()
            expectThat(send(request = HttpRequest("GET", "/ HTTP/1.1\r\nX: "))).isA<HttpResult.NotSent>()
        }

        @Test
        fun `for a request that found no free connection in time`() = runBlocking {
            val single = httpClient(HttpClientSettings(connectTimeoutMs = 10_000, connectionsPerAddress = 1))
            val arrived = CountDownLatch(1)
            server.serve { socket, _ ->
                socket.readRequest()
                arrived.countDown()
                socket.getInputStream().read()
            }
            val holder = launch(Dispatchers.IO) { single.send(address, get, LONG_MS) }
            arrived.await()
            expectThat(single.send(address, get, 50)).isA<HttpResult.NotSent>()
            holder.cancel()
        }
    }

    @Nested
    @DisplayName("aborts the connection of a request without a response")
    inner class Aborts {
        private val arrived = CountDownLatch(1)
        private val end = CompletableFuture<Result<Int>>()

        private fun serveWithoutAnswer() = server.serve { socket, _ ->
            socket.readRequest()
            arrived.countDown()
            end.complete(runCatching { socket.getInputStream().read() })
        }

        /** Guards against bytes that the kernel retransmits after a partition, seconds after the request was abandoned. */
        @Test
        fun `when its timeout expires`() {
            serveWithoutAnswer()
            expectThat(send(timeoutMs = SILENCE_MS)).isA<HttpResult.Unknown>()
            expectThat(end.get().exceptionOrNull()).isA<SocketException>()
        }

        /** Guards against the same when the caller has disconnected. */
        @Test
        fun `when it is cancelled`() {
            serveWithoutAnswer()
            runBlocking {
                val sending = launch(Dispatchers.IO) { client.send(address, get, LONG_MS) }
                arrived.await()
                sending.cancel()
            }
            expectThat(end.get().exceptionOrNull()).isA<SocketException>()
        }
    }

    @Nested
    @DisplayName("reports Unknown once bytes were sent")
    inner class Unknown {
        @Test
        fun `for a response that arrives late, and never returns that response for the next request`() {
            val next = CountDownLatch(1)
            server.serve { socket, number ->
                socket.readRequest()
                if (number == 1) next.await()
                socket.answer("answer $number")
                socket.getInputStream().read()
            }
            expectThat(send(timeoutMs = SILENCE_MS)).isA<HttpResult.Unknown>()
            next.countDown()
            expectThat(bodyOf(send())).isEqualTo("answer 2")
        }

        @Test
        fun `for the response to another request, and closes the connection`() {
            server.serve { socket, number ->
                socket.readRequest()
                socket.answer("answer $number", if (number == 1) "X-Request-Id: other\r\n" else "X-Request-Id: r-1\r\n")
                socket.getInputStream().read()
            }
            expectThat(send(expectedId = "r-1")).isA<HttpResult.Unknown>()
            expectThat(bodyOf(send(expectedId = "r-1"))).isEqualTo("answer 2")
        }

        @Test
        fun `for a connection that is closed before the response`() {
            server.serve { socket, _ -> socket.readRequest() }
            expectThat(send()).isA<HttpResult.Unknown>()
        }

        @Test
        fun `for part of a response with a length`() = expectUnknownFor("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")

        @Test
        fun `for part of a chunked response`() = expectUnknownFor("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")

        @Test
        fun `for part of the headers`() = expectUnknownFor("HTTP/1.1 200 OK\r\nContent-")

        @Test
        fun `for a close-delimited response, since a truncated one would look complete`() = expectUnknownFor("HTTP/1.1 200 OK\r\n\r\nhalf")

        @Test
        fun `for bytes that are not HTTP`() = expectUnknownFor("ready\r\n\r\n")

        @Test
        fun `for a body over the limit`() = expectUnknownFor("HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n" + "a".repeat(2_000_000))

        private fun expectUnknownFor(answer: String) {
            server.serve { socket, _ ->
                socket.readRequest()
                socket.getOutputStream().write(answer.toByteArray())
            }
            expectThat(send()).isA<HttpResult.Unknown>()
        }
    }

    @Nested
    @DisplayName("keeps connections alive")
    inner class Keeping {
        @Test
        fun `and reuses one after a complete response`() {
            server.serve { socket, number -> while (socket.readRequest()) socket.answer("on $number") }
            expectThat(bodyOf(send())).isEqualTo("on 1")
            expectThat(bodyOf(send())).isEqualTo("on 1")
        }

        /** Guards against a repeated response without a request id that is taken for the answer to the next request. */
        @Test
        fun `but not when its settings say that connections are not reused`() {
            val withoutReuse = httpClient(HttpClientSettings(connectTimeoutMs = 10_000, reusesConnections = false))
            server.serve { socket, number -> while (socket.readRequest()) socket.answer("on $number") }
            expectThat(bodyOf(runBlocking { withoutReuse.send(address, get, LONG_MS) })).isEqualTo("on 1")
            expectThat(bodyOf(runBlocking { withoutReuse.send(address, get, LONG_MS) })).isEqualTo("on 2")
        }

        @Test
        fun `but opens a new one when the server has closed the idle one`() {
            val closed = CountDownLatch(1)
            server.serve { socket, number ->
                socket.readRequest()
                socket.answer("on $number")
                if (number == 1) {
                    socket.close()
                    closed.countDown()
                } else {
                    socket.getInputStream().read()
                }
            }
            expectThat(bodyOf(send())).isEqualTo("on 1")
            closed.await()
            // The close may reach the client after its next write, and then the outcome is unknown.
            val result = send()
            expectThat(result is HttpResult.Unknown || bodyOf(result) == "on 2").isTrue()
        }

        @Test
        fun `but never takes a second response on one for the response to the next request`() {
            val extra = CountDownLatch(1)
            server.serve { socket, number ->
                socket.readRequest()
                socket.answer("on $number")
                if (number == 1) {
                    socket.answer("extra")
                    extra.countDown()
                }
                socket.readRequest()
            }
            expectThat(bodyOf(send(expectedId = "r-1"))).isEqualTo("on 1")
            extra.await()
            // The second response may reach the client after its next write.
            expectThat(send(expectedId = "r-2")).isA<HttpResult.Unknown>()
        }

        @Test
        fun `but not one that was idle for longer than the limit, since it may be dead`() = runBlocking<Unit> {
            val withoutIdleTime = httpClient(HttpClientSettings(connectTimeoutMs = 10_000, maxIdleMs = 0))
            server.serve { socket, number -> while (socket.readRequest()) socket.answer("on $number") }
            expectThat(bodyOf(withoutIdleTime.send(address, get, LONG_MS))).isEqualTo("on 1")
            expectThat(bodyOf(withoutIdleTime.send(address, get, LONG_MS))).isEqualTo("on 2")
        }

        @Test
        fun `but not one whose response says Connection close`() {
            server.serve { socket, number ->
                socket.readRequest()
                socket.answer("on $number", "Connection: close\r\n")
                socket.getInputStream().read()
            }
            expectThat(bodyOf(send())).isEqualTo("on 1")
            expectThat(bodyOf(send())).isEqualTo("on 2")
        }
    }

    @Nested
    @DisplayName("in which an exception is thrown")
    inner class Throwing {
        /** Guards against a request that hangs until its timeout, because its preparation fails on the event loop. */
        @Test
        fun `reports at once that a request whose preparation fails was not sent`() {
            server.serve { socket, _ -> runCatching { socket.readRequest() } }
            val result = runBlocking { client.send(address, get, SILENCE_MS, prepare = { error("unexpected") }) }
            expectThat(result).isA<HttpResult.NotSent>().get { reason }.contains("unexpected")
        }

        /** Guards against an exception for a sender that expects a result, and therefore does not learn that the request may have run. */
        @Test
        fun `reports that a request may have run if a part of its response cannot be passed on`() {
            server.serve { socket, _ ->
                socket.readRequest()
                socket.answer("x")
            }
            val limits = TransferLimits(LONG_MS, LONG_MS, LONG_MS)
            val result = runBlocking { client.transfer(address, get, limits) { _, _ -> error("unexpected") } }
            expectThat(result).isA<HttpResult.Unknown>().get { reason }.contains("unexpected")
        }
    }

    /** Guards against a request that is sent although its sender lost the right to send it while it waited for a connection. */
    @Test
    fun `does not send a request that was withdrawn while it waited for a connection`() {
        val received = CompletableFuture<Boolean>()
        // The client aborts the connection, so that reading from it fails.
        server.serve { socket, _ -> received.complete(runCatching { socket.readRequest() }.getOrDefault(false)) }
        val result = runBlocking { client.send(address, get, LONG_MS, prepare = { null }) }
        expectThat(result).isA<HttpResult.NotSent>().get { isWithdrawn }.isEqualTo(true)
        expectThat(received.get(LONG_MS, TimeUnit.MILLISECONDS)).isEqualTo(false)
    }

    /** Guards against a server that works past the deadline because the request states the time left before the wait for a connection. */
    @Test
    fun `sends what is prepared right before the request is written`() {
        val received = CompletableFuture<String>()
        server.serve { socket, _ ->
            received.complete(socket.getInputStream().bufferedReader().readLine())
            socket.answer("x")
        }
        runBlocking { client.send(address, get, LONG_MS, prepare = { HttpRequest(it.method, "/prepared") }) }
        expectThat(received.get(LONG_MS, TimeUnit.MILLISECONDS)).isEqualTo("GET /prepared HTTP/1.1")
    }

    @Test
    fun `skips interim responses`() {
        server.serve { socket, _ ->
            socket.readRequest()
            socket.getOutputStream().write("HTTP/1.1 100 Continue\r\n\r\n".toByteArray())
            socket.answer("final")
        }
        expectThat(bodyOf(send())).isEqualTo("final")
    }

    @Test
    fun `accepts the response to HEAD without a body`() {
        server.serve { socket, _ ->
            while (socket.readRequest()) socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n".toByteArray())
        }
        val result = send(request = HttpRequest("HEAD", "/a"))
        expectThat(result).isA<HttpResult.Answered>().get { response.headers["Content-Length"] }.isEqualTo("5")
    }
}
