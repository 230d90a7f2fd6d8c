package yuccaflow.http

import io.netty.buffer.Unpooled
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger

/** One caller's connection. [serve] is its coroutine: it reads, handles and answers one request after the other. */
internal class ServerConnection(
    private val channel: SocketChannel,
    private val inbox: Inbox,
    private val limits: HttpServerLimits,
    private val handler: HttpHandler,
    private val isDraining: () -> Boolean,
) {
    /** Serves the connection until it is closed. */
    suspend fun serve() {
        try {
            var open = true
            while (open) open = awaitStart() && serveRequest()
        } finally {
            channel.close()
        }
    }

    /** Refuses the connection because there are too many. */
    suspend fun refuseConnection() {
        try {
            refuse(refusal(UNAVAILABLE, "overloaded", "too many connections", NOT_RUN, null).retryLater())
        } finally {
            channel.close()
        }
    }

    /** Waits for the first byte of a request. Returns false when the connection has been idle for too long or is closed. */
    private suspend fun awaitStart(): Boolean {
        while (true) {
            // Callers that are about to send get an answer with `Connection: close` instead of a closed connection.
            val waitMs = if (isDraining()) DRAIN_IDLE_MS else limits.idleTimeoutMs
            val item = withTimeoutOrNull(waitMs) { inbox.receive() } ?: return false
            if (item != Inbound.Draining) return item == Inbound.Started
        }
    }

    private suspend fun serveRequest(): Boolean {
        val reader = RequestReader(inbox, limits.bodyLimitBytes, ::sendContinue)
        val read = withTimeoutOrNull(limits.requestTimeoutMs) { reader.read() }
            ?: RequestRead.Rejected(SLOW_CALLER, "slow caller", "the request did not arrive in time")
        return when (read) {
            RequestRead.Gone -> false
            is RequestRead.Rejected -> {
                refuse(refusal(read.status, read.error, read.reason, NOT_RUN, reader.requestId))
                false
            }
            is RequestRead.Complete -> answer(read)
        }
    }

    private suspend fun answer(read: RequestRead.Complete): Boolean {
        val response = handle(read.request)
        val keepAlive = read.keepAlive && !isDraining()
        val written = send(read.request, response, keepAlive)
        if (written && !keepAlive) closeGracefully()
        return written && keepAlive
    }

    private suspend fun handle(request: HttpRequest): HttpResponse = try {
        handler.handle(request)
    } catch (failure: Exception) {
        // A timeout inside the handler is a cancellation too, but the connection goes on.
        currentCoroutineContext().ensureActive()
        Logger.error(failure, "Handler failed for {} {}", request.method, request.path)
        internalError(request)
    }

    private suspend fun send(request: HttpRequest, response: HttpResponse, keepAlive: Boolean): Boolean {
        val message = try {
            encode(request.method, response)
        } catch (invalid: IllegalArgumentException) {
            Logger.error(invalid, "Handler gave an invalid response for {} {}", request.method, request.path)
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

    /** Writes a message. Returns false when the connection is closed or the caller does not read for too long. */
    private suspend fun write(message: FullHttpResponse): Boolean =
        withTimeoutOrNull(limits.responseTimeoutMs) { channel.writeAndFlush(message).awaitFailure() == null } ?: false

    /** Discards what the caller still sends, because closing with unread bytes would make the kernel drop the response. */
    private suspend fun closeGracefully() {
        channel.shutdownOutput().awaitFailure()
        withTimeoutOrNull(LINGER_MS) {
            while (inbox.receive() != null) Unit
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

    /** The answer to HEAD announces the length of the body that GET would get. */
    private fun announcedLength(method: String, response: HttpResponse): Long {
        val announced = if (method == "HEAD") response.headers["Content-Length"]?.toLongOrNull() else null
        return announced ?: response.body.size.toLong()
    }

    private fun internalError(request: HttpRequest): HttpResponse =
        refusal(INTERNAL_ERROR, "internal error", "the request handler failed", "unknown", request.headers["X-Request-Id"])

    private fun HttpResponse.retryLater() = HttpResponse(status, headers.with("Retry-After", "1"), body)

    private companion object {
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
        const val SLOW_CALLER = 408
        const val INTERNAL_ERROR = 500
        const val UNAVAILABLE = 503
        const val NOT_RUN = "not-run"

        // Long enough for a caller to read the response and close.
        const val LINGER_MS = 500L

        // Bounds how long an idle connection holds up a stop; busy connections are told to close by their next response.
        const val DRAIN_IDLE_MS = 300L
    }
}
