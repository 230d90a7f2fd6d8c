package yuccaflow.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.LastHttpContent

/**
 * Netty's request decoder, which also announces the first byte of each request, and rejects two things that Netty repairs: a request
 * with both Content-Length and Transfer-Encoding, and folded header lines. Repairing them differently from another HTTP
 * implementation on the path would let a caller smuggle a request.
 */
internal class StrictRequestDecoder(
    limits: HttpServerLimits,
) : HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(limits.requestLineLimitBytes)
            .setMaxHeaderSize(limits.headerLimitBytes)
            .setAllowDuplicateContentLengths(false),
    ) {
    private var started = false
    private var inHead = true
    private var afterLine = false

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (!started && buffer.isReadable) {
            started = true
            context.fireChannelRead(Inbound.Started)
        }
        if (inHead && hasFoldedLine(buffer)) {
            context.fireChannelRead(Inbound.Malformed(IllegalArgumentException("folded header line")))
            buffer.skipBytes(buffer.readableBytes())
            return
        }
        val before = buffer.readerIndex()
        super.decode(context, buffer, out)
        afterLine = afterLine || buffer.readerIndex() > before
        if (out.any { it is HttpMessage }) inHead = false
        if (out.any { it is LastHttpContent }) {
            started = false
            inHead = true
            afterLine = false
        }
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding")

    /** Looks for a line that begins with a space or a tab, up to the end of the head. */
    private fun hasFoldedLine(buffer: ByteBuf): Boolean {
        var lineStart = buffer.readerIndex()
        if (!afterLine) lineStart = nextLine(buffer, skipBlank(buffer, lineStart))
        while (lineStart in 0 until buffer.writerIndex()) {
            val first = buffer.getByte(lineStart).toInt().toChar()
            if (first == ' ' || first == '\t') return true
            if (first == '\r' || first == '\n') return false
            lineStart = nextLine(buffer, lineStart)
        }
        return false
    }

    /** Netty ignores blanks before a request line. */
    private fun skipBlank(buffer: ByteBuf, from: Int): Int =
        (from until buffer.writerIndex()).firstOrNull { buffer.getByte(it) > ' '.code } ?: buffer.writerIndex()

    private fun nextLine(buffer: ByteBuf, from: Int): Int {
        val end = buffer.indexOf(from, buffer.writerIndex(), '\n'.code.toByte())
        return if (end < 0) -1 else end + 1
    }
}
