package yuccaflow.http

import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.channels.Channel
import java.util.concurrent.atomic.AtomicInteger
import io.netty.channel.Channel as NettyChannel

/** What a connection's coroutine receives, in wire order. */
internal sealed interface Inbound {
    /** About how much memory the item holds. */
    val heldBytes: Int get() = ITEM_BYTES

    /** The first byte of a message has arrived. */
    data object Started : Inbound

    /** The start line and the headers of a message. */
    class Head(
        val message: HttpMessage,
    ) : Inbound {
        override val heldBytes =
            ITEM_BYTES + message
                .headers()
                .iteratorCharSequence()
                .asSequence()
                .sumOf { it.key.length + it.value.length }
    }

    /** A part of a body. */
    class Body(
        val bytes: ByteArray,
    ) : Inbound {
        override val heldBytes get() = ITEM_BYTES + bytes.size
    }

    /** The message is complete. */
    data object End : Inbound

    /** The bytes received are not a valid message; nothing follows. */
    class Malformed(
        val cause: Throwable,
    ) : Inbound

    /** The server stops: an idle connection is to be closed soon. */
    data object Draining : Inbound

    private companion object {
        const val ITEM_BYTES = 256
    }
}

/** The last handler of a pipeline: hands decoded messages to the connection's coroutine through a channel. */
internal class Inbox : ChannelInboundHandlerAdapter() {
    private val queue = Channel<Inbound>(Channel.UNLIMITED)
    private val heldBytes = AtomicInteger()

    @Volatile
    private var netty: NettyChannel? = null

    /** Returns the next item, or null when the connection is closed. */
    suspend fun receive(): Inbound? = queue.receiveCatching().getOrNull()?.also(::taken)

    /** Returns an item that has already arrived, or null. */
    fun poll(): Inbound? = queue.tryReceive().getOrNull()?.also(::taken)

    /** Adds an item. */
    fun offer(item: Inbound) {
        if (heldBytes.addAndGet(item.heldBytes) >= PAUSE_AT_BYTES) pause()
        queue.trySend(item)
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        netty = context.channel()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            when (message) {
                is Inbound -> offer(message)
                is HttpObject -> accept(message)
            }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        queue.close()
    }

    @Deprecated("Netty deprecates the method in the interface only for other handler types")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        queue.close()
        context.close()
    }

    private fun accept(message: HttpObject) {
        if (message.decoderResult().isFailure) {
            offer(Inbound.Malformed(message.decoderResult().cause()))
            return
        }
        if (message is HttpMessage) offer(Inbound.Head(message))
        if (message is HttpContent && message.content().isReadable) offer(Inbound.Body(ByteBufUtil.getBytes(message.content())))
        if (message is LastHttpContent) offer(Inbound.End)
    }

    private fun pause() {
        val config = netty?.config() ?: return
        config.isAutoRead = false
        // The coroutine may have taken enough meanwhile, and would not resume again.
        if (heldBytes.get() <= RESUME_AT_BYTES) config.isAutoRead = true
    }

    private fun taken(item: Inbound) {
        val left = heldBytes.addAndGet(-item.heldBytes)
        if (left <= RESUME_AT_BYTES && left + item.heldBytes > RESUME_AT_BYTES) netty?.config()?.isAutoRead = true
    }

    private companion object {
        // A connection that sends faster than its coroutine takes is not read from, which bounds the memory that it holds.
        const val PAUSE_AT_BYTES = 65_536
        const val RESUME_AT_BYTES = 16_384
    }
}
