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

    /** Guards against a relay that forwards without its delay, or that lets bytes through while cut or silent. */
    @Test
    fun `delays, cuts and silences its route`(): Unit = runBlocking {
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

    /** Guards against a relay that accepts connections in place of a stopped router, so that requests look cut that callers could repeat. */
    @Test
    fun `refuses connections while nobody listens behind it`(): Unit = runBlocking {
        val behind = SocketAddress(LOOPBACK, freePort())
        val relay = RelayStandin(listOf(RouteSpec("r", "$entry", "$behind")))
        relay.start()
        // The relay learns from the first connection that nobody listens.
        send(ANSWER_TIMEOUT_MS)
        repeat(REFUSALS) { expectThat(send(ANSWER_TIMEOUT_MS)).isA<HttpResult.NotSent>().get { isRefused }.isTrue() }
        val server = httpServer(behind, StandinLimits, HttpHandler { HttpResponse(OK) })
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

        /** An answer that is due may take this long on a busy machine. */
        const val ANSWER_TIMEOUT_MS = 30_000L

        /** How long the test listens for an answer that must not come. */
        const val SILENCE_MS = 300L
        const val POLL_MS = 10L
        const val REFUSALS = 50

        fun freePort(): Int = ServerSocket(0, 1, InetAddress.getByName(LOOPBACK)).use { it.localPort }
    }
}
