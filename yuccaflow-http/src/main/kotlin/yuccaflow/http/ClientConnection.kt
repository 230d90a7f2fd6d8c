package yuccaflow.http

import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlin.coroutines.resume
import io.netty.channel.Channel as NettyChannel
import io.netty.handler.codec.http.HttpResponse as NettyResponse

/**
 * Whether the bytes of a request have left. Shared by the sending coroutine and the event loop, so that a timeout cannot race a write.
 * [maySend] is asked last, right before the write.
 */
internal class SendMark(
    private val maySend: () -> Boolean,
) {
    private enum class Stage { WAITING, SENT, ABANDONED, WITHDRAWN }

    private val stage = AtomicReference(Stage.WAITING)

    /** Whether the sender did not want the request to leave any more when it could have. */
    val isWithdrawn: Boolean get() = stage.get() == Stage.WITHDRAWN

    /** Claims the right to write. Returns false when the request was abandoned or is withdrawn. */
    fun markSent(): Boolean {
        val next = if (maySend()) Stage.SENT else Stage.WITHDRAWN
        return stage.compareAndSet(Stage.WAITING, next) && next == Stage.SENT
    }

    /** Gives the request up. Returns true when no byte has left or ever will. */
    fun abandon(): Boolean = stage.compareAndSet(Stage.WAITING, Stage.ABANDONED) || stage.get() != Stage.SENT
}

/** Result of reading one response. */
internal sealed interface ResponseRead {
    /** The whole response arrived. [reusable] tells that the connection may carry another request. */
    class Complete(
        val response: HttpResponse,
        val reusable: Boolean,
    ) : ResponseRead

    /** The response is not usable. */
    class Broken(
        val reason: String,
    ) : ResponseRead
}

/** One connection to a server. It carries one request at a time. */
internal class ClientConnection(
    private val channel: NettyChannel,
    private val decoder: ResponseDecoder,
    private val inbox: Inbox,
    private val settings: HttpClientSettings,
) {
    /** Time of the last return to the pool, from [System.nanoTime]. */
    var idleSinceNanos: Long = 0

    /** How long the server said that it keeps the connection while it is idle. */
    private var statedIdleMs = Long.MAX_VALUE

    @Volatile
    private var lastWrite: ChannelFuture? = null

    /** Returns whether the connection is open and no message arrived on it behind the last response. */
    fun isUsable(): Boolean = channel.isActive && inbox.poll() == null

    /** Returns whether the connection has been idle for so long that the server may be about to close it. */
    fun isIdleTooLong(nowNanos: Long): Boolean {
        val limitMs = minOf(settings.idleProbeAfterMs, statedIdleMs / IDLE_PART)
        return nowNanos - idleSinceNanos > TimeUnit.MILLISECONDS.toNanos(limitMs)
    }

    /** Closes the connection as soon as something arrives on it, until the next request is written. */
    fun expectNothing() = decoder.end()

    /** Writes [message] unless the connection is not usable or [mark] was abandoned. Returns false when nothing was written. */
    suspend fun write(message: FullHttpRequest, mark: SendMark): Boolean =
        suspendCancellableCoroutine { waiter ->
            // Checked on the event loop, where nothing can arrive and the connection cannot be closed between the check and the write.
            channel.eventLoop().execute {
                val written = isUsable() && decoder.isBetweenMessages && mark.markSent()
                if (written) {
                    decoder.begin(message.method())
                    lastWrite = channel.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
                }
                waiter.resume(written)
            }
            waiter.invokeOnCancellation { mark.abandon() }
        }

    /** Reads the response to a request with [method]. */
    suspend fun read(method: String, expectedRequestId: String?): ResponseRead {
        while (true) {
            val read = readOne(method)
            if (read !is ResponseRead.Complete) return read
            val answeredId = read.response.headers[settings.requestIdHeader]
            if (expectedRequestId == null || answeredId == null || answeredId == expectedRequestId) return read
            if (settings.mismatchedResponses == MismatchedResponsePolicy.FAIL) {
                return ResponseRead.Broken("request $answeredId was answered instead of $expectedRequestId")
            }
        }
    }

    private suspend fun readOne(method: String): ResponseRead {
        while (true) {
            return when (val item = inbox.receive()) {
                null -> ResponseRead.Broken("the connection was closed before the response")
                is Inbound.Malformed -> ResponseRead.Broken("the response is malformed: ${item.cause.message}")
                is Inbound.Head -> {
                    val head = item.message as NettyResponse
                    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) continue
                    readBody(method, head)
                }
                else -> continue
            }
        }
    }

    /** Closes the connection. */
    fun close() {
        channel.close()
    }

    private suspend fun readBody(method: String, head: NettyResponse): ResponseRead {
        val isFramed = hasKnownLength(method, head)
        if (!isFramed &&
            !settings.acceptsCloseDelimitedBodies
        ) {
            return ResponseRead.Broken("the response does not give the length of its body")
        }
        val body = ByteArrayOutputStream()
        while (true) {
            when (val item = inbox.receive()) {
                null -> return ResponseRead.Broken("the connection was closed within the response")
                is Inbound.Malformed -> return ResponseRead.Broken("the body of the response is malformed: ${item.cause.message}")
                is Inbound.Body -> {
                    if (body.size() + item.bytes.size > settings.bodyLimitBytes) {
                        return ResponseRead.Broken("the body is over ${settings.bodyLimitBytes} bytes")
                    }
                    body.write(item.bytes)
                }
                Inbound.End -> return complete(head, body.toByteArray(), isFramed)
                else -> Unit
            }
        }
    }

    private fun complete(head: NettyResponse, body: ByteArray, isFramed: Boolean): ResponseRead {
        val response = HttpResponse(head.status().code(), head.headers().toHeaderList(), body)
        // A server may answer before it has taken the whole request; what is left of it must not precede the next one.
        statedIdleMs = keepAliveMs(head)
        val reusable = isFramed && HttpUtil.isKeepAlive(head) && channel.isActive && lastWrite?.isSuccess == true
        return ResponseRead.Complete(response, reusable)
    }

    private fun hasKnownLength(method: String, head: NettyResponse): Boolean =
        method == "HEAD" ||
            head.status().code() in BODILESS ||
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
        // A connection is reused in the first half of the time that the server states.
        const val IDLE_PART = 2
        val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d{1,9})")
        val BODILESS = setOf(204, 304)
    }
}
