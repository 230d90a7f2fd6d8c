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
 * Decodes the responses on a connection of a client and limits what a faulty server can make the client receive.
 *
 * The connection is closed when bytes arrive while no response is expected, and when far more bytes arrive for one request than a response
 * with a body of [bodyLimitBytes] takes. All bytes count, because interim responses and responses to other requests have no other limit.
 * Memory for heads is reserved in [account].
 */
internal class ResponseDecoder(
    bodyLimitBytes: Int,
    account: MemoryAccount,
) : HttpResponseDecoder(HttpDecoderConfig().setMaxHeaderSize(HEADER_LIMIT_BYTES)) {
    private val limitBytes = LIMIT_PER_RESPONSE * (HEADER_LIMIT_BYTES + bodyLimitBytes)

    @Volatile
    private var isResponseExpected = false
    private var isHead = false
    private var receivedBytes = 0L
    private val meter = HeadMeter(account)
    private var isOutOfMemory = false

    /** Whether no message is partly decoded. Read on the event loop. */
    var isBetweenMessages = true
        private set

    /** Prepares for the response to a request with [method]. Called on the event loop. */
    fun beginResponse(method: HttpMethod) {
        isHead = method == HttpMethod.HEAD
        receivedBytes = 0
        isResponseExpected = true
    }

    /** Marks the response as complete. Anything that arrives before the next [beginResponse] belongs to no request. */
    fun endResponse() {
        isResponseExpected = false
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf) receivedBytes += message.readableBytes()
        if (isResponseExpected && receivedBytes <= limitBytes) {
            super.channelRead(context, message)
            return
        }
        ReferenceCountUtil.release(message)
        if (isResponseExpected) context.fireChannelRead(InboundEvent.Malformed(TooLongFrameException("over $limitBytes bytes arrived")))
        context.close()
    }

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (isOutOfMemory) {
            buffer.skipBytes(buffer.readableBytes())
            return
        }
        val before = buffer.readerIndex()
        super.decode(context, buffer, out)
        if (!meter.onDecoded(buffer.readerIndex() - before, out, buffer)) {
            isOutOfMemory = true
            out.forEach(ReferenceCountUtil::release)
            out.clear()
            meter.discard()
            out += InboundEvent.NoMemory
            // The receiver closes the connection too, but it may be busy.
            context.close()
        }
        // Each call decodes one part of a message. The rest of the buffer is decoded by further calls.
        isBetweenMessages = out.lastOrNull() is LastHttpContent
    }

    /**
     * Rejects status lines that Netty repairs or passes on: a status outside 100 to 599, one that is not of exactly three digits, and any
     * other protocol than HTTP/1.0 and HTTP/1.1.
     */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val (version, status) = initialLine
        require(version in VERSIONS) { "expected HTTP/1.1 or HTTP/1.0, found ${version.shortened()}" }
        require(STATUS.matches(status)) { "expected a status from 100 to 599, found ${status.shortened()}" }
        return super.createMessage(initialLine).also(meter::onStartLine)
    }

    private fun String.shortened(): String = "'${take(MAX_SHOWN_CHARS)}'"

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = isHead || super.isContentAlwaysEmpty(message)

    private companion object {
        // Higher than the header limit for callers, because targets may send more headers.
        const val HEADER_LIMIT_BYTES = 65_536

        // A body in chunks of one byte takes six times its length on the connection.
        const val LIMIT_PER_RESPONSE = 8L

        val VERSIONS = setOf("HTTP/1.1", "HTTP/1.0")
        val STATUS = Regex("[1-5][0-9]{2}")

        /** Limits what an error text repeats of a faulty status line. */
        const val MAX_SHOWN_CHARS = 32
    }
}
