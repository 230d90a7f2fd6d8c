package yuccaflow.router.membership

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import yuccaflow.control.ControlRecord
import yuccaflow.control.batchOf
import yuccaflow.external.AppendResult
import java.util.concurrent.ConcurrentLinkedQueue

/**
 * Appends control records, and combines those that wait for a free append slot into one batch.
 *
 * When a zone is lost, each remaining router appends many records at once, while the log accepts only several hundred appends per second
 * from all routers together. Several appends are in flight so that one lost answer does not delay the cancellation of a suspicion.
 */
internal class BatchingAppender(
    private val send: suspend (ControlRecord) -> AppendResult,
) {
    private class Pending(
        val record: ControlRecord,
        val result: CompletableDeferred<AppendResult> = CompletableDeferred(),
    )

    private val waiting = ConcurrentLinkedQueue<Pending>()
    private val inFlight = Semaphore(MAX_APPENDS_IN_FLIGHT)

    /** Appends [record], alone or as part of a batch. The offset in the result is that of the batch. */
    suspend fun append(record: ControlRecord): AppendResult {
        if (record is ControlRecord.Checkpoint || record is ControlRecord.Batch) return send(record)
        val pending = Pending(record)
        waiting += pending
        inFlight.withPermit { sendBatch() }
        return pending.result.await()
    }

    private suspend fun sendBatch() {
        val batch = generateSequence { waiting.poll() }.take(MAX_BATCH_RECORDS).toList()
        if (batch.isEmpty()) return
        var result: AppendResult = AppendResult.AppendUnknown("the append was cancelled")
        try {
            result = send(batchOf(batch.map { it.record }))
        } finally {
            batch.forEach { it.result.complete(result) }
        }
    }

    private companion object {
        const val MAX_APPENDS_IN_FLIGHT = 4

        /** Keeps even a batch of the largest records within a few tens of kilobytes. */
        const val MAX_BATCH_RECORDS = 128
    }
}
