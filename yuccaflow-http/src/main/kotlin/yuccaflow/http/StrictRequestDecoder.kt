package yuccaflow.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/**
 * A request decoder that also reports the first byte of each request, reserves memory for heads in [account], and rejects two defects that
 * Netty would repair: a request with both Content-Length and Transfer-Encoding, and folded header lines. If another HTTP implementation on
 * the path repaired them differently, callers could smuggle requests.
 *
 * Netty fixes the limits of a decoder when it is created. When [latestLimits] returns other ones between two requests, this decoder
 * replaces itself.
 */
internal class StrictRequestDecoder private constructor(
    private val limits: HttpServerLimits,
    private val latestLimits: () -> HttpServerLimits,
    private val account: MemoryAccount,
) : HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(limits.requestLineLimitBytes)
            .setMaxHeaderSize(limits.headerLimitBytes)
            .setAllowDuplicateContentLengths(false),
    ) {
    constructor(limits: () -> HttpServerLimits, account: MemoryAccount) : this(limits(), limits, account)

    private var isStarted = false
    private var isInHead = true
    private var isPastRequestLine = false
    private val meter = HeadMeter(account)
    private var isOutOfMemory = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val latest = latestLimits()
        if (isStarted || hasLimitsOf(latest)) {
            super.channelRead(context, message)
            return
        }
        val next = StrictRequestDecoder(latest, latestLimits, account)
        context.pipeline().replace(this, null, next)
        next.channelRead(context.pipeline().context(next), message)
    }

    private fun hasLimitsOf(latest: HttpServerLimits) =
        limits.requestLineLimitBytes == latest.requestLineLimitBytes && limits.headerLimitBytes == latest.headerLimitBytes

    override fun createMessage(initialLine: Array<String>): HttpMessage = super.createMessage(initialLine).also(meter::onStartLine)

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (isOutOfMemory) {
            buffer.skipBytes(buffer.readableBytes())
            return
        }
        if (!isStarted && buffer.isReadable) {
            isStarted = true
            context.fireChannelRead(InboundEvent.Started)
        }
        if (isInHead && hasFoldedLine(buffer)) {
            context.fireChannelRead(InboundEvent.Malformed(IllegalArgumentException("folded header line")))
            buffer.skipBytes(buffer.readableBytes())
            return
        }
        val before = buffer.readerIndex()
        super.decode(context, buffer, out)
        if (!meter.onDecoded(buffer.readerIndex() - before, out, buffer)) {
            isOutOfMemory = true
            dropMessage(context, out)
            meter.discard()
            out += InboundEvent.NoMemory
            return
        }
        isPastRequestLine = isPastRequestLine || buffer.readerIndex() > before
        if (out.any { it is HttpMessage }) isInHead = false
        if (out.any { it is LastHttpContent }) {
            isStarted = false
            isInHead = true
            isPastRequestLine = false
        }
    }

    /** Drops what has been received of the message, because its connection may stay open for a while. */
    private fun dropMessage(context: ChannelHandlerContext, out: MutableList<Any>) {
        out.forEach(ReferenceCountUtil::release)
        out.clear()
        reset()
        super.decode(context, Unpooled.EMPTY_BUFFER, out)
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding")

    /** Returns whether a header line in [buffer] begins with a space or a tab. */
    private fun hasFoldedLine(buffer: ByteBuf): Boolean {
        var lineStart = buffer.readerIndex()
        if (!isPastRequestLine) lineStart = nextLine(buffer, skipBlank(buffer, lineStart))
        while (lineStart in 0 until buffer.writerIndex()) {
            val first = buffer.getByte(lineStart).toInt().toChar()
            if (first == ' ' || first == '\t') return true
            if (first == '\r' || first == '\n') return false
            lineStart = nextLine(buffer, lineStart)
        }
        return false
    }

    /** Skips white space before the request line, as Netty does. */
    private fun skipBlank(buffer: ByteBuf, from: Int): Int =
        (from until buffer.writerIndex()).firstOrNull { buffer.getByte(it) > ' '.code } ?: buffer.writerIndex()

    private fun nextLine(buffer: ByteBuf, from: Int): Int {
        val end = buffer.indexOf(from, buffer.writerIndex(), '\n'.code.toByte())
        return if (end < 0) -1 else end + 1
    }
}
