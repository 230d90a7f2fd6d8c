package yuccaflow.entry.routing

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn

@DisplayName("The responses to refused requests")
class ErrorResponsesTest {
    private val responses = ErrorResponses(HeaderNames())

    private fun retryAfterS(retryAfterMs: Long): Double =
        responses.refused("r-1", "full", retryAfterMs).headers["Retry-After"]!!.toDouble()

    /** Guards against a load peak of all the callers that were refused at the same time. */
    @Test
    fun `spread the times at which callers come back`() {
        val times = List(CALLERS) { retryAfterS(100) }
        expectThat(times).all { isIn(0.075..0.125) }
        expectThat(times.toSet().size).isGreaterThan(10)
    }

    /** Guards against a negative time, which is no valid header. */
    @Test
    fun `may say that callers can come back at once`() {
        expectThat(List(CALLERS) { retryAfterS(0) }.filter { it == 0.0 }).hasSize(CALLERS)
    }

    private companion object {
        const val CALLERS = 200
    }
}
