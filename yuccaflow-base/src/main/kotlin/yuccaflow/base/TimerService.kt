package yuccaflow.base

import kotlinx.coroutines.flow.Flow

/** Monotonic time and timers. All components take the time from here, so that tests can replace it by virtual time. */
interface TimerService {
    /** Returns the monotonic time in milliseconds. It advances while the process is paused. */
    fun nowMs(): Long

    /**
     * Returns the time of day in milliseconds. It may jump, and it advances while the machine is suspended, when [nowMs] may stop. The
     * default is for timers whose [nowMs] never stops.
     */
    fun timeOfDayMs(): Long = nowMs()

    /** Returns a flow that emits the monotonic time every [periodMs]. Ticks that fall due while the collector is busy are skipped. */
    fun every(periodMs: Long): Flow<Long>

    suspend fun sleep(durationMs: Long)
}
