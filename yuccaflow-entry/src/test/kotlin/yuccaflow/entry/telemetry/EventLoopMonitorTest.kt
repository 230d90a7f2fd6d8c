package yuccaflow.entry.telemetry

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.fake.SuspendableProcess

@OptIn(ExperimentalCoroutinesApi::class)
@DisplayName("An event loop monitor")
class EventLoopMonitorTest {
    /** Guards against requests that count as just arrived, although the event loop has been busy since long before. */
    @Test
    fun `tells while the loop is late and in the measurement after it for how long requests may have waited`() = runTest {
        val process = SuspendableProcess(testScheduler)
        val monitor = EventLoopMonitor(process, RecordingEventLog())
        backgroundScope.launch(process.dispatcher) { monitor.run() }
        testScheduler.advanceTimeBy(1_010)
        expectThat(monitor.readDelayMs).isEqualTo(0)
        process.suspend()
        testScheduler.advanceTimeBy(1_000)
        expectThat(monitor.readDelayMs).isGreaterThan(700)
        process.resume(stoppedClockMs = 0)
        testScheduler.advanceTimeBy(1)
        expectThat(monitor.readDelayMs).isGreaterThan(700)
        testScheduler.advanceTimeBy(300)
        expectThat(monitor.readDelayMs).isEqualTo(0)
    }

    /** Guards against requests that are given up early on hosts that run a tenth of a second at a time, where short delays are usual. */
    @Test
    fun `counts no wait while the loop is late by a tenth of a second`() = runTest {
        val process = SuspendableProcess(testScheduler)
        val monitor = EventLoopMonitor(process, RecordingEventLog())
        backgroundScope.launch(process.dispatcher) { monitor.run() }
        testScheduler.advanceTimeBy(1_010)
        process.suspend()
        testScheduler.advanceTimeBy(350)
        process.resume(stoppedClockMs = 0)
        testScheduler.advanceTimeBy(1)
        expectThat(monitor.delayMs).isGreaterThan(90)
        expectThat(monitor.readDelayMs).isEqualTo(0)
    }
}
