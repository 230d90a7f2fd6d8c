package yuccaflow.http

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull

@OptIn(ExperimentalCoroutinesApi::class)
@DisplayName("A response that is large for its link")
class TransferLimitsTest {
    private val limits = TransferLimits(beginMs = 1_500, stallMs = 500, totalMs = 4_000)

    /** Returns the number of parts that arrived [intervalMs] apart, the first after [firstMs], or null if the transfer was given up. */
    private suspend fun TestScope.receive(parts: Int, intervalMs: Long, firstMs: Long = intervalMs): Int? {
        var received = 0
        val progress = TransferProgress(limits, { _, _ -> received++ }) { testScheduler.currentTime }
        return progress.withinLimits {
            repeat(parts) {
                delay(if (it == 0) firstMs else intervalMs)
                progress.recordPart(status = 200, ByteArray(1))
            }
            received
        }
    }

    /** Guards against a configuration that is never read because it takes longer to arrive than a call may take. */
    @Test
    fun `is received for as long as parts of it arrive`() = runTest {
        expectThat(receive(parts = 9, intervalMs = 400)).isEqualTo(9)
    }

    /** Guards against a silent connection that is waited for as if its answer were only large. */
    @Test
    fun `is given up when no part arrives for too long`() = runTest {
        expectThat(receive(parts = 2, intervalMs = 600, firstMs = 100)).isNull()
        expectThat(testScheduler.currentTime).isEqualTo(600)
    }

    @Test
    fun `is given up when it does not begin`() = runTest {
        expectThat(receive(parts = 1, intervalMs = 1_600)).isNull()
        expectThat(testScheduler.currentTime).isEqualTo(limits.beginMs)
    }

    /** Guards against a server that keeps a connection and its memory with a byte now and then. */
    @Test
    fun `is given up when it takes too long altogether`() = runTest {
        expectThat(receive(parts = 100, intervalMs = 400)).isNull()
        expectThat(testScheduler.currentTime).isLessThanOrEqualTo(400 + limits.totalMs)
    }
}
