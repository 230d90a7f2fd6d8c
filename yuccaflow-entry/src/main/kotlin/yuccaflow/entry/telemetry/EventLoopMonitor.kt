package yuccaflow.entry.telemetry

import yuccaflow.base.TimerService

/**
 * Measures how late tasks run on the event loop. Requests wait at least that long before they are read, which no other log line shows.
 */
internal class EventLoopMonitor(
    private val timer: TimerService,
    private val events: EventLog,
) {
    /** Delay of the latest measurement. */
    var delayMs = 0L
        private set

    private var dueAtMs = Long.MAX_VALUE

    /**
     * For how long input that is read now may have waited: the delay of the latest measurement, or of the one that is overdue. Usual delays
     * count as none, because they would take a part of each request's time.
     */
    val readDelayMs: Long get() = maxOf(delayMs, timer.nowMs() - dueAtMs).takeIf { it >= UNUSUAL_DELAY_MS } ?: 0

    /** Measures until cancelled, and logs long delays. */
    suspend fun run() {
        while (true) {
            dueAtMs = timer.nowMs() + INTERVAL_MS
            timer.sleep(INTERVAL_MS)
            delayMs = (timer.nowMs() - dueAtMs).coerceAtLeast(0)
            if (delayMs >= UNUSUAL_DELAY_MS) events.log(Events.EVENT_LOOP_DELAYED) { put("delay_ms", delayMs) }
        }
    }

    private companion object {
        const val INTERVAL_MS = 250L

        /** Shorter delays are usual on a host with a small share of a core. */
        const val UNUSUAL_DELAY_MS = 250L
    }
}
