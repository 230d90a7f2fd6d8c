package yuccaflow.http

/** Result of sending a request. */
sealed interface HttpResult {
    /** The whole response arrived. */
    data class Answered(
        val response: HttpResponse,
    ) : HttpResult

    /**
     * No byte of the request was sent, so the server cannot have run it. [isRefused] means that the host answered, but no process listens
     * on the port; [isWithdrawn] that the sender itself withdrew the request.
     */
    data class NotSent(
        val reason: String,
        val isRefused: Boolean = false,
        val isWithdrawn: Boolean = false,
    ) : HttpResult

    /** The request was sent, at least in part, but no valid response arrived. The server may or may not have run it. */
    data class Unknown(
        val reason: String,
    ) : HttpResult
}

/** Settings of an [HttpClient]. */
data class HttpClientSettings(
    val connectTimeoutMs: Long = 500,
    val connectionsPerAddress: Int = 100,
    /** Whether a connection is used for more than one request. If not, a response that a server repeats cannot reach a later request. */
    val reusesConnections: Boolean = true,
    /** Connections that were idle for longer are closed instead of reused, because they may be dead. */
    val maxIdleMs: Long = 5_000,
    val bodyLimitBytes: Int = 1_048_576,
    /** The response header in which a server repeats the id of the request. */
    val requestIdHeader: String = REQUEST_ID_HEADER,
    /** How to treat a response that carries the id of another request. */
    val mismatchedResponses: MismatchedResponsePolicy = MismatchedResponsePolicy.FAIL,
    /** Whether a body without a length is accepted when it ends with an orderly close of the connection. */
    val acceptsCloseDelimitedBodies: Boolean = false,
    /** TCP keep-alive of the connections, or null to leave it off. */
    val tcpKeepAlive: TcpKeepAlive? = null,
)

/** How a client treats a response that carries the id of another request. */
enum class MismatchedResponsePolicy {
    /** The connection is closed and the result is [HttpResult.Unknown]. */
    FAIL,

    /** The response is discarded, and the client goes on waiting for the right one. */
    SKIP,
}

/**
 * An HTTP/1.1 client with a connection pool for each address. A connection carries one request at a time.
 *
 * A connection on which the response is late, missing or mismatched, or whose request was cancelled, is aborted and never reused. No byte
 * of a request arrives at the server after its result is known, except for those that are in the network already.
 *
 * Calls end with a result or by cancellation. Whatever else goes wrong, also within the functions that are passed to them, is a result too.
 */
interface HttpClient {
    /**
     * Sends [request] to [address] and waits up to [timeoutMs] for the whole response.
     *
     * When [expectedRequestId] is given, a response with another id in [HttpClientSettings.requestIdHeader] is treated according to
     * [HttpClientSettings.mismatchedResponses], and a response without an id as no valid response. A request that is sent again after a
     * response without success goes out on another connection, where no repeated response to the first send can arrive. Cancelling the
     * coroutine closes the connection.
     *
     * [prepare] is called on the event loop of the connection right before the first byte is written, because the wait for a connection
     * takes time. It returns the request to write, which differs from [request] at most in its headers, or null to withdraw it. The result
     * is then [HttpResult.NotSent] with [HttpResult.NotSent.isWithdrawn].
     */
    suspend fun send(
        address: SocketAddress,
        request: HttpRequest,
        timeoutMs: Long,
        expectedRequestId: String? = null,
        prepare: (HttpRequest) -> HttpRequest? = { it },
    ): HttpResult

    /**
     * Sends [request] as [send] does, and waits for the whole response within [limits], which suit a response that is large for its link.
     * [parts] receives each part of the body when it arrives.
     *
     * The default is for clients whose responses arrive all at once: it passes no parts on.
     */
    suspend fun transfer(
        address: SocketAddress,
        request: HttpRequest,
        limits: TransferLimits,
        parts: BodyPartListener = BodyPartListener.NONE,
    ): HttpResult = send(address, request, limits.beginMs)

    /** Closes all connections. */
    suspend fun close()
}

/** Creates a client. It opens connections on demand. */
fun httpClient(settings: HttpClientSettings = HttpClientSettings()): HttpClient = NettyHttpClient(settings)
