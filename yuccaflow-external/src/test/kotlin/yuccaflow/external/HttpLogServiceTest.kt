package yuccaflow.external

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo

@DisplayName("HTTP client of the log service")
class HttpLogServiceTest {
    private val platform = StubHttpServer()
    private val log = httpLogService(platform.client, platform.address, timeoutMs = 60_000)

    private fun append() = runBlocking { log.append("config", "record".toByteArray()) }

    private fun read(from: Long) = runBlocking { log.read("config", from, 10, 0) }

    @AfterEach
    fun stop() = platform.close()

    @Test
    fun `returns the offset of the appended record`() {
        platform.respondJson(201, """{"offset":9}""")
        expectThat(append()).isEqualTo(AppendResult.Appended(9))
        expectThat(platform.requests.single().target).isEqualTo("/streams/config")
    }

    @ParameterizedTest
    @CsvSource("500, {}", "503, {}", "201, nothing")
    fun `reports the outcome of an append as unknown on a server error or a response without an offset`(status: Int, body: String) {
        platform.respondJson(status, body)
        expectThat(append()).isA<AppendResult.AppendUnknown>()
    }

    @Test
    fun `reports a record as not appended if the service rejects it or refuses the connection`() {
        platform.respondJson(413, "{}")
        expectThat(append()).isA<AppendResult.NotAppended>()
        platform.stop()
        expectThat(appendWithNewClient()).isA<AppendResult.NotAppended>()
    }

    private fun appendWithNewClient() = runBlocking {
        httpLogService(yuccaflow.http.httpClient(), platform.address).append("config", "record".toByteArray())
    }

    @Test
    fun `reads records in order`() {
        platform.respondJson(200, """{"first":1,"end":4,"records":[{"offset":2,"data":"YQ=="},{"offset":3,"data":"Yg=="}]}""")
        expectThat(read(2)).isA<ReadResult.Read>().and {
            get { records.map { it.data.decodeToString() } }.containsExactly("a", "b")
            get { endOffset }.isEqualTo(4)
        }
    }

    @Test
    fun `returns the first offset of the stream if the requested offset has expired`() {
        platform.respondJson(410, """{"first":17}""")
        expectThat(read(2)).isEqualTo(ReadResult.Expired(17))
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            """{"first":1,"end":5,"records":[{"offset":2,"data":"YQ=="},{"offset":4,"data":"Yg=="}]}""",
            """{"first":1,"end":5,"records":[{"offset":3,"data":"YQ=="}]}""",
            """{"first":1,"end":5,"records":[{"offset":2,"data":"?"}]}""",
            """{"first":1}""",
        ],
    )
    fun `rejects a response with a gap or invalid records, since readers would end up with different states`(body: String) {
        platform.respondJson(200, body)
        expectThat(read(2)).isA<ReadResult.ReadFailed>()
    }
}
