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
 * [store], with the waits for the routers' own records moved to the planner, which reads all of them anyway: each call to the store costs
 * money. The store itself is read while no planner answers, and by reads that do not wait.
 *
 * @property planner the relay address of the planner, or null when this router itself plans or none is known.
 */
internal class PlannerBackedStore(
    private val store: KeyedStore,
    private val planner: () -> SocketAddress?,
    private val client: RelayClient,
    private val timer: TimerService,
) : KeyedStore by store {
    private var storeUntilMs = Long.MIN_VALUE
    private var leaving = CompletableDeferred<Unit>()

    /** Ends a wait at the planner and reads the store for a while, because this router knows of news that the planner may not have. */
    fun readStore() {
        storeUntilMs = timer.nowMs() + STORE_FOR_MS
        leaving.complete(Unit)
        leaving = CompletableDeferred()
    }

    override suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long): StreamReadResult {
        val address = planner().takeIf { stream == KeyedStream.ROUTERS && waitMs > 0 && timer.nowMs() >= storeUntilMs }
        return address?.let { readFrom(it, fromOffset, minOf(waitMs, LONGEST_WAIT_MS)) } ?: store.read(stream, fromOffset, waitMs)
    }

    private suspend fun readFrom(address: SocketAddress, fromOffset: Long, waitMs: Long): StreamReadResult? = coroutineScope {
        val call = async { client.send(address, RelayCall.RouterRecords(fromOffset, waitMs), waitMs + CALL_MS) }
        val answer = select {
            call.onAwait { it }
            leaving.onAwait { null }
        }
        call.cancel()
        if (answer is RelayAnswer.Records) return@coroutineScope StreamReadResult.Read(answer.records.toRecords(), answer.endOffset)
        if (answer != null) storeUntilMs = timer.nowMs() + STORE_FOR_MS
        null
    }

    private companion object {
        /** A planner that falls silent keeps this router from the store for this long and [CALL_MS]. */
        const val LONGEST_WAIT_MS = 3_000L
        const val CALL_MS = 500L

        /** How long the store is read after the planner did not answer. */
        const val STORE_FOR_MS = 2_000L
    }
}
