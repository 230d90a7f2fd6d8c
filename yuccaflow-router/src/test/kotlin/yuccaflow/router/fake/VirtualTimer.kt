package yuccaflow.router.fake

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.coroutines.test.TestDispatcher
import yuccaflow.base.TimerService
import kotlin.coroutines.CoroutineContext

/** A timer service on virtual time. */
class VirtualTimer(
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

/** Runs the coroutines of one router. While it is paused no coroutine of that router runs, but virtual time still advances. */
@OptIn(InternalCoroutinesApi::class)
class PausableDispatcher(
    private val base: TestDispatcher,
) : CoroutineDispatcher(),
    Delay by (base as Delay) {
    private val waiting = ArrayDeque<Pair<CoroutineContext, Runnable>>()
    private var isPaused = false

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (isPaused) waiting.addLast(context to block) else base.dispatch(context, block)
    }

    fun pause() {
        isPaused = true
    }

    fun resume() {
        isPaused = false
        while (waiting.isNotEmpty()) waiting.removeFirst().let { (context, block) -> base.dispatch(context, block) }
    }
}
