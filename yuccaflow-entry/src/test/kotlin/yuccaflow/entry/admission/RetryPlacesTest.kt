package yuccaflow.entry.admission

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

@DisplayName("The places of refused callers")
class RetryPlacesTest {
    private val places = RetryPlaces()

    private fun reserve(request: String, nowMs: Long, drainMs: Int = 100, remainingMs: Long = 3_000, queue: String = "t") =
        places.reserve(queue, request, ExpectedCapacity(drainMs.toDouble(), spacingMs = 40.0), remainingMs, nowMs)

    /** Guards against callers that are refused together and return together. */
    @Test
    fun `follow each other at the expected capacity`() {
        expectThat(listOf("a", "b", "c").map { reserve(it, 0) }).isEqualTo(listOf(100L, 140L, 180L))
        expectThat(reserve("d", 0, queue = "other")).isEqualTo(100L)
    }

    /** Guards against callers that are told to return at once, or later than they are willing to wait. */
    @Test
    fun `are at least 50 ms and at most a third of the remaining time away`() {
        expectThat(reserve("a", 0, drainMs = 0)).isEqualTo(50L)
        expectThat(reserve("b", 0, drainMs = 5_000, remainingMs = 900)).isEqualTo(300L)
        expectThat(reserve("c", 0, remainingMs = 30)).isEqualTo(50L)
    }

    /** Guards against a caller that pushes others back by returning earlier than told, and against a gain from doing so. */
    @Test
    fun `are kept by a caller that is refused again before its time`() {
        expectThat(reserve("a", 0, drainMs = 400)).isEqualTo(400L)
        expectThat(reserve("a", 100, drainMs = 0)).isEqualTo(300L)
        expectThat(reserve("b", 100, drainMs = 0)).isEqualTo(340L)
    }

    /** Guards against long waits that outlast an overload. */
    @Test
    fun `are free again when they are in the past`() {
        repeat(10) { reserve("r$it", 0) }
        expectThat(reserve("later", 10_000)).isEqualTo(100L)
    }

    /** Guards against memory that grows with the number of refusals. */
    @Test
    fun `are remembered for a bounded number of requests`() {
        val few = RetryPlaces(capacity = 2)
        val expected = ExpectedCapacity(400.0, 40.0)
        few.reserve("t", "first", expected, 3_000, 0)
        repeat(2) { few.reserve("t", "r$it", expected, 3_000, 0) }
        expectThat(few.reserve("t", "first", expected, 3_000, 0)).isEqualTo(520L)
    }
}
