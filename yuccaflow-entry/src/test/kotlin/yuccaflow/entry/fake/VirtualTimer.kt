package yuccaflow.entry.fake

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.test.TestCoroutineScheduler
import yuccaflow.base.TimerService

/** Timer on the virtual time of a test scheduler. */
internal class VirtualTimer(
    private val scheduler: TestCoroutineScheduler,
) : TimerService {
    override fun nowMs(): Long = scheduler.currentTime

    override fun every(periodMs: Long): Flow<Long> = flow {
        while (true) {
            delay(periodMs)
            emit(nowMs())
        }
    }

    override suspend fun sleep(durationMs: Long) = delay(durationMs)
}

/** Timer whose time is set by the test. [sleep] advances it without suspending. */
internal class ManualTimer(
    var now: Long = 0,
) : TimerService {
    override fun nowMs(): Long = now

    override fun every(periodMs: Long): Flow<Long> = flow { }

    override suspend fun sleep(durationMs: Long) {
        now += durationMs
    }
}
