package yuccaflow.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger
import java.util.concurrent.ConcurrentHashMap
import kotlin.coroutines.cancellation.CancellationException

/** [HttpClient] on Netty's NIO transport. It counts the memory of responses in [memory] while they arrive. */
internal class NettyHttpClient(
    private val settings: HttpClientSettings,
    private val memory: MessageMemory = MessageMemory.ofProcess,
) : HttpClient {
    private val pools = ConcurrentHashMap<SocketAddress, ConnectionPool>()

    @Volatile
    private var closed = false

    override suspend fun send(
        address: SocketAddress,
        request: HttpRequest,
        timeoutMs: Long,
        expectedRequestId: String?,
        prepare: (HttpRequest) -> HttpRequest?,
    ): HttpResult {
        if (closed) return HttpResult.NotSent("the client is closed")
        val call = Call(address, request, expectedRequestId, prepare)
        val pool = poolOf(address)
        val result = withTimeoutOrNull(timeoutMs) { resultOf(call, pool) }
        return result ?: timedOut(call, "$timeoutMs ms")
    }

    override suspend fun transfer(
        address: SocketAddress,
        request: HttpRequest,
        limits: TransferLimits,
        parts: BodyPartListener,
    ): HttpResult {
        if (closed) return HttpResult.NotSent("the client is closed")
        val progress = TransferProgress(limits, parts)
        val call = Call(address, request, expectedRequestId = null, prepare = { it }, progress::recordPart)
        val pool = poolOf(address)
        val result = progress.withinLimits { resultOf(call, pool) }
        return result ?: timedOut(call, "the limits of a large response")
    }

    override suspend fun close() {
        closed = true
        pools.values.forEach { it.close() }
    }

    private fun poolOf(address: SocketAddress) = pools.computeIfAbsent(address) { ConnectionPool(it, settings, memory) }

    private inner class Call(
        val address: SocketAddress,
        val request: HttpRequest,
        val expectedRequestId: String?,
        private val prepare: (HttpRequest) -> HttpRequest?,
        val parts: BodyPartListener = BodyPartListener.NONE,
    ) {
        val sendState = SendState(::encodePrepared)

        /** Why the request cannot be encoded, or null if it can or has not been. */
        private var invalidReason: String? = null

        /** The result when the request was withdrawn before it was sent. */
        fun withdrawn(): HttpResult = invalidReason?.let { HttpResult.NotSent("the request is not valid: $it") } ?: WITHDRAWN

        private fun encodePrepared(): FullHttpRequest? = try {
            prepare(request)?.let { encode(address, it) }
        } catch (failure: Exception) {
            // The sender waits for the event loop, which must not end here with an exception.
            invalidReason = failure.message.orEmpty()
            null
        }
    }

    /** Carries out [call]. An exception becomes a result too: senders act on results only, and would not count it as a failure. */
    private suspend fun resultOf(call: Call, pool: ConnectionPool): HttpResult = try {
        pool.permits.withPermit { exchange(pool, call) }
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failure: Exception) {
        Logger.error(failure, "request to {} failed", call.address)
        val reason = "request to ${call.address} failed: $failure"
        if (call.sendState.abandon()) HttpResult.NotSent(reason) else HttpResult.Unknown(reason)
    }

    private suspend fun exchange(pool: ConnectionPool, call: Call): HttpResult {
        while (true) {
            val pooled = pool.acquireIdle(call.expectedRequestId)
            val connection = pooled ?: when (val connect = pool.open()) {
                is ConnectResult.Failed -> return HttpResult.NotSent(connect.reason, connect.isRefused)
                is ConnectResult.Connected -> connect.connection
            }
            val result = exchangeOn(connection, pool, call)
            if (result != null) return result
            // A pooled connection may have been closed since its last use, so another one is tried. A new one that is closed is a failure.
            if (pooled == null) return HttpResult.NotSent("${call.address} closed the connection before the request was sent")
        }
    }

    /** Sends the request on [connection] and returns the result, or null when nothing was sent because the connection is closed. */
    private suspend fun exchangeOn(connection: ClientConnection, pool: ConnectionPool, call: Call): HttpResult? {
        var reusable = false
        try {
            if (!connection.write(call.sendState)) return if (call.sendState.isWithdrawn) call.withdrawn() else null
            return when (val read = connection.read(call.request.method, call.expectedRequestId, call.parts)) {
                is ResponseRead.Broken -> HttpResult.Unknown("${call.address}: ${read.reason}")
                is ResponseRead.Complete -> {
                    reusable = read.reusable
                    HttpResult.Answered(read.response)
                }
            }
        } finally {
            if (reusable) pool.release(connection) else connection.close()
        }
    }

    private fun timedOut(call: Call, limit: String): HttpResult =
        if (call.sendState.abandon()) {
            HttpResult.NotSent("no free connection to ${call.address} within $limit")
        } else {
            HttpResult.Unknown("no whole response from ${call.address} within $limit")
        }

    private fun encode(address: SocketAddress, request: HttpRequest): FullHttpRequest {
        val body = Unpooled.wrappedBuffer(request.body)
        val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method), request.target, body)
        message.putAll(request.headers)
        if (!message.headers().contains(HttpHeaderNames.HOST)) message.headers().set(HttpHeaderNames.HOST, address.toString())
        if (request.body.isNotEmpty() || request.method !in METHODS_WITHOUT_BODY) message.putLength(request.body.size.toLong())
        return message
    }

    private companion object {
        val WITHDRAWN = HttpResult.NotSent("the request was withdrawn before it was sent", isWithdrawn = true)
        val METHODS_WITHOUT_BODY = setOf("GET", "HEAD", "OPTIONS", "TRACE")
    }
}
