package yuccaflow.entry.routing

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import yuccaflow.http.HttpHeader
import yuccaflow.http.HttpHeaderList

@DisplayName("The pause that a target asks for")
class PauseRequestTest {
    private fun pauseOf(vararg values: String) = PauseRequest.of(HttpHeaderList(values.map { HttpHeader("Retry-After", it) }))

    @ParameterizedTest
    @CsvSource("2, 2000", "0.25, 250", "' 1.5 ', 1500", "0002, 2000")
    fun `is a number of seconds`(value: String, durationMs: Long) {
        expectThat(pauseOf(value)).isEqualTo(PauseRequest.Pause(durationMs))
    }

    /** Guards against an exception, or a target that is never used again, because of a value that no target should send. */
    @ParameterizedTest
    @ValueSource(strings = ["", "-1", "+1", "1e3", "NaN", "Infinity", "0x10", "1.", ".5", "1,5", "soon", "Fri, 31 Dec 1999 23:59:59 GMT"])
    fun `is ignored if it is no number of seconds`(value: String) {
        expectThat(pauseOf(value)).isEqualTo(PauseRequest.Invalid)
    }

    /** Guards against the overflow of a time. */
    @Test
    fun `stays within the range of times if it is huge`() {
        val pause = pauseOf("9".repeat(400))
        expectThat(pause).isA<PauseRequest.Pause>().get { Long.MAX_VALUE - durationMs }.isGreaterThan(Long.MAX_VALUE / 2)
    }

    @Test
    fun `is the longest of several`() {
        expectThat(pauseOf("1", "noise", "3", "2")).isEqualTo(PauseRequest.Pause(3_000))
    }

    @Test
    fun `is none without a header or with zero`() {
        expectThat(pauseOf()).isEqualTo(PauseRequest.None)
        expectThat(pauseOf("0", "0.0")).isEqualTo(PauseRequest.None)
    }
}
