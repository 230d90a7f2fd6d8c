package yuccaflow.standins

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse

class LogStandinTest {
    private var timeMs = 0L
    private val log = LogStandin { timeMs }

    /** A lost response must not lose the record as well, or tests could not detect retried appends. */
    @Test
    fun `an append whose response is lost takes effect`(): Unit = runBlocking {
        switch("""{"lose_append_answers": 1}""")
        val lostResponse = withTimeoutOrNull(NO_RESPONSE_MS) { append("a") }
        val second = append("b")
        expectThat(lostResponse).isNull()
        expectThat(second.text()).contains("\"offset\":2")
    }

    /** If an expired offset read as an empty stream, the reader would miss records. */
    @Test
    fun `a read from an expired offset returns the first retained offset`(): Unit = runBlocking {
        append("a")
        timeMs = 1_000
        append("b")
        switch("""{"retention_ms": 500}""")
        expectThat(read(1).status).isEqualTo(GONE)
        expectThat(read(1).text()).isEqualTo("""{"first":2}""")
        expectThat(read(2).text()).contains("\"end\":3")
    }

    /** A log service that is down must neither respond nor store anything. */
    @Test
    fun `requests get no response and have no effect while the service is down`(): Unit = runBlocking {
        switch("""{"down": true}""")
        val response = withTimeoutOrNull(NO_RESPONSE_MS) { append("a") }
        switch("""{"down": false}""")
        expectThat(response).isNull()
        expectThat(read(1).text()).isEqualTo("""{"first":1,"end":1,"records":[]}""")
    }

    private suspend fun append(text: String) = log.handle(HttpRequest("POST", "/streams/control", body = text.encodeToByteArray()))

    private suspend fun read(from: Int) = log.handle(HttpRequest("GET", "/streams/control?from=$from&max=10&wait_ms=0"))

    private suspend fun switch(json: String) = log.handle(HttpRequest("POST", "/switches", body = json.encodeToByteArray()))

    private fun HttpResponse.text() = body.decodeToString()

    private companion object {
        const val NO_RESPONSE_MS = 50L
    }
}
