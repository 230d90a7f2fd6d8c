package yuccaflow.router.membership

import io.micrometer.core.instrument.MeterRegistry
import yuccaflow.base.TimerService
import yuccaflow.external.LogRecord
import yuccaflow.external.ReadResult
import yuccaflow.router.telemetry.MetricNames
import java.util.concurrent.atomic.AtomicLong

/** Follows one stream of the log by long polling, and passes its records to [apply]. */
internal class StreamFollower(
    private val stream: String,
    private val logClient: FailoverLogClient,
    private val timer: TimerService,
    registry: MeterRegistry,
    private val position: () -> Long,
    private val apply: (List<LogRecord>) -> Unit,
    private val onExpired: suspend () -> Unit,
) {
    private val lag = AtomicLong()

    init {
        registry.gauge(
            MetricNames.LOG_POSITION,
            listOf(
                io.micrometer.core.instrument.Tag
                    .of("stream", stream),
            ),
            this,
        ) {
            it.position().toDouble()
        }
        registry.gauge(
            MetricNames.LOG_LAG,
            listOf(
                io.micrometer.core.instrument.Tag
                    .of("stream", stream),
            ),
            lag,
        )
    }

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            val beganMs = timer.nowMs()
            when (val result = logClient.read(stream, position() + 1, PAGE_RECORDS, POLL_WAIT_MS)) {
                is ReadResult.Read -> {
                    apply(result.records)
                    lag.set((result.endOffset - 1 - position()).coerceAtLeast(0))
                    val waited = timer.nowMs() - beganMs >= POLL_WAIT_MS
                    if (result.records.isEmpty() && !waited) timer.sleep(EMPTY_READ_DELAY_MS)
                }
                is ReadResult.Expired -> {
                    onExpired()
                    timer.sleep(RETRY_DELAY_MS)
                }
                is ReadResult.ReadFailed -> timer.sleep(RETRY_DELAY_MS)
            }
        }
    }

    private companion object {
        const val PAGE_RECORDS = 500
        const val POLL_WAIT_MS = 1_000L
        const val RETRY_DELAY_MS = 100L

        /** Limits the read rate if the log service answers long polls immediately. */
        const val EMPTY_READ_DELAY_MS = 10L
    }
}
