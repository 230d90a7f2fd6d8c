package yuccaflow.http

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequest as NettyRequest

/** Estimates the memory that the head of a message takes until its exchange ends, with its copies. */
internal object HeadSize {
    /** The message objects, the request target and the state of the exchange. */
    private const val BASE_BYTES = 1_024

    /**
     * A header line without its characters, on a heap with compressed references: an entry (40 bytes), a name (32 + 24 bytes) and a value
     * (24 + 24 bytes) in the decoder; a [HttpHeader] (24 bytes), its name as a string (24 + 24 bytes) and references to it (32 bytes); an
     * entry of the outgoing message (40 bytes). With the copies of lists that handlers make, rounded up.
     */
    private const val LINE_BYTES = 320

    /** Names are held as bytes and as a string, and the outgoing message is encoded. */
    private const val BYTES_PER_CHARACTER = 3

    fun of(lines: Int, characters: Int): Int = BASE_BYTES + lines * LINE_BYTES + characters * BYTES_PER_CHARACTER

    fun of(headers: HttpHeaderList): Int = of(headers.lines.size, headers.lines.sumOf { it.name.length + it.value.length })

    fun of(message: HttpMessage): Int =
        of(message.headers().size(), message.headers().characters() + ((message as? NettyRequest)?.uri()?.length ?: 0))

    private fun HttpHeaders.characters(): Int {
        var characters = 0
        for (line in iteratorCharSequence()) characters += line.key.length + line.value.length
        return characters
    }
}
