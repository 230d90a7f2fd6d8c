package yuccaflow.http

import io.netty.buffer.Unpooled
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger
import java.util.concurrent.TimeUnit

/** The progress of a server's shutdown: first responses announce the close of their connections, then idle connections are closed. */
internal class ShutdownState(
    val isAnnounced: () -> Boolean,
    val isDraining: () -> Boolean,
)

/**
 * One connection from a caller. Its coroutine runs [serve], which reads requests, starts their handlers and sends responses in order. The
 * owner of [account] closes it when the coroutine has ended. [limits] are read anew for each request, and for each time of idling.
 */
internal class ServerConnection(
    private val channel: SocketChannel,
    private val events: InboundEventQueue,
    private val limits: () -> HttpServerLimits,
    private val handler: HttpHandler,
    private val shutdown: ShutdownState,
    private val account: MemoryAccount,
) {
    private val pipelineSlots = Semaphore(limits().pipelineDepth)
    private val exchanges = Channel<Exchange>(Channel.UNLIMITED)

    /** Number of requests that were read and whose response is not ready yet. */
    private var pendingResponses = 0

    /** Whether a response has announced the close. Requests that arrive after it must not be handled. */
    private var isClosing = false

    private class Exchange(
        val read: RequestRead.Complete,
        val response: Deferred<HttpResponse>,
    )

    /** Serves the connection until it is closed. */
    suspend fun serve() {
        try {
            coroutineScope {
                val sender = launch(start = CoroutineStart.UNDISPATCHED) { sendResponses() }
                val ending = readRequests()
                exchanges.close()
                sender.join()
                if (ending != null && !isClosing) refuse(ending)
            }
        } finally {
            channel.close()
        }
    }

    /** Refuses the connection because the server is at its connection limit. */
    suspend fun refuseConnection() {
        try {
            refuse(refusal(UNAVAILABLE, "overloaded", "too many connections", NOT_RUN, null, limits().requestIdHeader).retryLater())
        } finally {
            channel.close()
        }
    }

    /** Reads requests until the connection ends. Returns the response to a request that could not be read, or null. */
    private suspend fun CoroutineScope.readRequests(): HttpResponse? {
        while (true) {
            pipelineSlots.acquire()
            if (isClosing || !awaitRequest()) return null
            val requestLimits = limits()
            val reader = RequestReader(events, requestLimits, account, ::sendContinue)
            val read = withTimeoutOrNull(requestLimits.requestTimeoutMs) { reader.read() }
                ?: RequestRead.Rejected(REQUEST_TIMEOUT, "slow caller", "the request did not arrive in time")
            when (read) {
                RequestRead.Disconnected -> return null
                is RequestRead.Rejected -> {
                    val refusal = refusal(read.status, read.error, read.reason, NOT_RUN, reader.requestId, requestLimits.requestIdHeader)
                    return if (read.isTemporary) refusal.retryLater() else refusal
                }
                is RequestRead.Complete -> {
                    // Callers resend all requests that follow a response that closes the connection.
                    if (isClosing) return null
                    start(read)
                    // On a connection with ever more pipelined requests, no response would be the last one.
                    if (!read.keepAlive || shutdown.isAnnounced()) return null
                }
            }
        }
    }

    private suspend fun CoroutineScope.start(read: RequestRead.Complete) {
        pendingResponses++
        exchanges.send(Exchange(read, async(start = CoroutineStart.UNDISPATCHED) { handle(read.request) }))
    }

    private suspend fun sendResponses() {
        for (exchange in exchanges) {
            val response = exchange.response.await()
            pendingResponses--
            // The close is announced only when no responses are pending, because the requests behind them are being handled already.
            val isLast = !exchange.read.keepAlive || (shutdown.isAnnounced() && pendingResponses == 0)
            if (isLast) isClosing = true
            val written = send(exchange.read.request, response, !isLast)
            account.release(response.sizeBytes() + exchange.read.headBytes)
            if (isLast && written) closeGracefully()
            if (isLast || !written) channel.close()
            pipelineSlots.release()
        }
    }

    /**
     * Waits for the first byte of a request. Returns false when the connection was idle for too long or is closed, and, once a shutdown is
     * announced, while responses are pending. The last of these announces the close, so callers resend what they have sent behind it,
     * whereas a request that is taken here may not be complete when the shutdown ends.
     */
    private suspend fun awaitRequest(): Boolean {
        var idleSinceNanos = System.nanoTime()
        while (true) {
            if (shutdown.isAnnounced() && pendingResponses > 0) return false
            // Callers that are about to send a request get a response with `Connection: close` instead of a closed connection.
            val waitMs = if (shutdown.isDraining()) DRAIN_IDLE_MS else idleRestMs(idleSinceNanos)
            val event = withTimeoutOrNull(waitMs) { events.receive() }
            when {
                event == InboundEvent.ShutdownProgressed -> continue
                event != null -> return event == InboundEvent.Started
                !channel.isActive -> return false
                // A connection with pending responses is not idle.
                pendingResponses > 0 -> idleSinceNanos = System.nanoTime()
                // The idle time may have become longer during the wait.
                shutdown.isDraining() || idleRestMs(idleSinceNanos) <= 0 -> return false
            }
        }
    }

    private fun idleRestMs(sinceNanos: Long): Long =
        limits().idleTimeoutMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos)

    /** Handles [request] and releases the memory of its body. That of its head and of the response is reserved until that has been sent. */
    private suspend fun handle(request: HttpRequest): HttpResponse = try {
        respond(request).also { account.reserve(it.sizeBytes()) }
    } finally {
        account.release(request.body.size)
    }

    private suspend fun respond(request: HttpRequest): HttpResponse = try {
        handler.handle(request)
    } catch (failure: Exception) {
        // A timeout within the handler is a CancellationException too, but it must not end the connection.
        currentCoroutineContext().ensureActive()
        Logger.error(failure, "Request handler failed for {} {}", request.method, request.path)
        internalError(request)
    }

    private suspend fun send(request: HttpRequest, response: HttpResponse, keepAlive: Boolean): Boolean {
        val message = try {
            encode(request.method, response)
        } catch (invalid: IllegalArgumentException) {
            Logger.error(invalid, "Request handler returned an invalid response for {} {}", request.method, request.path)
            encode(request.method, internalError(request))
        }
        if (!keepAlive) message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        return write(message)
    }

    private suspend fun refuse(response: HttpResponse) {
        val message = encode("GET", response)
        message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        if (write(message)) closeGracefully()
    }

    private suspend fun sendContinue() {
        write(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
    }

    /** Writes a message. Returns false when the connection is closed or the caller does not receive the message in time. */
    private suspend fun write(message: FullHttpResponse): Boolean =
        withTimeoutOrNull(limits().responseTimeoutMs) { channel.writeAndFlush(message).awaitFailure() == null } ?: false

    /** Discards what the caller still sends: closing a socket with unread bytes would make the kernel drop the response. */
    private suspend fun closeGracefully() {
        channel.shutdownOutput().awaitFailure()
        withTimeoutOrNull(LINGER_MS) {
            while (events.receive() != null) Unit
        }
    }

    private fun encode(method: String, response: HttpResponse): FullHttpResponse {
        val status = HttpResponseStatus.valueOf(response.status)
        val hasBody = response.status != NO_CONTENT && response.status != NOT_MODIFIED
        val content = if (hasBody && method != "HEAD") response.body else EMPTY_BODY
        val message = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(content))
        message.putAll(response.headers)
        if (hasBody) message.putLength(announcedLength(method, response))
        return message
    }

    /** Returns the value of `Content-Length`. For HEAD it is the length of the body that GET would return. */
    private fun announcedLength(method: String, response: HttpResponse): Long {
        val announced = if (method == "HEAD") response.headers["Content-Length"]?.toLongOrNull() else null
        return announced ?: response.body.size.toLong()
    }

    private fun internalError(request: HttpRequest): HttpResponse {
        val id = request.headers[limits().requestIdHeader]
        return refusal(INTERNAL_ERROR, "internal error", "the request handler failed", "unknown", id, limits().requestIdHeader)
    }

    private fun HttpResponse.sizeBytes() = HeadSize.of(headers) + body.size

    private fun HttpResponse.retryLater() = HttpResponse(status, headers.with("Retry-After", "1"), body)

    private companion object {
        const val NOT_RUN = "not-run"
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
        const val REQUEST_TIMEOUT = 408
        const val INTERNAL_ERROR = 500
        const val UNAVAILABLE = 503

        // Long enough for a caller to read the response and close.
        const val LINGER_MS = 500L

        // Limits how long an idle connection delays a shutdown. On busy connections the next response announces the close.
        const val DRAIN_IDLE_MS = 300L
    }
}
