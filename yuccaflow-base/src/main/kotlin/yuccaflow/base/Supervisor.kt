package yuccaflow.base

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.tinylog.Logger

/** A long-running task of the process. [run] is expected to return only when it is cancelled. */
class SupervisedTask(
    val name: String,
    val run: suspend () -> Unit,
)

/** How often a failed task is restarted, and after which backoff. */
data class RestartPolicy(
    val initialBackoffMs: Long = 100,
    val maxBackoffMs: Long = 3_200,
    /** Failures of one task within [periodMs] after which it is still restarted. One more ends the supervisor: restarts do not help. */
    val maxFailuresPerPeriod: Int = 8,
    val periodMs: Long = 60_000,
)

/** Runs tasks concurrently and restarts a task that fails, after an exponential backoff. */
class Supervisor(
    private val timer: TimerService,
    private val policy: RestartPolicy = RestartPolicy(),
) {
    /** Runs [tasks] until cancelled, or until one fails too often. Then cancels the others and returns the name of that task. */
    suspend fun run(tasks: List<SupervisedTask>): String = coroutineScope {
        val failedTask = CompletableDeferred<String>()
        val jobs = tasks.map { task ->
            launch {
                keepRunning(task)
                failedTask.complete(task.name)
            }
        }
        failedTask.await().also { jobs.forEach { it.cancel() } }
    }

    private suspend fun keepRunning(task: SupervisedTask) {
        val failuresMs = ArrayDeque<Long>()
        while (true) {
            runOnce(task)
            val nowMs = timer.nowMs()
            failuresMs.addLast(nowMs)
            while (nowMs - failuresMs.first() > policy.periodMs) failuresMs.removeFirst()
            if (failuresMs.size > policy.maxFailuresPerPeriod) {
                Logger.error("task {} failed {} times within {} ms", task.name, failuresMs.size, policy.periodMs)
                return
            }
            val doublings = (failuresMs.size - 1).coerceAtMost(MAX_DOUBLINGS)
            timer.sleep((policy.initialBackoffMs shl doublings).coerceAtMost(policy.maxBackoffMs))
        }
    }

    private suspend fun runOnce(task: SupervisedTask) {
        try {
            task.run()
            Logger.error("task {} ended unexpectedly", task.name)
        } catch (cancelled: CancellationException) {
            // A cancellation from within the task is a failure of the task. One from outside cancels the supervisor as well.
            currentCoroutineContext().ensureActive()
            Logger.error(cancelled, "task {} was cancelled from within", task.name)
        } catch (failure: Exception) {
            Logger.error(failure, "task {} failed", task.name)
        }
    }

    private companion object {
        const val MAX_DOUBLINGS = 16
    }
}
