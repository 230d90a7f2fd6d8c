package yuccaflow.entry.fake

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.coroutines.test.TestDispatcher
import yuccaflow.base.TimerService
import kotlin.coroutines.CoroutineContext

/**
 * Simulates the event loop and the steady clock of a process that can be suspended. While it is suspended nothing runs; tasks that became
 * due run right after it is resumed. The steady clock of a suspended machine stops, that of a stopped process continues.
 */
internal class SuspendableProcess(
    private val scheduler: TestCoroutineScheduler,
) : TimerService {
    private val deferred = ArrayDeque<Pair<CoroutineContext, Runnable>>()
    private var clockOffsetMs = 0L

    /** Whether the process is suspended. */
    var isSuspended = false
        private set

    /** Event loop of the process. */
    val dispatcher: CoroutineDispatcher = SuspendableDispatcher(StandardTestDispatcher(scheduler))

    override fun timeOfDayMs(): Long = scheduler.currentTime

    override fun nowMs(): Long = scheduler.currentTime - clockOffsetMs

    override fun every(periodMs: Long): Flow<Long> = flow {
        while (true) {
            delay(periodMs)
            emit(nowMs())
        }
    }

    override suspend fun sleep(durationMs: Long) = delay(durationMs)

    /** Suspends the process. */
    fun suspend() {
        isSuspended = true
    }

    /** Resumes the process, whose steady clock was stopped for [stoppedClockMs]. */
    fun resume(stoppedClockMs: Long) {
        isSuspended = false
        clockOffsetMs += stoppedClockMs
        while (deferred.isNotEmpty()) deferred.removeFirst().let { (context, task) -> dispatcher.dispatch(context, task) }
    }

    @OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
    private inner class SuspendableDispatcher(
        private val inner: TestDispatcher,
    ) : CoroutineDispatcher(),
        Delay by inner {
        override fun dispatch(context: CoroutineContext, block: Runnable) {
            if (isSuspended) deferred.addLast(context to block) else inner.dispatch(context, block)
        }
    }
}
