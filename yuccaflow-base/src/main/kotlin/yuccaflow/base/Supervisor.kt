package yuccaflow.base

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.tinylog.Logger

/** A part of the daemon that runs until cancelled. */
class SupervisedTask(
    val name: String,
    val run: suspend () -> Unit,
)

/** How often parts may fail. */
data class RestartLimits(
    val firstBackoffMs: Long = 100,
    val longestBackoffMs: Long = 3_200,
    /** One part may fail this often within [periodMs]; one failure more ends the daemon, since restarting it does not help. */
    val failuresPerPeriod: Int = 8,
    val periodMs: Long = 60_000,
)

/** Runs parts side by side and restarts one that fails, after a backoff that doubles while it goes on failing. */
class Supervisor(
    private val timer: TimerService,
    private val limits: RestartLimits = RestartLimits(),
) {
    /** Runs until cancelled, or returns the name of the first part that failed too often. */
    suspend fun run(parts: List<SupervisedTask>): String = coroutineScope {
        val hopeless = CompletableDeferred<String>()
        val jobs = parts.map { part ->
            launch {
                keepRunning(part)
                hopeless.complete(part.name)
            }
        }
        hopeless.await().also { jobs.forEach { it.cancel() } }
    }

    private suspend fun keepRunning(part: SupervisedTask) {
        val failuresMs = ArrayDeque<Long>()
        while (true) {
            runOnce(part)
            val nowMs = timer.nowMs()
            failuresMs.addLast(nowMs)
            while (nowMs - failuresMs.first() > limits.periodMs) failuresMs.removeFirst()
            if (failuresMs.size > limits.failuresPerPeriod) {
                Logger.error("part {} failed {} times within {} ms", part.name, failuresMs.size, limits.periodMs)
                return
            }
            val doublings = (failuresMs.size - 1).coerceAtMost(MAX_DOUBLINGS)
            timer.sleep((limits.firstBackoffMs shl doublings).coerceAtMost(limits.longestBackoffMs))
        }
    }

    private suspend fun runOnce(part: SupervisedTask) {
        try {
            part.run()
            Logger.error("part {} ended without being asked to", part.name)
        } catch (cancelled: CancellationException) {
            // A cancellation from within the part is a failure of the part; one from outside ends the supervisor.
            currentCoroutineContext().ensureActive()
            Logger.error(cancelled, "part {} was cancelled from within", part.name)
        } catch (failure: Exception) {
            Logger.error(failure, "part {} failed", part.name)
        }
    }

    private companion object {
        const val MAX_DOUBLINGS = 16
    }
}
