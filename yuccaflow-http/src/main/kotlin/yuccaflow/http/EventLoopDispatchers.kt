package yuccaflow.http

import io.netty.channel.EventLoop
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.asCoroutineDispatcher
import kotlin.coroutines.CoroutineContext

/**
 * The dispatchers of one event loop. State that is used only by coroutines on them is confined to the thread of the event loop.
 *
 * @property queued dispatches each step of a coroutine as a task, behind all tasks that are due.
 * @property immediate goes on at once if the coroutine is resumed on the event loop, such as by bytes that arrive, and dispatches a task
 * otherwise. For few coroutines that must not wait behind the other work of the event loop: their steps run within the call that resumes
 * them, so a caller must have its own state complete before it.
 */
class EventLoopDispatchers private constructor(
    val queued: CoroutineDispatcher,
    val immediate: CoroutineDispatcher,
) {
    internal companion object {
        fun of(eventLoop: EventLoop): EventLoopDispatchers {
            val queued = eventLoop.asCoroutineDispatcher()
            return EventLoopDispatchers(queued, ImmediateDispatcher(eventLoop, queued))
        }
    }
}

/** Needs no dispatch on the thread of [eventLoop]. Coroutines that resume each other there run one after the other, not nested. */
@OptIn(InternalCoroutinesApi::class)
private class ImmediateDispatcher(
    private val eventLoop: EventLoop,
    private val queued: CoroutineDispatcher,
) : CoroutineDispatcher(),
    Delay by queued as Delay {
    override fun isDispatchNeeded(context: CoroutineContext): Boolean = !eventLoop.inEventLoop()

    override fun dispatch(context: CoroutineContext, block: Runnable) = queued.dispatch(context, block)
}
