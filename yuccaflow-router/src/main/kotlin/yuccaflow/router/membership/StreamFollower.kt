package yuccaflow.router.membership

import io.micrometer.core.instrument.MeterRegistry
import yuccaflow.base.TimerService
import yuccaflow.external.LogRecord
import yuccaflow.external.ReadResult
import yuccaflow.router.telemetry.MetricNames
import java.util.concurrent.atomic.AtomicLong

/** Follows one stream with long polls. */
internal class StreamFollower(
    private val stream: String,
    private val access: FailoverLogClient,
    private val timer: TimerService,
    registry: MeterRegistry,
    private val position: () -> Long,
    private val apply: (List<LogRecord>) -> Unit,
    private val onExpired: suspend () -> Unit,
) {
    private val behind = AtomicLong()

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
            behind,
        )
    }

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            val beganMs = timer.nowMs()
            when (val result = access.read(stream, position() + 1, PAGE_RECORDS, WAIT_MS)) {
                is ReadResult.Read -> {
                    apply(result.records)
                    behind.set((result.endOffset - 1 - position()).coerceAtLeast(0))
                    val waited = timer.nowMs() - beganMs >= WAIT_MS
                    if (result.records.isEmpty() && !waited) timer.sleep(EMPTY_PAUSE_MS)
                }
                is ReadResult.Expired -> {
                    onExpired()
                    timer.sleep(FAILED_PAUSE_MS)
                }
                is ReadResult.ReadFailed -> timer.sleep(FAILED_PAUSE_MS)
            }
        }
    }

    private companion object {
        const val PAGE_RECORDS = 500
        const val WAIT_MS = 1_000L
        const val FAILED_PAUSE_MS = 100L

        /** Bounds the reads against a log service that answers long polls at once. */
        const val EMPTY_PAUSE_MS = 10L
    }
}
