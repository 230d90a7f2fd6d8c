package yuccaflow.router.membership

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import yuccaflow.control.ControlRecord
import yuccaflow.control.batchOf
import yuccaflow.external.AppendResult
import java.util.concurrent.ConcurrentLinkedQueue

/**
 * Appends control records, and puts those that wait for a free append into one batch.
 *
 * The loss of a zone makes each surviving router append many records at once, and the log takes only several hundred appends a second
 * from all routers together. More than one append is in flight so that one lost answer does not hold up the cancellation of a suspicion.
 */
internal class BatchingAppender(
    private val send: suspend (ControlRecord) -> AppendResult,
) {
    private class Pending(
        val record: ControlRecord,
        val result: CompletableDeferred<AppendResult> = CompletableDeferred(),
    )

    private val waiting = ConcurrentLinkedQueue<Pending>()
    private val inFlight = Semaphore(APPENDS_IN_FLIGHT)

    /** Appends [record], alone or in a batch; the offset of the result is that of the batch. */
    suspend fun append(record: ControlRecord): AppendResult {
        if (record is ControlRecord.Checkpoint || record is ControlRecord.Batch) return send(record)
        val pending = Pending(record)
        waiting += pending
        inFlight.withPermit { sendGroup() }
        return pending.result.await()
    }

    private suspend fun sendGroup() {
        val group = generateSequence { waiting.poll() }.take(RECORDS_PER_BATCH).toList()
        if (group.isEmpty()) return
        var result: AppendResult = AppendResult.AppendUnknown("the append was cancelled")
        try {
            result = send(batchOf(group.map { it.record }))
        } finally {
            group.forEach { it.result.complete(result) }
        }
    }

    private companion object {
        const val APPENDS_IN_FLIGHT = 4

        /** Keeps a batch of the longest records within a few tens of kilobytes. */
        const val RECORDS_PER_BATCH = 128
    }
}
