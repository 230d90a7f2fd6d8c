package yuccaflow.http

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

private const val LONG_MS = 60_000L

@DisplayName("An HTTP client that gets a response with an odd status line")
@Timeout(30)
class InvalidResponseTest {
    private val server = ScriptedServer()
    private val client = httpClient(HttpClientSettings(connectTimeoutMs = 10_000, acceptsCloseDelimitedBodies = true))
    private val get = HttpRequest("GET", "/a")

    @AfterEach
    fun stop() = runBlocking {
        client.close()
        server.close()
    }

    /** Returns the result when the server sends a response that begins with [head] and closes the connection, or leaves it open. */
    private fun resultOf(head: String, closes: Boolean = true): HttpResult {
        server.serve { socket, _ ->
            socket.readRequest()
            socket.getOutputStream().write("$head\r\nContent-Length: 2\r\n\r\nok".toByteArray())
            if (closes) socket.shutdownOutput()
            socket.getInputStream().read()
        }
        return runBlocking { client.send(server.address, get, LONG_MS) }
    }

    /** Guards against callers that get a status which is none in the protocol, as if the target had responded (seen on other systems). */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 000 Any", "HTTP/1.1 0 Any", "HTTP/1.1 099 Any", "HTTP/1.1 99 Any", "HTTP/1.1 600 Any", "HTTP/1.1 999 Any",
            "HTTP/1.1 2000 Any", "HTTP/1.1 0200 Any", "HTTP/1.1 +200 Any", "HTTP/1.1 -200 Any", "HTTP/1.1 +20 Any", "HTTP/1.1 2x0 Any",
            "HTTP/1.1 200.0 Any", "HTTP/1.1 20\u0660 Any", "HTTP/1.1 OK", "HTTP/1.1 ", "HTTP/1.1", "HTTP/2.0 200 Any", "HTTP/1.2 200 Any",
            "HTTP/0.9 200 Any", "HTTP/11.1 200 Any", "http/1.1 200 Any", "ICY 200 OK", "200 OK", "",
        ],
    )
    fun `does not pass it on`(statusLine: String) {
        expectThat(resultOf(statusLine)).isA<HttpResult.Unknown>()
    }

    /** Guards against an interim response that is taken for the response, or waited on although nothing can follow. */
    @ParameterizedTest
    @ValueSource(ints = [100, 101, 102, 103, 150, 199])
    fun `does not pass on an interim response that is the last one`(status: Int) {
        expectThat(resultOf("HTTP/1.1 $status Any")).isA<HttpResult.Unknown>()
    }

    /** Guards against a request that waits until its deadline for a response in a protocol that nobody asked for. */
    @ParameterizedTest
    @ValueSource(strings = ["", "\r\nUpgrade: websocket", "\r\nUpgrade: any\r\nConnection: upgrade"])
    fun `breaks off at a change of the protocol`(headers: String) {
        expectThat(resultOf("HTTP/1.1 101 Any$headers", closes = false)).isA<HttpResult.Unknown>()
    }

    /** Guards against a check that rejects what the protocol allows. */
    @ParameterizedTest
    @ValueSource(
        strings = ["HTTP/1.1 200 Any", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 Any", "HTTP/1.1 100 Any\r\n\r\nHTTP/1.1 200 Any"],
    )
    fun `passes a valid one on`(statusLine: String) {
        expectThat(bodyOf(resultOf(statusLine))).isEqualTo("ok")
    }

    @ParameterizedTest
    @ValueSource(ints = [200, 299, 302, 418, 499, 503, 599])
    fun `passes any final status of the protocol on`(status: Int) {
        expectThat((resultOf("HTTP/1.1 $status Any") as? HttpResult.Answered)?.response?.status).isEqualTo(status)
    }
}
