package yuccaflow.base

import kotlinx.coroutines.flow.Flow

/** Monotonic time and timers. All components take the time from here, so that tests can replace it by virtual time. */
interface TimerService {
    /** Returns the monotonic time in milliseconds. It advances while the process is paused. */
    fun nowMs(): Long

    /** Returns the time of day in milliseconds. It also advances while the machine is suspended, in which [nowMs] may stop, and it may jump. */
    fun timeOfDayMs(): Long = nowMs()

    /** Returns a flow that emits the monotonic time every [periodMs]. Ticks that fall due while the collector is busy are skipped. */
    fun every(periodMs: Long): Flow<Long>

    suspend fun sleep(durationMs: Long)
}
