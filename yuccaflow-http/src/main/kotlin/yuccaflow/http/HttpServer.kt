package yuccaflow.http

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Dispatchers

/** Handles requests. Called once per request, in a child coroutine of the connection that the request arrived on. */
fun interface HttpHandler {
    /** Returns the response to [request]. It is cancelled when the caller closes the connection. An exception results in status 500. */
    suspend fun handle(request: HttpRequest): HttpResponse
}

/** Limits of a server. All but [connectionLimit] apply to each connection, and [pipelineDepth] for as long as it is open. */
data class HttpServerLimits(
    val headerLimitBytes: Int = 16_384,
    val requestLineLimitBytes: Int = 8_192,
    val bodyLimitBytes: Int = 1_048_576,
    /** Time within which a whole request must arrive, measured from its first byte. */
    val requestTimeoutMs: Long = 10_000,
    /** Time within which a caller must receive a whole response. */
    val responseTimeoutMs: Long = 10_000,
    val idleTimeoutMs: Long = 60_000,
    val connectionLimit: Int = 10_000,
    /** Pipelined requests of one connection that are handled concurrently. Their responses are sent in the order of the requests. */
    val pipelineDepth: Int = 1,
    /** The header with the id of a request. The server repeats it in the refusals that it sends itself. */
    val requestIdHeader: String = REQUEST_ID_HEADER,
)

/** A listening HTTP/1.1 server. */
interface HttpServer {
    /** The address that the server listens on, with the actual port when port 0 was requested. */
    val address: SocketAddress

    /**
     * Makes the last response on each connection carry `Connection: close`, so that no request follows on it. New connections are still
     * accepted. A connection with requests in progress takes no more of them.
     */
    fun announceClose()

    /** Stops accepting connections, waits up to [drainMs] for running requests to finish, then closes all connections. */
    suspend fun close(drainMs: Long)
}

/** The default name of the header with the id of a request. */
const val REQUEST_ID_HEADER: String = "X-Request-Id"

/**
 * Starts a server on [listen], whose host is an IP address. With port 0 the system chooses a free port.
 *
 * Invalid requests are refused with status 400, 413, 414, 417 or 431, slow ones with 408, and those for which the process has no
 * memory with 503; their connections are closed.
 * @throws java.io.IOException when the address cannot be bound.
 */
fun httpServer(listen: SocketAddress, limits: HttpServerLimits, handler: HttpHandler): HttpServer =
    NettyHttpServer(listen, Dispatchers.Default, { limits }, handler)

/**
 * Like the other overload, but handlers run on [dispatcher], and [limits] is called for each request, so that changed limits apply to open
 * connections too. It is called on [dispatcher] and on the event loops.
 */
fun httpServer(listen: SocketAddress, dispatcher: CoroutineDispatcher, limits: () -> HttpServerLimits, handler: HttpHandler): HttpServer =
    NettyHttpServer(listen, dispatcher, limits, handler)
