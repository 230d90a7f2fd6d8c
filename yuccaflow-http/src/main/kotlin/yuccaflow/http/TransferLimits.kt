package yuccaflow.http

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.TimeUnit

/**
 * Time limits of a response that may take long to arrive because it is large.
 *
 * @property beginMs time until the first bytes of the body.
 * @property stallMs longest time between two parts of the body.
 * @property totalMs time for the whole response after its first bytes, so that one which trickles in takes no connection for ever.
 */
data class TransferLimits(
    val beginMs: Long,
    val stallMs: Long,
    val totalMs: Long,
)

/** Receives the parts of a response's body while they arrive. */
fun interface BodyPartListener {
    /** Called with each part of the body of a response with [status]. */
    fun onPart(status: Int, bytes: ByteArray)

    companion object {
        /** Ignores all parts. */
        val NONE = BodyPartListener { _, _ -> }
    }
}

/** Tracks how far a response with [limits] has arrived. Passes the parts of its body on to [parts]. */
internal class TransferProgress(
    private val limits: TransferLimits,
    private val parts: BodyPartListener,
    private val nowMs: () -> Long = { TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) },
) {
    private val begun = CompletableDeferred<Long>()

    @Volatile
    private var lastPartAtMs = 0L

    fun recordPart(status: Int, bytes: ByteArray) {
        lastPartAtMs = nowMs()
        begun.complete(lastPartAtMs)
        parts.onPart(status, bytes)
    }

    /** Returns the result of [transfer], or null if it exceeds one of the limits and was cancelled. */
    suspend fun <T> withinLimits(transfer: suspend () -> T): T? = coroutineScope {
        val running = async { transfer() }
        withTimeoutOrNull(limits.beginMs) {
            select {
                running.onJoin { }
                begun.onJoin { }
            }
        }
        while (!running.isCompleted) {
            val remainingMs = if (begun.isCompleted) endsAtMs(begun.await()) - nowMs() else 0
            if (remainingMs <= 0) {
                running.cancel()
                return@coroutineScope null
            }
            withTimeoutOrNull(remainingMs) { running.join() }
        }
        running.await()
    }

    private fun endsAtMs(begunAtMs: Long): Long = minOf(lastPartAtMs + limits.stallMs, begunAtMs + limits.totalMs)
}
