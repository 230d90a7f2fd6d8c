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
 * The event loop and the steady clock of one process, which a test can suspend: nothing runs meanwhile, and what became due runs at once
 * afterwards. A suspended machine's steady clock stands still, that of a stopped process goes on.
 */
internal class SuspendableProcess(
    private val scheduler: TestCoroutineScheduler,
) : TimerService {
    private val waiting = ArrayDeque<Pair<CoroutineContext, Runnable>>()
    private var stoodStillMs = 0L

    /** Whether the process does nothing at present. */
    var isSuspended = false
        private set

    /** Runs what the process does. */
    val dispatcher: CoroutineDispatcher = Loop(StandardTestDispatcher(scheduler))

    /** The time of day, which goes on in any case. */
    fun timeOfDayMs(): Long = scheduler.currentTime

    override fun nowMs(): Long = scheduler.currentTime - stoodStillMs

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

    /** Lets the process go on. The steady clock falls back by [standstillMs]. */
    fun resume(standstillMs: Long) {
        isSuspended = false
        stoodStillMs += standstillMs
        while (waiting.isNotEmpty()) waiting.removeFirst().let { (context, task) -> dispatcher.dispatch(context, task) }
    }

    @OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
    private inner class Loop(
        private val inner: TestDispatcher,
    ) : CoroutineDispatcher(),
        Delay by inner {
        override fun dispatch(context: CoroutineContext, block: Runnable) {
            if (isSuspended) waiting.addLast(context to block) else inner.dispatch(context, block)
        }
    }
}
