package yuccaflow.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

private const val PART_BYTES = 8_192
private const val BUFFERED_LIMIT_BYTES = 131_072

@DisplayName("The inbound event queue of a connection")
class InboundEventQueueTest {
    private val events = InboundEventQueue()
    private val channel = EmbeddedChannel(events)

    /** Adds messages of [PART_BYTES] until reading from the connection pauses, and returns the number of bytes that are queued then. */
    private fun fill(message: () -> Any): Int {
        var bufferedBytes = 0
        while (channel.config().isAutoRead) {
            channel.writeInbound(message())
            bufferedBytes += PART_BYTES
        }
        return bufferedBytes
    }

    private fun head() = DefaultHttpResponse(
        HttpVersion.HTTP_1_1,
        HttpResponseStatus.OK,
    ).apply { headers().set("X-A", "b".repeat(PART_BYTES)) }

    /** Guards against hundreds of fast connections that fill the heap before their coroutines get to run. */
    @Nested
    @DisplayName("pauses reading at its limit")
    inner class Pausing {
        @Test
        fun `for bodies`() {
            expectThat(fill { DefaultHttpContent(Unpooled.wrappedBuffer(ByteArray(PART_BYTES))) }).isLessThan(BUFFERED_LIMIT_BYTES)
        }

        @Test
        fun `for headers`() {
            expectThat(fill(::head)).isLessThan(BUFFERED_LIMIT_BYTES)
        }
    }

    /** Guards against a connection that is never read from again after a pause. */
    @Test
    fun `resumes reading when the events have been received`() {
        fill(::head)
        expectThat(channel.config().isAutoRead).isFalse()
        while (events.poll() != null) Unit
        expectThat(channel.config().isAutoRead).isTrue()
    }
}
