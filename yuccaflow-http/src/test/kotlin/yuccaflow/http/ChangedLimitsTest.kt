package yuccaflow.http

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

@DisplayName("An HTTP server whose limits change while a connection is open")
class ChangedLimitsTest {
    @Volatile
    private var limits =
        HttpServerLimits(bodyLimitBytes = 4, headerLimitBytes = 64, requestLineLimitBytes = 64, idleTimeoutMs = SHORT_IDLE_MS)
    private val server = httpServer(SocketAddress("127.0.0.1", 0), Dispatchers.Default, { limits }) { HttpResponse(200, body = it.body) }
    private val caller = RawHttpClient(server.address)

    @AfterEach
    fun stop() = runBlocking {
        caller.close()
        server.close(0)
    }

    private fun statusOf(request: String): Int = caller.send(request).response().status

    @Nested
    @DisplayName("to higher ones")
    inner class Higher {
        /** Guards against proper requests that are refused for the life of a connection that was opened before the limits were known. */
        @Test
        fun `applies them to the next request on the connection`() {
            expectThat(statusOf(VALID_REQUEST)).isEqualTo(200)
            limits = HttpServerLimits()
            expectThat(statusOf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789")).isEqualTo(200)
            expectThat(statusOf("GET /a HTTP/1.1\r\nHost: h\r\nX-A: ${"a".repeat(100)}\r\n\r\n")).isEqualTo(200)
            expectThat(statusOf("GET /${"a".repeat(100)} HTTP/1.1\r\nHost: h\r\n\r\n")).isEqualTo(200)
        }

        /** Guards against a connection that is closed while its caller may still use it. */
        @Test
        fun `keeps the connection open for the new idle time`() {
            expectThat(statusOf(VALID_REQUEST)).isEqualTo(200)
            limits = HttpServerLimits()
            Thread.sleep(3 * SHORT_IDLE_MS)
            expectThat(statusOf(VALID_REQUEST)).isEqualTo(200)
        }
    }

    /** Guards against callers that go on sending what the operators no longer allow. */
    @Test
    fun `applies lower ones to the next request on the connection`() {
        limits = HttpServerLimits()
        expectThat(statusOf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789")).isEqualTo(200)
        limits = HttpServerLimits(bodyLimitBytes = 4)
        expectThat(statusOf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789")).isEqualTo(413)
    }

    /** Guards against bytes that are lost between two requests when the limits have changed. */
    @Test
    fun `reads pipelined requests whole`() {
        val post = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"
        caller.send("${post}01${post}23${post.dropLast(10)}")
        repeat(2) { expectThat(caller.response().body).isEqualTo("${2 * it}${2 * it + 1}") }
        limits = HttpServerLimits()
        caller.send("${post.takeLast(10)}45$VALID_REQUEST")
        expectThat(caller.response().body).isEqualTo("45")
        expectThat(caller.response().status).isEqualTo(200)
    }

    private companion object {
        const val SHORT_IDLE_MS = 500L
    }
}
