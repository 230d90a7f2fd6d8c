package yuccaflow.external

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

@DisplayName("HTTP client of the host list")
class HttpHostListClientTest {
    private val platform = StubHttpServer()

    private fun hosts() = runBlocking { httpHostListClient(platform.client, platform.address).hosts() }

    @AfterEach
    fun stop() = platform.close()

    @Test
    fun `returns live and leaving hosts`() {
        platform.respondJson(
            200,
            """{"hosts":[{"host":"a","zone":"brest","state":"live"},{"host":"b","zone":"brest","state":"leaving"}]}""",
        )
        val expected = listOf(HostEntry("a", "brest", HostState.LIVE), HostEntry("b", "brest", HostState.LEAVING))
        expectThat(hosts()).isEqualTo(HostListResult.Listed(expected))
    }

    @Test
    fun `rejects the whole list on an unknown state, since a guess could treat a live host as leaving`() {
        platform.respondJson(200, """{"hosts":[{"host":"a","zone":"brest","state":"asleep"}]}""")
        expectThat(hosts()).isA<HostListResult.ListFailed>()
    }
}
