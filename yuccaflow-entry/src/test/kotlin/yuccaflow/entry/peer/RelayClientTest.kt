package yuccaflow.entry.peer

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import yuccaflow.entry.fake.LoopbackHttpClient
import yuccaflow.http.HttpHandler
import yuccaflow.http.HttpResponse
import yuccaflow.http.SocketAddress
import kotlin.random.Random

@DisplayName("The client of other routers")
class RelayClientTest {
    /** Guards against a task that ends with an exception because another router, perhaps of another version, answers with odd bytes. */
    @Test
    fun `returns an answer whatever bytes another router sends`() = runTest {
        val random = Random(SEED)
        var body = ByteArray(0)
        val client = RelayClient(LoopbackHttpClient(HttpHandler { HttpResponse(200, body = body) }))
        repeat(ANSWERS) {
            body = random.nextBytes(random.nextInt(MAX_BYTES))
            expectThat(client.send(SocketAddress("10.0.0.1", 1), RelayCall.Members, 100)).isA<RelayAnswer>()
        }
    }

    private companion object {
        const val SEED = 20_261_207
        const val ANSWERS = 20_000
        const val MAX_BYTES = 24
    }
}
