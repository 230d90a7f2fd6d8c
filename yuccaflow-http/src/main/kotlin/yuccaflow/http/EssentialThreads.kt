package yuccaflow.http

import java.io.FileDescriptor
import java.io.FileOutputStream

/**
 * The threads without which the process cannot serve. If one of them ends, the process ends, so that it is started again and does not keep
 * its ports while nothing behind them works.
 *
 * What the end of a thread needs is made before: classes cannot be loaded then if the program file was replaced, nor objects if the heap
 * is full, and the logging library may be what has failed.
 */
object EssentialThreads {
    private val standardError = FileOutputStream(FileDescriptor.err)

    @Volatile
    private var haltStatus: Int? = null

    private val linkageMessage = "a class cannot be loaded; the process cannot serve any more\n".toByteArray()

    /**
     * Makes the process end with [status] when an essential thread ends, and when nothing has caught that a class could not be loaded or
     * linked: the same would happen in each request that needs it. Until then the end of a thread changes nothing, as in tests.
     */
    fun haltOnEnd(status: Int) {
        haltStatus = status
        Thread.setDefaultUncaughtExceptionHandler { thread, failure ->
            if (failure is LinkageError) {
                report(failure)
                end(linkageMessage)
            }
            System.err.print("Exception in thread ${thread.name}: ")
            failure.printStackTrace()
        }
    }

    /** Returns [body] as the body of an essential thread with [name]. */
    fun guard(name: String, body: Runnable): Runnable = GuardedBody(name, body)

    private class GuardedBody(
        name: String,
        private val body: Runnable,
    ) : Runnable {
        private val endMessage = "the thread $name has ended; the process cannot serve any more\n".toByteArray()

        override fun run() {
            try {
                body.run()
            } catch (failure: Throwable) {
                report(failure)
            } finally {
                end(endMessage)
            }
        }
    }

    private fun end(message: ByteArray) {
        val status = haltStatus ?: return
        try {
            standardError.write(message)
        } finally {
            Runtime.getRuntime().halt(status)
        }
    }

    /** Writes the failure without the logging library. A failure to do so must not hide the end of the thread. */
    private fun report(failure: Throwable) {
        try {
            standardError.write("$failure\n".toByteArray())
        } catch (_: Throwable) {
            return
        }
    }
}
