package yuccaflow.router

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.test.TestCoroutineScheduler
import yuccaflow.base.TimerService

/** A timer service on the virtual time of a test. */
internal class VirtualTimer(
    private val scheduler: TestCoroutineScheduler,
) : TimerService {
    /** Added to the virtual time to simulate a pause of the process. */
    var skippedMs: Long = 0

    override fun nowMs(): Long = scheduler.currentTime + skippedMs

    override fun every(periodMs: Long): Flow<Long> =
        flow {
            while (true) {
                delay(periodMs)
                emit(nowMs())
            }
        }

    override suspend fun sleep(durationMs: Long) = delay(durationMs)
}
