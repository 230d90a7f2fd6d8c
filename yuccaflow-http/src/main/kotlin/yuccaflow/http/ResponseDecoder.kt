package yuccaflow.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/**
 * Decodes the responses on a client's connection, one request at a time, and bounds what a faulty server can send.
 *
 * Bytes that arrive while no response is due close the connection. So does much more for one request than a response
 * with a body of [bodyLimitBytes] takes, whatever it is: interim responses, and responses to other requests, are not limited otherwise.
 */
internal class ResponseDecoder(
    bodyLimitBytes: Int,
) : HttpResponseDecoder(HttpDecoderConfig().setMaxHeaderSize(HEADER_LIMIT_BYTES)) {
    private val limitBytes = LIMIT_PER_RESPONSE * (HEADER_LIMIT_BYTES + bodyLimitBytes)

    @Volatile
    private var isResponseDue = false
    private var isHead = false
    private var receivedBytes = 0L

    /** Whether all bytes received so far belong to whole messages. Read on the event loop. */
    var isBetweenMessages = true
        private set

    /** Begins the response to a request with [method]. Called on the event loop. */
    fun begin(method: HttpMethod) {
        isHead = method == HttpMethod.HEAD
        receivedBytes = 0
        isResponseDue = true
    }

    /** Ends the response. What arrives before the next one begins belongs to no request. */
    fun end() {
        isResponseDue = false
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf) receivedBytes += message.readableBytes()
        if (isResponseDue && receivedBytes <= limitBytes) {
            super.channelRead(context, message)
            return
        }
        ReferenceCountUtil.release(message)
        if (isResponseDue) context.fireChannelRead(Inbound.Malformed(TooLongFrameException("over $limitBytes bytes arrived")))
        context.close()
    }

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        super.decode(context, buffer, out)
        // Whatever is left in the buffer is decoded by another call.
        isBetweenMessages = out.lastOrNull() is LastHttpContent
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = isHead || super.isContentAlwaysEmpty(message)

    private companion object {
        // Targets may send more headers than callers may.
        const val HEADER_LIMIT_BYTES = 65_536

        // A body in chunks of one byte takes six times its length.
        const val LIMIT_PER_RESPONSE = 8L
    }
}
