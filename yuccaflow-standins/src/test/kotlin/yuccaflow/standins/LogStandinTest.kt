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

    /** Guards against a lost answer that also loses the record, which would hide repeated appends. */
    @Test
    fun `an append whose answer is lost takes effect`(): Unit = runBlocking {
        switch("""{"lose_append_answers": 1}""")
        val lost = withTimeoutOrNull(SHORT_MS) { append("a") }
        val second = append("b")
        expectThat(lost).isNull()
        expectThat(second.text()).contains("\"offset\":2")
    }

    /** Guards against a reader that misses records because an expired offset reads as an empty stream. */
    @Test
    fun `a read from an expired offset is answered with the first kept one`(): Unit = runBlocking {
        append("a")
        timeMs = 1_000
        append("b")
        switch("""{"retention_ms": 500}""")
        expectThat(read(1).status).isEqualTo(GONE)
        expectThat(read(1).text()).isEqualTo("""{"first":2}""")
        expectThat(read(2).text()).contains("\"end\":3")
    }

    /** Guards against a stand-in that answers reads during an outage. */
    @Test
    fun `nothing is answered or kept while down`(): Unit = runBlocking {
        switch("""{"down": true}""")
        val answer = withTimeoutOrNull(SHORT_MS) { append("a") }
        switch("""{"down": false}""")
        expectThat(answer).isNull()
        expectThat(read(1).text()).isEqualTo("""{"first":1,"end":1,"records":[]}""")
    }

    private suspend fun append(text: String) = log.handle(HttpRequest("POST", "/streams/control", body = text.encodeToByteArray()))

    private suspend fun read(from: Int) = log.handle(HttpRequest("GET", "/streams/control?from=$from&max=10&wait_ms=0"))

    private suspend fun switch(json: String) = log.handle(HttpRequest("POST", "/switches", body = json.encodeToByteArray()))

    private fun HttpResponse.text() = body.decodeToString()

    private companion object {
        const val SHORT_MS = 50L
    }
}
