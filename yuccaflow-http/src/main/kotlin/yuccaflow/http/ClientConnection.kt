package yuccaflow.http

import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.ByteArrayOutputStream
import java.util.concurrent.atomic.AtomicReference
import kotlin.coroutines.resume
import io.netty.channel.Channel as NettyChannel
import io.netty.handler.codec.http.HttpResponse as NettyResponse

/** Whether the bytes of a request have left. Shared by the sending coroutine and the event loop, so that a timeout cannot race a write. */
internal class SendMark {
    private enum class Stage { WAITING, SENT, ABANDONED }

    private val stage = AtomicReference(Stage.WAITING)

    /** Claims the right to write. Returns false when the request was abandoned. */
    fun markSent(): Boolean = stage.compareAndSet(Stage.WAITING, Stage.SENT)

    /** Gives the request up. Returns true when no byte has left or ever will. */
    fun abandon(): Boolean = stage.compareAndSet(Stage.WAITING, Stage.ABANDONED) || stage.get() == Stage.ABANDONED
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
    private val inbox: Inbox,
    private val bodyLimitBytes: Int,
) {
    /** Time of the last return to the pool, from [System.nanoTime]. */
    var idleSinceNanos: Long = 0

    @Volatile
    private var lastWrite: ChannelFuture? = null

    /** Returns whether the connection is open and nothing arrived on it while it was idle. */
    fun isUsable(): Boolean = channel.isActive && inbox.poll() == null

    /** Writes [message] unless the connection is closed or [mark] was abandoned. Returns false when nothing was written. */
    suspend fun write(message: FullHttpRequest, mark: SendMark): Boolean =
        suspendCancellableCoroutine { waiter ->
            // Activity is checked on the event loop, where the connection cannot be closed between the check and the write.
            channel.eventLoop().execute {
                val written = channel.isActive && mark.markSent()
                if (written) lastWrite = channel.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
                waiter.resume(written)
            }
            waiter.invokeOnCancellation { mark.abandon() }
        }

    /** Reads the response to a request with [method]. */
    suspend fun read(method: String): ResponseRead {
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
        // A body that ends with the connection cannot be told from half a body.
        if (!hasKnownLength(method, head)) return ResponseRead.Broken("the response does not give the length of its body")
        val body = ByteArrayOutputStream()
        while (true) {
            when (val item = inbox.receive()) {
                null -> return ResponseRead.Broken("the connection was closed within the response")
                is Inbound.Malformed -> return ResponseRead.Broken("the body of the response is malformed: ${item.cause.message}")
                is Inbound.Body -> {
                    if (body.size() + item.bytes.size > bodyLimitBytes) return ResponseRead.Broken("the body is over $bodyLimitBytes bytes")
                    body.write(item.bytes)
                }
                Inbound.End -> return complete(head, body.toByteArray())
                else -> Unit
            }
        }
    }

    private fun complete(head: NettyResponse, body: ByteArray): ResponseRead {
        val response = HttpResponse(head.status().code(), head.headers().toHeaderList(), body)
        // A server may answer before it has taken the whole request; what is left of it must not precede the next one.
        val reusable = HttpUtil.isKeepAlive(head) && channel.isActive && lastWrite?.isSuccess == true
        return ResponseRead.Complete(response, reusable)
    }

    private fun hasKnownLength(method: String, head: NettyResponse): Boolean =
        method == "HEAD" ||
            head.status().code() in BODILESS ||
            HttpUtil.isContentLengthSet(head) ||
            HttpUtil.isTransferEncodingChunked(head)

    private companion object {
        val BODILESS = setOf(204, 304)
    }
}
