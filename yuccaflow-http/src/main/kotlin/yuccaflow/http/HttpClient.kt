package yuccaflow.http

/** What is known after a request was sent. */
sealed interface HttpResult {
    /** The whole response arrived. */
    data class Answered(
        val response: HttpResponse,
    ) : HttpResult

    /**
     * No byte of the request left this process, so the server cannot have run it. [isRefused] tells that the host answered and no process
     * listens there.
     */
    data class NotSent(
        val reason: String,
        val isRefused: Boolean = false,
    ) : HttpResult

    /** Bytes left, but no whole response arrived. The server may or may not have run the request. */
    data class Unknown(
        val reason: String,
    ) : HttpResult
}

/** Settings of a client's connections. */
data class HttpClientSettings(
    val connectTimeoutMs: Long = 500,
    val connectionsPerAddress: Int = 100,
    val idleProbeAfterMs: Long = 5_000,
    val bodyLimitBytes: Int = 1_048_576,
    /** The header in which a server repeats the id of the request that it answers. */
    val requestIdHeader: String = REQUEST_ID_HEADER,
    /** What to do with a response that carries another request's id. */
    val mismatchedResponses: MismatchedResponsePolicy = MismatchedResponsePolicy.FAIL,
    /** Whether a body without a length that ends with an orderly close of the connection is whole. */
    val acceptsCloseDelimitedBodies: Boolean = false,
    /** Probes on the connections, or null for none. */
    val tcpKeepAlive: TcpKeepAlive? = null,
)

/** What a client does with a response that carries the id of another request. */
enum class MismatchedResponsePolicy {
    /** The connection is closed and the result is [HttpResult.Unknown]. */
    FAIL,

    /** The response is dropped, and the wait for the right one goes on. */
    SKIP,
}

/**
 * A pooled HTTP/1.1 client that sends one request at a time on a connection.
 *
 * A connection whose answer is late, missing, cancelled or not matched is aborted and never reused, so no byte of the request arrives
 * after the result, except those that are on the network already.
 */
interface HttpClient {
    /**
     * Sends [request] to [address] and waits up to [timeoutMs] for the whole response.
     *
     * When [expectedRequestId] is given, a response that carries another id in [HttpClientSettings.requestIdHeader] is treated as
     * [HttpClientSettings.mismatchedResponses] says. Cancelling the coroutine closes the connection.
     *
     * [maySend] is asked on the connection's event loop right before the first byte is written, since waiting for a connection takes time.
     * When it says no, the result is [HttpResult.NotSent].
     */
    suspend fun send(
        address: SocketAddress,
        request: HttpRequest,
        timeoutMs: Long,
        expectedRequestId: String? = null,
        maySend: () -> Boolean = { true },
    ): HttpResult

    /** Closes all connections. */
    suspend fun close()
}

/** Creates a client. Its connections are opened on demand. */
fun httpClient(settings: HttpClientSettings = HttpClientSettings()): HttpClient = NettyHttpClient(settings)
