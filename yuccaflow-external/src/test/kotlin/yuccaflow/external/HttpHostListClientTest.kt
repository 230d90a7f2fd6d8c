package yuccaflow.external

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

@DisplayName("The host list over HTTP")
class HttpHostListClientTest {
    private val platform = FakePlatform()

    private fun hosts() = runBlocking { httpHostListClient(platform.client, platform.address).hosts() }

    @AfterEach
    fun stop() = platform.close()

    @Test
    fun `gives live and leaving hosts`() {
        platform.answerJson(200, """{"hosts":[{"host":"a","zone":"brest","state":"live"},{"host":"b","zone":"brest","state":"leaving"}]}""")
        val expected = listOf(HostEntry("a", "brest", HostState.LIVE), HostEntry("b", "brest", HostState.LEAVING))
        expectThat(hosts()).isEqualTo(HostListResult.Listed(expected))
    }

    @Test
    fun `fails as a whole on a state that it does not know, since a guess could mark a live host as leaving`() {
        platform.answerJson(200, """{"hosts":[{"host":"a","zone":"brest","state":"asleep"}]}""")
        expectThat(hosts()).isA<HostListResult.ListFailed>()
    }
}
