package yuccaflow.entry.peer

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import yuccaflow.base.TimerService
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.StreamReadResult
import yuccaflow.http.SocketAddress

/**
 * A [KeyedStore] that sends long-polling reads of the routers' stream to the planner instead of [store], because each call to the store
 * is charged and the planner reads all of these records anyway. Everything else, and all reads while the planner does not answer, go to
 * [store].
 *
 * @property planner returns the relay address of the planner, or null if this router is the planner or none is known.
 */
internal class PlannerBackedStore(
    private val store: KeyedStore,
    private val planner: () -> SocketAddress?,
    private val client: RelayClient,
    private val timer: TimerService,
) : KeyedStore by store {
    /** Since when no planner has answered, or null while the planner answers. */
    var plannerSilentSinceMs: Long? = timer.nowMs()
        private set

    private var bypassUntilMs = Long.MIN_VALUE
    private var bypassed = CompletableDeferred<Unit>()

    /** Ends any read at the planner and reads the store for [BYPASS_MS], because the store has records that the planner may not have. */
    fun bypassPlanner() {
        bypassUntilMs = timer.nowMs() + BYPASS_MS
        // The read may go on within the call that completes the signal, and must then find the next one.
        val current = bypassed
        bypassed = CompletableDeferred()
        current.complete(Unit)
    }

    override suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long, onArriving: (Long) -> Unit): StreamReadResult {
        if (stream == KeyedStream.ROUTERS && planner() == null) recordSilence()
        val address = planner().takeIf { stream == KeyedStream.ROUTERS && waitMs > 0 && timer.nowMs() >= bypassUntilMs }
        return address?.let { readFromPlanner(it, fromOffset, minOf(waitMs, MAX_WAIT_MS)) }
            ?: store.read(stream, fromOffset, waitMs, onArriving)
    }

    private suspend fun readFromPlanner(address: SocketAddress, fromOffset: Long, waitMs: Long): StreamReadResult? = coroutineScope {
        val call = async { client.send(address, RelayCall.RouterRecords(fromOffset, waitMs), waitMs + CALL_TIMEOUT_MS) }
        val answer = select {
            call.onAwait { it }
            bypassed.onAwait { null }
        }
        call.cancel()
        if (answer is RelayAnswer.Records) {
            plannerSilentSinceMs = null
            return@coroutineScope StreamReadResult.Read(answer.records.toRecords(), answer.endOffset, answer.era)
        }
        if (answer != null) {
            bypassUntilMs = timer.nowMs() + BYPASS_MS
            recordSilence()
        }
        null
    }

    private fun recordSilence() {
        plannerSilentSinceMs = plannerSilentSinceMs ?: timer.nowMs()
    }

    private companion object {
        /** Longest wait at the planner. If it stops answering, this router reads the store only after this time and [CALL_TIMEOUT_MS]. */
        const val MAX_WAIT_MS = 3_000L

        /** Time for a call in addition to its wait. */
        const val CALL_TIMEOUT_MS = 500L

        /** How long the store is read instead of the planner after a bypass or a failed call. */
        const val BYPASS_MS = 2_000L
    }
}
