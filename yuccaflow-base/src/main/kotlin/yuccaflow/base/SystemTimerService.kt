package yuccaflow.base

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import java.util.concurrent.TimeUnit

/** Creates a timer service that uses the monotonic clock of the system. */
fun systemTimerService(): TimerService = SystemTimerService()

internal class SystemTimerService : TimerService {
    override fun nowMs(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    override fun timeOfDayMs(): Long = System.currentTimeMillis()

    override fun every(periodMs: Long): Flow<Long> {
        require(periodMs > 0) { "expected a period above 0 ms, found $periodMs" }
        return flow {
            var next = nowMs() + periodMs
            while (true) {
                delay(next - nowMs())
                val now = nowMs()
                emit(now)
                next = maxOf(next + periodMs, nowMs())
            }
        }
    }

    override suspend fun sleep(durationMs: Long) = delay(durationMs)
}
