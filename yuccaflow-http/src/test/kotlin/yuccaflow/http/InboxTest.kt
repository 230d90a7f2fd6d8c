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
private const val HELD_LIMIT_BYTES = 131_072

@DisplayName("The inbox of a connection")
class InboxTest {
    private val inbox = Inbox()
    private val channel = EmbeddedChannel(inbox)

    /** Offers messages of [PART_BYTES] until the connection is not read from any more, and returns the bytes that are held then. */
    private fun fill(message: () -> Any): Int {
        var heldBytes = 0
        while (channel.config().isAutoRead) {
            channel.writeInbound(message())
            heldBytes += PART_BYTES
        }
        return heldBytes
    }

    private fun head() = DefaultHttpResponse(
        HttpVersion.HTTP_1_1,
        HttpResponseStatus.OK,
    ).apply { headers().set("X-A", "b".repeat(PART_BYTES)) }

    /** Guards against hundreds of fast connections that fill the heap before their coroutines run. */
    @Nested
    @DisplayName("stops reading before it holds much")
    inner class Pausing {
        @Test
        fun `for bodies`() {
            expectThat(fill { DefaultHttpContent(Unpooled.wrappedBuffer(ByteArray(PART_BYTES))) }).isLessThan(HELD_LIMIT_BYTES)
        }

        @Test
        fun `for headers`() {
            expectThat(fill(::head)).isLessThan(HELD_LIMIT_BYTES)
        }
    }

    /** Guards against a connection that stays silent after a pause. */
    @Test
    fun `reads again when the items are taken`() {
        fill(::head)
        expectThat(channel.config().isAutoRead).isFalse()
        while (inbox.poll() != null) Unit
        expectThat(channel.config().isAutoRead).isTrue()
    }
}
