package yuccaflow.http

import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import kotlinx.coroutines.suspendCancellableCoroutine
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlin.coroutines.resume
import io.netty.channel.Channel as NettyChannel
import io.netty.handler.codec.http.HttpResponse as NettyResponse

/**
 * Tracks whether a request has been written. It is shared by the sending coroutine and the event loop, so that a timeout cannot race with
 * the write. [prepare] is called last, right before the write. It returns the message to write, or null to withdraw the request.
 */
internal class SendState(
    private val prepare: () -> FullHttpRequest?,
) {
    private enum class Stage { WAITING, SENT, ABANDONED, WITHDRAWN }

    private val stage = AtomicReference(Stage.WAITING)

    /** Whether [prepare] withdrew the request when it was about to be written. */
    val isWithdrawn: Boolean get() = stage.get() == Stage.WITHDRAWN

    /** Marks the request as sent and returns the message to write, or null if it was abandoned or is withdrawn. */
    fun tryMarkSent(): FullHttpRequest? {
        val message = prepare()
        val next = if (message == null) Stage.WITHDRAWN else Stage.SENT
        return message.takeIf { stage.compareAndSet(Stage.WAITING, next) }
    }

    /** Abandons the request. Returns true when no byte of it has been written and none will be. */
    fun abandon(): Boolean = stage.compareAndSet(Stage.WAITING, Stage.ABANDONED) || stage.get() != Stage.SENT
}

/** Result of reading one response. */
internal sealed interface ResponseRead {
    /** The whole response arrived. When [reusable] is set, the connection may be used for another request. */
    class Complete(
        val response: HttpResponse,
        val reusable: Boolean,
    ) : ResponseRead

    /** The response is incomplete or invalid. */
    class Broken(
        val reason: String,
    ) : ResponseRead
}

/** One connection of a client. It carries one request at a time. */
internal class ClientConnection(
    private val channel: NettyChannel,
    private val decoder: ResponseDecoder,
    private val events: InboundEventQueue,
    private val settings: HttpClientSettings,
    private val account: MemoryAccount,
) {
    /** [System.nanoTime] of the last return to the pool. */
    var idleSinceNanos: Long = 0

    /** How long the server keeps the connection open while it is idle, from the `Keep-Alive` header of its last response. */
    private var serverKeepAliveMs = Long.MAX_VALUE

    @Volatile
    private var lastWrite: ChannelFuture? = null

    /** Ids of the requests that were answered without success on this connection and may therefore be sent again. */
    private val failedRequestIds = HashSet<String>()

    /**
     * Returns whether the request [id] failed on this connection. It must not be sent here again, because the server may repeat the first
     * response, which has the same id as the second.
     */
    fun hasFailed(id: String): Boolean = id in failedRequestIds

    /** Returns whether the connection is open and nothing has arrived on it after the last response. */
    fun isUsable(): Boolean = channel.isActive && events.poll() == null

    /** Returns whether the connection has been idle for so long that the server may be about to close it. */
    fun isIdleExpired(nowNanos: Long): Boolean {
        val limitMs = minOf(settings.maxIdleMs, serverKeepAliveMs / SERVER_KEEP_ALIVE_DIVISOR)
        return nowNanos - idleSinceNanos > TimeUnit.MILLISECONDS.toNanos(limitMs)
    }

    /**
     * Makes the connection close as soon as anything arrives on it before the next request is written. What the decoder has just read is
     * checked on the event loop: it may have paused reading, and then a flood of bytes would leave the connection open until its next use.
     */
    fun expectNoResponse() {
        decoder.endResponse()
        if (!channel.eventLoop().inEventLoop()) channel.eventLoop().execute { if (events.poll() != null) channel.close() }
    }

    /** Writes the request, unless the connection is not usable or [sendState] does not allow it. Returns false when nothing was written. */
    suspend fun write(sendState: SendState): Boolean =
        suspendCancellableCoroutine { waiter ->
            // Checked on the event loop, where nothing can arrive and the connection cannot be closed between the check and the write.
            channel.eventLoop().execute {
                val message = if (isUsable() && decoder.isBetweenMessages) sendState.tryMarkSent() else null
                if (message != null) {
                    decoder.beginResponse(message.method())
                    lastWrite = channel.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
                }
                waiter.resume(message != null)
            }
            waiter.invokeOnCancellation { sendState.abandon() }
        }

    /**
     * Reads the response to a request with [method]. A response with another request id than [expectedRequestId] is treated according to
     * [HttpClientSettings.mismatchedResponses]. A response without an id cannot be attributed to any request and breaks the connection.
     * [parts] receives each part of the body when it arrives.
     */
    suspend fun read(method: String, expectedRequestId: String?, parts: BodyPartListener = BodyPartListener.NONE): ResponseRead = try {
        readMatching(method, expectedRequestId, parts)
    } finally {
        account.releaseAll()
    }

    private suspend fun readMatching(method: String, expectedRequestId: String?, parts: BodyPartListener): ResponseRead {
        while (true) {
            val read = readOne(method, parts)
            if (read !is ResponseRead.Complete) return read
            if (expectedRequestId == null) return read
            val answeredId = read.response.headers[settings.requestIdHeader]
                ?: return ResponseRead.Broken("expected a response to request $expectedRequestId, found one without a request id")
            if (answeredId == expectedRequestId) return read.also { recordOutcome(it.response, expectedRequestId) }
            if (settings.mismatchedResponses == MismatchedResponsePolicy.FAIL) {
                return ResponseRead.Broken("request $answeredId was answered instead of $expectedRequestId")
            }
        }
    }

    private suspend fun readOne(method: String, parts: BodyPartListener): ResponseRead {
        while (true) {
            return when (val event = events.receive()) {
                null -> ResponseRead.Broken("the connection was closed before the response")
                is InboundEvent.Malformed -> ResponseRead.Broken("the response is malformed: ${event.cause.message}")
                InboundEvent.NoMemory -> NO_MEMORY
                is InboundEvent.Head -> {
                    val head = event.message as NettyResponse
                    // Requests never ask for another protocol, and what follows would not be HTTP.
                    if (head.status().code() == SWITCHING_PROTOCOLS) return ResponseRead.Broken("the server changed the protocol")
                    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                        account.release(event.reservedBytes)
                        continue
                    }
                    readBody(method, head, parts)
                }
                else -> continue
            }
        }
    }

    fun close() {
        channel.close()
        account.close()
    }

    private suspend fun readBody(method: String, head: NettyResponse, parts: BodyPartListener): ResponseRead {
        val isFramed = hasKnownLength(method, head)
        if (!isFramed && !settings.acceptsCloseDelimitedBodies) {
            return ResponseRead.Broken("the response does not give the length of its body")
        }
        val body = BodyBuffer(account, settings.bodyLimitBytes)
        while (true) {
            when (val event = events.receive()) {
                null -> return ResponseRead.Broken("the connection was closed within the response")
                is InboundEvent.Malformed -> return ResponseRead.Broken("the body of the response is malformed: ${event.cause.message}")
                InboundEvent.NoMemory -> return NO_MEMORY
                is InboundEvent.Body -> {
                    breakAt(body.append(event.bytes))?.let { return it }
                    parts.onPart(head.status().code(), event.bytes)
                }
                InboundEvent.End -> return complete(head, body.join(), isFramed)
                else -> Unit
            }
        }
    }

    private fun breakAt(result: BodyBuffer.AppendResult): ResponseRead.Broken? = when (result) {
        BodyBuffer.AppendResult.APPENDED -> null
        BodyBuffer.AppendResult.OVER_LIMIT -> ResponseRead.Broken("the body is over ${settings.bodyLimitBytes} bytes")
        BodyBuffer.AppendResult.NO_MEMORY -> NO_MEMORY
    }

    private fun recordOutcome(response: HttpResponse, requestId: String) {
        if (response.status !in SUCCESS_STATUSES) failedRequestIds += requestId
    }

    private fun complete(head: NettyResponse, body: ByteArray, isFramed: Boolean): ResponseRead {
        val isWritten = lastWrite?.isSuccess == true
        // A failed write closes the connection like the end of the body does, whether or not the body is complete.
        if (!isFramed && !isWritten) return ResponseRead.Broken("the connection was closed before the whole request was sent")
        val response = HttpResponse(head.status().code(), head.headers().toHeaderList(), body)
        serverKeepAliveMs = keepAliveMs(head)
        // A server may respond before it has received the whole request. The unwritten rest of it must not precede the next request.
        val reusable =
            isFramed && HttpUtil.isKeepAlive(head) && channel.isActive && isWritten && failedRequestIds.size < MAX_FAILED_REQUESTS
        return ResponseRead.Complete(response, reusable)
    }

    private fun hasKnownLength(method: String, head: NettyResponse): Boolean =
        method == "HEAD" ||
            head.status().code() in STATUSES_WITHOUT_BODY ||
            HttpUtil.isContentLengthSet(head) ||
            HttpUtil.isTransferEncodingChunked(head)

    private fun keepAliveMs(head: NettyResponse): Long =
        head
            .headers()["Keep-Alive"]
            ?.let { KEEP_ALIVE_TIMEOUT.find(it) }
            ?.let { it.groupValues[1].toLongOrNull() }
            ?.let { TimeUnit.SECONDS.toMillis(it) }
            ?: Long.MAX_VALUE

    private companion object {
        val NO_MEMORY = ResponseRead.Broken("all messages together take too much memory")

        // A connection is reused only in the first half of the time for which the server keeps it open.
        const val SERVER_KEEP_ALIVE_DIVISOR = 2
        val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d{1,9})")
        const val SWITCHING_PROTOCOLS = 101
        val STATUSES_WITHOUT_BODY = setOf(204, 304)
        val SUCCESS_STATUSES = 200..299

        /** Bounds the memory for [failedRequestIds]. A connection with more failures is replaced by a new one. */
        const val MAX_FAILED_REQUESTS = 256
    }
}
