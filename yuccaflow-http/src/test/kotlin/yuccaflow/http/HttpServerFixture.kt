package yuccaflow.http

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import java.util.concurrent.CopyOnWriteArrayList

internal const val VALID_REQUEST = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

/** Starts a server for each test and records the targets of the requests that reach its handler. */
abstract class HttpServerFixture {
    protected val handled: MutableList<String> = CopyOnWriteArrayList()
    protected var server: HttpServer? = null
        private set

    protected fun start(limits: HttpServerLimits = HttpServerLimits(), handler: HttpHandler = ECHO): RawHttpClient {
        val started = httpServer(SocketAddress("127.0.0.1", 0), limits) { request ->
            handled += request.target
            handler.handle(request)
        }
        server = started
        return RawHttpClient(started.address)
    }

    @AfterEach
    fun stop() = runBlocking { server?.close(0) ?: Unit }

    protected companion object {
        val ECHO = HttpHandler { HttpResponse(200, HttpHeaderList.Empty, "${it.method} ${it.target} ".toByteArray() + it.body) }
    }
}
