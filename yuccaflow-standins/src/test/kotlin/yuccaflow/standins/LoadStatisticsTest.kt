package yuccaflow.standins

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class LoadStatisticsTest {
    private val results = LoadStatistics("c")
    private val request = GeneratedRequest("s", "POST", "/s/1", "s/1")

    /** Latency must include the time for which a request waited to be sent. */
    @Test
    fun `latency is measured from the intended send time`() {
        results.record(request, 1, Outcome.ANSWERED, 1_000_000, 1_030_000)
        expectThat(
            results
                .totals()
                .getValue("all")
                .p50Ms
                .toInt(),
        ).isEqualTo(30)
    }

    /** A refusal must not end an outage, and the outage starts at the intended send time of its first failed request. */
    @Test
    fun `an outage lasts from the first refused request to the next answer`() {
        results.record(request, 1, Outcome.NOT_RUN, 1_000_000, 1_001_000)
        results.record(request, 2, Outcome.UNKNOWN, 1_500_000, 1_900_000)
        results.record(request, 3, Outcome.ANSWERED, 2_000_000, 2_005_000)
        expectThat(results.outages().getValue("s/1").longestMs).isEqualTo(1_005)
    }

    /** A key that is not served again must be part of the report. */
    @Test
    fun `an ongoing outage counts up to the latest result`() {
        results.record(request, 1, Outcome.NOT_RUN, 1_000_000, 1_001_000)
        results.record(request.copy(key = "s/2"), 2, Outcome.ANSWERED, 4_000_000, 4_005_000)
        expectThat(results.outages().getValue("s/1").longestMs).isEqualTo(3_005)
    }

    @Test
    fun `an answer in time is no outage`() {
        results.record(request, 1, Outcome.ANSWERED, 1_000_000, 1_005_000)
        expectThat(results.outages()["s/1"]).isNull()
    }
}
