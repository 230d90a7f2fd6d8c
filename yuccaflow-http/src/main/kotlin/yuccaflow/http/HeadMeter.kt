package yuccaflow.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.LastHttpContent

/**
 * Reserves memory in [account] for the head, and for the trailers, of the message that a decoder is receiving. When the head is complete,
 * its [HeadSize] stays reserved for the receiver of the message, who releases it at the end of the exchange.
 */
internal class HeadMeter(
    private val account: MemoryAccount,
) {
    /** The message whose head is incomplete. */
    private var incomplete: HttpMessage? = null
    private var isInBody = false
    private var reservedBytes = 0

    /** Bytes that the decoder has consumed since it last returned a part of a message. */
    private var consumedBytes = 0

    /** Called when the start line of [message] has been decoded. */
    fun onStartLine(message: HttpMessage) {
        incomplete = message
    }

    /**
     * Called after each step of the decoder, which has consumed [bytes] and returned [parts]; the rest of [buffer] is still to be decoded.
     * Returns false when there is no memory for the message.
     */
    fun onDecoded(bytes: Int, parts: List<Any>, buffer: ByteBuf): Boolean {
        consumedBytes += bytes
        if (parts.isEmpty()) return resize(sizeOfIncomplete(buffer))
        consumedBytes = 0
        val head = parts.firstNotNullOfOrNull { it as? HttpMessage }
        if (!resize(head?.let { HeadSize.of(it) } ?: 0)) return false
        reservedBytes = 0
        incomplete = null
        isInBody = parts.last() !is LastHttpContent
        return true
    }

    /** Called when the message is given up and the decoder has dropped what it has received of it. */
    fun discard() {
        resize(0)
        incomplete = null
    }

    private fun sizeOfIncomplete(buffer: ByteBuf): Int {
        // An incomplete line keeps the whole buffer.
        val bufferBytes = if (buffer.isReadable) buffer.capacity() else 0
        val message = incomplete
        return bufferBytes + when {
            message != null -> HeadSize.of(message.headers().size(), consumedBytes)
            // The decoder does not show its trailers before they are complete.
            isInBody -> consumedBytes * MAX_BYTES_PER_TRAILER_BYTE
            else -> 0
        }
    }

    private fun resize(bytes: Int): Boolean {
        val added = bytes - reservedBytes
        if (added > 0 && !account.tryReserveForHead(added)) return false
        if (added < 0) account.release(-added)
        reservedBytes = bytes
        return true
    }

    private companion object {
        /** A line of four bytes, which is the shortest but for those with a bare line feed, takes 144 bytes in the decoder. */
        const val MAX_BYTES_PER_TRAILER_BYTE = 48
    }
}
