package yuccaflow.http

import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.ChannelFuture
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator
import io.netty.channel.EventLoopGroup
import io.netty.channel.IoEventLoop
import io.netty.channel.IoHandlerFactory
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.SingleThreadIoEventLoop
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import io.netty.util.concurrent.RejectedExecutionHandlers
import kotlinx.coroutines.suspendCancellableCoroutine
import java.util.concurrent.Executor
import kotlin.coroutines.resume

/** The event loops shared by all servers and clients of the process. Their threads are daemon threads. */
internal object EventLoops {
    // Event loops only transfer and parse bytes, unless handlers are configured to run on them, so a few threads are enough for a host.
    private const val MAX_THREADS = 4

    @Volatile
    private var threads = Runtime.getRuntime().availableProcessors().coerceIn(1, MAX_THREADS)

    val group: EventLoopGroup by lazy { newEventLoops(threads) }

    fun useOneThread(): EventLoopDispatchers {
        threads = 1
        return EventLoopDispatchers.of(group.next())
    }
}

/** Creates event loops that go back to the network often while many tasks are due, so that a close by a peer is seen before work for it. */
internal fun newEventLoops(threads: Int): EventLoopGroup =
    object : MultiThreadIoEventLoopGroup(threads, EventLoopThreadFactory(), NioIoHandler.newFactory()) {
        override fun newChild(executor: Executor, ioHandlerFactory: IoHandlerFactory, vararg args: Any): IoEventLoop =
            SingleThreadIoEventLoop(this, executor, ioHandlerFactory, Int.MAX_VALUE, RejectedExecutionHandlers.reject(), TASK_QUANTUM_MS)
    }

/** Without an event loop its connections are served by nobody, so its thread is essential. */
private class EventLoopThreadFactory : DefaultThreadFactory("yuccaflow-http", true) {
    override fun newThread(body: Runnable, name: String): Thread = super.newThread(EssentialThreads.guard(name, body), name)
}

/** Returns the sizes of the reads from a socket. They limit what an event loop reads from all sockets before it passes any of it on. */
internal fun receiveBuffers(): DefaultMaxMessagesRecvByteBufAllocator =
    AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES).apply { maxMessagesPerRead(MAX_READS_IN_A_ROW) }

private const val MIN_READ_BYTES = 64
private const val INITIAL_READ_BYTES = 2_048
private const val MAX_READ_BYTES = 16_384
private const val MAX_READS_IN_A_ROW = 16

/** Time for which an event loop runs tasks before it looks at the network again. Netty checks it after every 64 tasks. */
private const val TASK_QUANTUM_MS = 100L

/**
 * Makes all servers and clients of the process use a single event loop and returns its dispatchers. Coroutines on these dispatchers
 * receive network events without a thread switch, which saves most of the CPU time of a small request on a host with one core.
 *
 * Must be called before the first server or client is created.
 */
fun useSingleEventLoop(): EventLoopDispatchers = EventLoops.useOneThread()

/**
 * Ends the process with [status] when one of its event loops, or another of its [EssentialThreads], has ended, which happens only when a
 * thread fails. The connections of that loop would be served by nobody, so the process must be started again.
 */
fun haltOnEventLoopEnd(status: Int) {
    EssentialThreads.haltOnEnd(status)
    // A second way, for a loop that ends but whose thread does not.
    EventLoops.group.onLoopEnd {
        System.err.println("an event loop has ended; the process cannot serve any more")
        Runtime.getRuntime().halt(status)
    }
}

internal fun EventLoopGroup.onLoopEnd(action: () -> Unit) = forEach { loop -> loop.terminationFuture().addListener { action() } }

/** Suspends until the operation is complete and returns its failure, or null when it succeeded. */
internal suspend fun ChannelFuture.awaitFailure(): Throwable? =
    suspendCancellableCoroutine { waiter -> addListener { waiter.resume(it.cause()) } }
