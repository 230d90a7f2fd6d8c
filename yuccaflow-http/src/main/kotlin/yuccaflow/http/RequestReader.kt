package yuccaflow.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.handler.codec.http.HttpRequest as NettyRequest

/** Result of reading one request. */
internal sealed interface RequestRead {
    /** The whole request arrived. */
    class Complete(
        val request: HttpRequest,
        val keepAlive: Boolean,
        /** The memory that is reserved for the head. */
        val headBytes: Int,
    ) : RequestRead

    /** The request must be refused and the connection closed. If it [isTemporary], the caller may send the request again. */
    class Rejected(
        val status: Int,
        val error: String,
        val reason: String,
        val isTemporary: Boolean = false,
    ) : RequestRead

    /** The caller closed the connection. */
    data object Disconnected : RequestRead
}

/**
 * Reads and validates one request after its first byte has arrived. Memory for its body is reserved in [account]. [continueBody] sends
 * the interim response 100 (Continue).
 */
internal class RequestReader(
    private val events: InboundEventQueue,
    private val limits: HttpServerLimits,
    private val account: MemoryAccount,
    private val continueBody: suspend () -> Unit,
) {
    /** The request id, as soon as the headers have been read. */
    var requestId: String? = null
        private set

    suspend fun read(): RequestRead {
        while (true) {
            return when (val event = events.receive()) {
                null -> RequestRead.Disconnected
                is InboundEvent.Head -> readBody(event)
                InboundEvent.NoMemory -> NO_MEMORY
                is InboundEvent.Malformed -> rejection(event.cause)
                else -> continue
            }
        }
    }

    private suspend fun readBody(event: InboundEvent.Head): RequestRead {
        val head = event.message as NettyRequest
        requestId = head.headers()[limits.requestIdHeader]
        checkHead(head)?.let { return it }
        if (HttpUtil.is100ContinueExpected(head)) continueBody()
        val body = BodyBuffer(account, limits.bodyLimitBytes)
        while (true) {
            when (val part = events.receive()) {
                null -> return RequestRead.Disconnected
                is InboundEvent.Malformed -> return rejection(part.cause)
                InboundEvent.NoMemory -> return NO_MEMORY.also { body.discard() }
                is InboundEvent.Body -> rejection(body.append(part.bytes))?.let { return it.also { body.discard() } }
                InboundEvent.End -> return complete(head, body.join(), event.reservedBytes)
                else -> Unit
            }
        }
    }

    private fun checkHead(head: NettyRequest): RequestRead.Rejected? {
        val headers = head.headers()
        val version = head.protocolVersion()
        val encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val hosts = headers.getAll(HttpHeaderNames.HOST)
        return when {
            version != HttpVersion.HTTP_1_1 && version != HttpVersion.HTTP_1_0 -> malformed("the protocol must be HTTP/1.1 or HTTP/1.0")
            originForm(head.uri()) == null -> malformed("the request target must be a path of printable ASCII characters")
            hosts.size > 1 || (version == HttpVersion.HTTP_1_1 && hosts.isEmpty()) -> malformed("exactly one Host header is required")
            encodings.isNotEmpty() && version == HttpVersion.HTTP_1_0 -> malformed("HTTP/1.0 has no Transfer-Encoding")
            encodings.isNotEmpty() && encodings.singleOrNull()?.trim()?.lowercase() != "chunked" ->
                malformed("the only Transfer-Encoding accepted is chunked")
            HttpUtil.getContentLength(head, 0L) > limits.bodyLimitBytes -> TOO_LARGE
            headers.getAll(HttpHeaderNames.EXPECT).any { !it.equals("100-continue", ignoreCase = true) } ->
                RequestRead.Rejected(EXPECTATION_FAILED, "expectation failed", "the only Expect value accepted is 100-continue")
            else -> null
        }
    }

    private fun complete(head: NettyRequest, body: ByteArray, headBytes: Int): RequestRead {
        val request = HttpRequest(head.method().name(), originForm(head.uri())!!, head.headers().toHeaderList(), body)
        return RequestRead.Complete(request, HttpUtil.isKeepAlive(head), headBytes)
    }

    private fun rejection(result: BodyBuffer.AppendResult): RequestRead.Rejected? = when (result) {
        BodyBuffer.AppendResult.APPENDED -> null
        BodyBuffer.AppendResult.OVER_LIMIT -> TOO_LARGE
        BodyBuffer.AppendResult.NO_MEMORY -> NO_MEMORY
    }

    private fun rejection(cause: Throwable): RequestRead = when (cause) {
        is TooLongHttpLineException -> RequestRead.Rejected(URI_TOO_LONG, "request line too long", "the request line is over the limit")
        is TooLongHttpHeaderException -> RequestRead.Rejected(HEADERS_TOO_LARGE, "headers too large", "the headers are over the limit")
        else -> malformed("the request is not valid HTTP/1.1")
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val BODY_TOO_LARGE = 413
        const val URI_TOO_LONG = 414
        const val EXPECTATION_FAILED = 417
        const val HEADERS_TOO_LARGE = 431
        const val UNAVAILABLE = 503

        val NO_MEMORY = RequestRead.Rejected(
            UNAVAILABLE,
            "overloaded",
            "all requests together take too much memory",
            isTemporary = true,
        )
        val TOO_LARGE = RequestRead.Rejected(BODY_TOO_LARGE, "body too large", "the body is over the limit")
        val ABSOLUTE_FORM = Regex("https?://[^/?#]+", RegexOption.IGNORE_CASE)

        fun malformed(reason: String) = RequestRead.Rejected(BAD_REQUEST, "malformed request", reason)

        /** Returns the path and query of a request target in origin or absolute form, or null when the target is invalid. */
        fun originForm(target: String): String? {
            if (target.any { it !in '!'..'~' }) return null
            val authority = ABSOLUTE_FORM.matchAt(target, 0) ?: return target.takeIf { it.startsWith('/') || it == "*" }
            val rest = target.substring(authority.range.last + 1)
            return if (rest.startsWith('/')) rest else "/$rest"
        }
    }
}
