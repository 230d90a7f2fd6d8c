package yuccaflow.standins

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isTrue
import yuccaflow.http.HttpClientSettings
import yuccaflow.http.HttpHandler
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpResult
import yuccaflow.http.SocketAddress
import yuccaflow.http.httpClient
import yuccaflow.http.httpServer
import java.net.InetAddress
import java.net.ServerSocket

class RelayStandinTest {
    private val client = httpClient(HttpClientSettings())
    private val entry = SocketAddress(LOOPBACK, freePort())

    /** The relay must apply its delay and must forward nothing while the route is cut or silent. */
    @Test
    fun `delays, cuts and silences a route`(): Unit = runBlocking {
        val server = httpServer(SocketAddress(LOOPBACK, 0), StandinLimits, HttpHandler { HttpResponse(OK) })
        val relay = RelayStandin(listOf(RouteSpec("r", "$entry", "${server.address}", DELAY_MS * 1_000)))
        relay.start()
        val started = System.nanoTime()
        expectThat(send(ANSWER_TIMEOUT_MS)).isA<HttpResult.Answered>()
        expectThat((System.nanoTime() - started) / NANOS_PER_MS).isGreaterThanOrEqualTo(2 * DELAY_MS)
        switch(relay, """{"cut":true}""")
        expectThat(send(SILENCE_MS)).not().isA<HttpResult.Answered>()
        switch(relay, """{"cut":false,"silent":true}""")
        expectThat(send(SILENCE_MS)).isA<HttpResult.Unknown>()
        switch(relay, """{"silent":false}""")
        expectThat(send(ANSWER_TIMEOUT_MS)).isA<HttpResult.Answered>()
        relay.close()
        server.close(0)
    }

    /** If the relay accepted connections for a stopped router, requests that callers may retry would have an unknown outcome. */
    @Test
    fun `refuses connections while the destination does not listen`(): Unit = runBlocking {
        val destination = SocketAddress(LOOPBACK, freePort())
        val relay = RelayStandin(listOf(RouteSpec("r", "$entry", "$destination")))
        relay.start()
        // The relay detects with the first connection that the destination does not listen.
        send(ANSWER_TIMEOUT_MS)
        repeat(REFUSALS) { expectThat(send(ANSWER_TIMEOUT_MS)).isA<HttpResult.NotSent>().get { isRefused }.isTrue() }
        val server = httpServer(destination, StandinLimits, HttpHandler { HttpResponse(OK) })
        withTimeout(ANSWER_TIMEOUT_MS) {
            while (send(ANSWER_TIMEOUT_MS) !is HttpResult.Answered) delay(POLL_MS)
        }
        relay.close()
        server.close(0)
    }

    private suspend fun send(timeoutMs: Long) = client.send(entry, HttpRequest("GET", "/"), timeoutMs)

    private suspend fun switch(relay: RelayStandin, json: String) =
        relay.handle(HttpRequest("POST", "/switches", body = json.encodeToByteArray()))

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val DELAY_MS = 20L

        /** Upper bound of a response time on a busy machine. */
        const val ANSWER_TIMEOUT_MS = 30_000L

        /** Time for which the test waits for a response that must not arrive. */
        const val SILENCE_MS = 300L
        const val POLL_MS = 10L
        const val REFUSALS = 50

        fun freePort(): Int = ServerSocket(0, 1, InetAddress.getByName(LOOPBACK)).use { it.localPort }
    }
}
