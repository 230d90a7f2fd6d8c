package yuccaflow.external

import kotlinx.coroutines.runBlocking
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpServerLimits
import yuccaflow.http.SocketAddress
import yuccaflow.http.headersOf
import yuccaflow.http.httpClient
import yuccaflow.http.httpServer
import java.util.concurrent.CopyOnWriteArrayList

/** An HTTP server that responds to each request with the result of [handler] and records the requests. */
class StubHttpServer(
    var handler: (HttpRequest) -> HttpResponse = { HttpResponse(200) },
) : AutoCloseable {
    val requests = CopyOnWriteArrayList<HttpRequest>()
    private val server = httpServer(SocketAddress("127.0.0.1", 0), HttpServerLimits()) { request ->
        requests += request
        handler(request)
    }
    val client = httpClient()
    val address: SocketAddress = server.address

    fun respondJson(status: Int, body: String, vararg headers: Pair<String, String>) {
        handler = { HttpResponse(status, headersOf(*headers), body.toByteArray()) }
    }

    /** Stops listening, so that new connections are refused. */
    fun stop() = runBlocking { server.close(0) }

    override fun close() = runBlocking {
        client.close()
        server.close(0)
    }
}
