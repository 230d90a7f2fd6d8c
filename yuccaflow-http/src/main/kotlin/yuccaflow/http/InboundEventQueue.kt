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

/** An event on a connection, delivered to the coroutine of the connection in the order of arrival. */
internal sealed interface InboundEvent {
    /** Approximate memory that the event takes. */
    val bufferedBytes: Int get() = EVENT_OVERHEAD_BYTES

    /** The first byte of a message has arrived. */
    data object Started : InboundEvent

    /** The start line and the headers of a message have arrived. */
    class Head(
        val message: HttpMessage,
    ) : InboundEvent {
        /** The memory that is reserved for the head until the end of the exchange. */
        val reservedBytes: Int = HeadSize.of(message)

        override val bufferedBytes get() = EVENT_OVERHEAD_BYTES + reservedBytes
    }

    /** A part of a body has arrived. */
    class Body(
        val bytes: ByteArray,
    ) : InboundEvent {
        override val bufferedBytes get() = EVENT_OVERHEAD_BYTES + bytes.size
    }

    /** The message is complete. */
    data object End : InboundEvent

    /** The received bytes are not a valid message. No events follow. */
    class Malformed(
        val cause: Throwable,
    ) : InboundEvent

    /** The process has no memory for the head or the trailers of the message. No events follow. */
    data object NoMemory : InboundEvent

    /** The server's shutdown has been announced, or has begun to close idle connections. */
    data object ShutdownProgressed : InboundEvent

    private companion object {
        const val EVENT_OVERHEAD_BYTES = 256
    }
}

/** The last handler of a Netty pipeline. It queues decoded messages for the coroutine of the connection. */
internal class InboundEventQueue : ChannelInboundHandlerAdapter() {
    private val queue = Channel<InboundEvent>(Channel.UNLIMITED)
    private val bufferedBytes = AtomicInteger()

    @Volatile
    private var channel: NettyChannel? = null

    /** Waits for the next event and returns it, or null when the connection is closed. */
    suspend fun receive(): InboundEvent? = queue.receiveCatching().getOrNull()?.also(::onTaken)

    /** Returns the next event if there is one already, or null. */
    fun poll(): InboundEvent? = queue.tryReceive().getOrNull()?.also(::onTaken)

    /** Adds an event. Stops reading from the connection when the queue holds too much. */
    fun offer(event: InboundEvent) {
        if (bufferedBytes.addAndGet(event.bufferedBytes) >= PAUSE_AT_BYTES) pause()
        queue.trySend(event)
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            when (message) {
                is InboundEvent -> offer(message)
                is HttpObject -> offerEvents(message)
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

    private fun offerEvents(message: HttpObject) {
        if (message.decoderResult().isFailure) {
            offer(InboundEvent.Malformed(message.decoderResult().cause()))
            return
        }
        if (message is HttpMessage) offer(InboundEvent.Head(message))
        if (message is HttpContent && message.content().isReadable) offer(InboundEvent.Body(ByteBufUtil.getBytes(message.content())))
        if (message is LastHttpContent) offer(InboundEvent.End)
    }

    private fun pause() {
        val config = channel?.config() ?: return
        config.isAutoRead = false
        // The coroutine may have emptied the queue meanwhile, and then nothing else would resume reading.
        if (bufferedBytes.get() <= RESUME_AT_BYTES) config.isAutoRead = true
    }

    private fun onTaken(event: InboundEvent) {
        val left = bufferedBytes.addAndGet(-event.bufferedBytes)
        if (left <= RESUME_AT_BYTES && left + event.bufferedBytes > RESUME_AT_BYTES) channel?.config()?.isAutoRead = true
    }

    private companion object {
        // Backpressure: reading pauses while a connection sends faster than its coroutine receives, which bounds the memory it takes.
        const val PAUSE_AT_BYTES = 32_768
        const val RESUME_AT_BYTES = 8_192
    }
}
