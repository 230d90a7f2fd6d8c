package yuccaflow.standins

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class CallerResultsTest {
    private val results = CallerResults("c")
    private val request = DrawnRequest("s", "POST", "/s/1", "s/1")

    /** Guards against latencies that leave out the time a request waited to be sent. */
    @Test
    fun `latency runs from the intended send time`() {
        results.record(request, 1, Outcome.ANSWERED, 1_000_000, 1_030_000)
        expectThat(
            results
                .totals()
                .getValue("all")
                .p50Ms
                .toInt(),
        ).isEqualTo(30)
    }

    /** Guards against unavailable time that ends with a refusal or starts at the first answer. */
    @Test
    fun `unavailable time runs from the first refused request to the next answer`() {
        results.record(request, 1, Outcome.NOT_RUN, 1_000_000, 1_001_000)
        results.record(request, 2, Outcome.UNKNOWN, 1_500_000, 1_900_000)
        results.record(request, 3, Outcome.ANSWERED, 2_000_000, 2_005_000)
        expectThat(results.outages().getValue("s/1").longestMs).isEqualTo(1_005)
    }

    /** Guards against keys that never come back and are then missing from the report. */
    @Test
    fun `unavailable time that has not ended counts up to the last result`() {
        results.record(request, 1, Outcome.NOT_RUN, 1_000_000, 1_001_000)
        results.record(request.copy(key = "s/2"), 2, Outcome.ANSWERED, 4_000_000, 4_005_000)
        expectThat(results.outages().getValue("s/1").longestMs).isEqualTo(3_005)
    }

    /** Guards against outages counted for keys that are served in time. */
    @Test
    fun `an answer in time is no outage`() {
        results.record(request, 1, Outcome.ANSWERED, 1_000_000, 1_005_000)
        expectThat(results.outages()["s/1"]).isNull()
    }
}
