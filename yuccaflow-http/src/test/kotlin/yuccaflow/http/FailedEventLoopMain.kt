package yuccaflow.http

import io.netty.util.concurrent.GlobalEventExecutor
import io.netty.util.internal.logging.InternalLogger
import io.netty.util.internal.logging.InternalLoggerFactory
import sun.misc.Unsafe
import java.lang.reflect.Proxy
import java.util.concurrent.ThreadFactory

/** Status with which [main] ends when the event loop has ended. */
internal const val LOOP_END_STATUS = 7

private const val LIFE_MS = 20_000L

/**
 * A process with one event loop, in which classes cannot be loaded any more, as when the program file was replaced. A task on the event loop
 * fails, and so does each report of that.
 */
fun main() {
    val loop = EventLoops.group.next()
    haltOnEventLoopEnd(LOOP_END_STATUS)
    loop.submit { }.sync()
    InternalLoggerFactory.setDefaultFactory(FailingLoggerFactory)
    failStaticLoggers()
    failListenersOfEnd()
    loop.execute { throw LinkageError("the class is missing") }
    Thread.sleep(LIFE_MS)
}

private object FailingLoggerFactory : InternalLoggerFactory() {
    override fun newInstance(name: String): InternalLogger = failingLogger()
}

private fun failingLogger(): InternalLogger =
    Proxy.newProxyInstance(InternalLogger::class.java.classLoader, arrayOf(InternalLogger::class.java)) { _, method, _ ->
        if (method.name.startsWith("is")) true else throw NoClassDefFoundError("org/tinylog/Supplier")
    } as InternalLogger

private val UNSAFE = Unsafe::class.java
    .getDeclaredField("theUnsafe")
    .apply { isAccessible = true }
    .get(null) as Unsafe

/** Classes that are loaded keep the logger that they have, so it is replaced where failed tasks are logged. */
private fun failStaticLoggers() {
    for (name in listOf("io.netty.util.concurrent.AbstractEventExecutor", "io.netty.util.concurrent.SingleThreadEventExecutor")) {
        val field = Class.forName(name).getDeclaredField("logger")
        UNSAFE.putObject(UNSAFE.staticFieldBase(field), UNSAFE.staticFieldOffset(field), failingLogger())
    }
}

/** The listeners of an event loop's end run on this executor, which cannot start its thread when its classes cannot be loaded. */
private fun failListenersOfEnd() {
    val field = GlobalEventExecutor::class.java.getDeclaredField("threadFactory")
    val failing = ThreadFactory { throw NoClassDefFoundError("io/netty/util/concurrent/FastThreadLocalThread") }
    UNSAFE.putObject(GlobalEventExecutor.INSTANCE, UNSAFE.objectFieldOffset(field), failing)
}
