package yuccaflow.http

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.util.concurrent.CountDownLatch
import kotlin.random.Random

@DisplayName("The memory for messages")
@Timeout(30)
class MessageMemoryTest {
    private val memory = MessageMemory(LIMIT_BYTES)

    @Nested
    @DisplayName("of all requests together")
    inner class Requests {
        private val server =
            NettyHttpServer(
                SocketAddress("127.0.0.1", 0),
                Dispatchers.Default,
                { HttpServerLimits() },
                { HttpResponse(OK, body = it.body) },
                memory = memory,
            )

        @AfterEach
        fun stop() = runBlocking { server.close(0) }

        private fun upload(bytes: Int, sentBytes: Int = bytes): RawHttpClient =
            RawHttpClient(server.address).send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: $bytes\r\n\r\n" + "x".repeat(sentBytes))

        private fun statusOf(bytes: Int): Int = upload(bytes).use { it.response().status }

        /** Guards against bodies within the limit of each that together exhaust the memory of the process (review case 2). */
        @Test
        fun `refuses a large body while others take most of it, and takes it when they are gone`() {
            upload(LARGE_BYTES, LARGE_BYTES - 1).use { unfinished ->
                awaitUsed(LARGE_BYTES - 1L + UPLOAD_HEAD_BYTES)
                upload(LARGE_BYTES).use { caller ->
                    val refusal = caller.response()
                    expectThat(refusal.status).isEqualTo(UNAVAILABLE)
                    expectThat(refusal.headers["retry-after"]).isNotNull()
                }
                expectThat(statusOf(SMALL_BYTES)).isEqualTo(OK)
                expectThat(unfinished.send("x").response().status).isEqualTo(OK)
            }
            awaitUsed(0)
            expectThat(statusOf(LARGE_BYTES)).isEqualTo(OK)
        }

        /** Guards against memory that stays counted for bodies whose callers have left, until every request is refused. */
        @Test
        fun `is released when a caller leaves within a body`() {
            repeat(ROUNDS) {
                upload(LARGE_BYTES, LARGE_BYTES - 1).use { awaitUsed(LARGE_BYTES - 1L + UPLOAD_HEAD_BYTES) }
                awaitUsed(0)
            }
            expectThat(statusOf(LARGE_BYTES)).isEqualTo(OK)
        }

        private fun awaitUsed(bytes: Long) {
            while (memory.usedBytes != bytes) Thread.sleep(1)
        }
    }

    @Nested
    @DisplayName("of all responses together")
    inner class Responses {
        private val server = ScriptedServer()
        private val client = NettyHttpClient(HttpClientSettings(), memory)
        private val get = HttpRequest("GET", "/a", headersOf("X-Request-Id" to "r-1"))

        @AfterEach
        fun stop() = server.close()

        private suspend fun ask() = client.send(server.address, get, LONG_MS)

        /** Guards against a few endless responses that exhaust the memory of the process or the room for others (review case 3). */
        @Test
        fun `breaks off endless responses and receives small ones meanwhile`() {
            val haveAllStarted = CountDownLatch(ENDLESS)
            server.serve { socket, number ->
                socket.readRequest()
                if (number > ENDLESS) {
                    do socket.answer("small") while (socket.readRequest())
                } else {
                    socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n".toByteArray())
                    haveAllStarted.countDown()
                    while (true) socket.getOutputStream().write(ByteArray(SMALL_BYTES))
                }
            }
            runBlocking(Dispatchers.Default) {
                val endless = List(ENDLESS) { async { ask() } }
                haveAllStarted.await()
                repeat(ROUNDS) { expectThat(bodyOf(ask())).isEqualTo("small") }
                endless.forEach { expectThat(it.await()).isA<HttpResult.Unknown>() }
            }
            expectThat(memory.usedBytes).isEqualTo(0)
        }
    }

    /** Guards against a count that drifts, so that memory is exceeded or every body is refused. */
    @Test
    fun `never exceeds its limit and is free again when all bodies are released`() {
        val random = Random(1)
        repeat(ROUNDS) {
            val accounts = List(8) { MemoryAccount(memory) }
            val sizes = LongArray(accounts.size)
            repeat(500) {
                val index = random.nextInt(accounts.size)
                val part = random.nextInt(SMALL_BYTES)
                if (accounts[index].tryReserve(sizes[index].toInt(), part)) sizes[index] += part.toLong()
                expectThat(memory.usedBytes).isLessThanOrEqualTo(LIMIT_BYTES).isEqualTo(sizes.sum())
            }
            // The bodies that were refused leave room for small ones.
            expectThat(LIMIT_BYTES - memory.usedBytes).isGreaterThanOrEqualTo(LIMIT_BYTES / (2 * accounts.size))
            accounts.forEach { it.releaseAll() }
            expectThat(memory.usedBytes).isEqualTo(0)
        }
    }

    @Test
    fun `takes a body of up to half of it when nothing else is held`() {
        expectThat(memory.tryReserve(0, LIMIT_BYTES / 2)).isTrue()
    }

    private companion object {
        const val LIMIT_BYTES = 400_000L

        /** Less than half of the limit, so that one fits beside a few small ones, but not two. */
        const val LARGE_BYTES = 180_000
        const val SMALL_BYTES = 1_000

        /** The head of an upload of [LARGE_BYTES]: its lines and the characters of these and of the target. */
        val UPLOAD_HEAD_BYTES = HeadSize.of(2, "Host".length + "h".length + "Content-Length".length + "180000".length + "/a".length)
        const val ENDLESS = 5
        const val ROUNDS = 20
        const val OK = 200
        const val UNAVAILABLE = 503
        const val LONG_MS = 20_000L
    }
}
