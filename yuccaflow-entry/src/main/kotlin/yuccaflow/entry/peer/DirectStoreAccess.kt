package yuccaflow.entry.peer

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.selects.select
import yuccaflow.base.TimerService
import yuccaflow.entry.store.JoinResult
import yuccaflow.entry.store.KeyedAppendResult
import yuccaflow.entry.store.KeyedChange
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.RouterGroup
import yuccaflow.entry.store.SnapshotResult
import yuccaflow.entry.store.StreamReadResult
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events

/** Calls the store and the router group directly, and tracks whether they are available to this router and fast. */
internal class DirectStoreAccess(
    private val store: KeyedStore,
    private val group: RouterGroup,
    private val timer: TimerService,
    private val events: EventLog,
) : KeyedStore,
    RouterGroup {
    private var callFailed = CompletableDeferred<Unit>()

    private val lastFailureAtMs = MutableStateFlow<Long?>(null)

    /** When the last call failed, or null if it succeeded. */
    val failedAtMs: Long? get() = lastFailureAtMs.value

    /** Whether the last call succeeded. */
    val isAvailable: Boolean get() = failedAtMs == null

    /** Waits until a call succeeds. Returns at once if the last one has. */
    suspend fun awaitAvailable() {
        lastFailureAtMs.first { it == null }
    }

    private var isCheckRequested = false
    private var slowAtMs: Long? = null

    /** When a part of an answer to a read or of a snapshot last arrived. */
    private var arrivedAtMs = Long.MIN_VALUE / 2

    /**
     * Whether a call was slow in the last few seconds. Appends are then slow as well, and a read that arrives while an append is being
     * carried out may miss its records.
     */
    val isSlow: Boolean get() = slowAtMs?.let { timer.nowMs() - it < SLOW_PERIOD_MS } ?: false

    override suspend fun snapshot(stream: KeyedStream, onArriving: () -> Unit): SnapshotResult {
        val recordedArrival = {
            recordArrival()
            onArriving()
        }
        return measured("snapshot", stream) { store.snapshot(stream, recordedArrival) }.also { recordResult(it is SnapshotResult.Snapshot) }
    }

    /** Fails early if another call fails before an answer begins to arrive, because the store may have stopped answering. */
    override suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long, onArriving: (Long) -> Unit): StreamReadResult =
        coroutineScope {
            val answerBegun = CompletableDeferred<Long>()
            val call = async {
                read(stream, fromOffset, waitMs, answerBegun) { endOffset ->
                    recordArrival()
                    answerBegun.complete(timer.nowMs())
                    onArriving(endOffset)
                }
            }
            select {
                call.onAwait { it }
                answerBegun.onAwait { call.await() }
                callFailed.onAwait {
                    call.cancel()
                    StreamReadResult.Failed("another call to the store failed")
                }
            }
        }

    private suspend fun read(
        stream: KeyedStream,
        fromOffset: Long,
        waitMs: Long,
        answerBegunAtMs: Deferred<Long>,
        onArriving: (Long) -> Unit,
    ): StreamReadResult {
        val startedAtMs = timer.nowMs()
        val result = store.read(stream, fromOffset, waitMs, onArriving)
        val transferMs = if (answerBegunAtMs.isCompleted) timer.nowMs() - answerBegunAtMs.await() else null
        // A wait that ends early was answered at once, so only the transfer can have been slow.
        logIfSlow("read", stream, maxOf(timer.nowMs() - startedAtMs - waitMs, transferMs ?: 0), transferMs)
        recordResult(result !is StreamReadResult.Failed)
        return result
    }

    override suspend fun append(stream: KeyedStream, changes: List<KeyedChange>, expectedEndOffset: Long?): KeyedAppendResult {
        val result = measured("append") { store.append(stream, changes, expectedEndOffset) }
        recordResult(result is KeyedAppendResult.Appended || result is KeyedAppendResult.Conflict)
        return result
    }

    override suspend fun join(member: String, generation: Long, ttlMs: Long): JoinResult =
        measured("join") { group.join(member, generation, ttlMs) }.also { recordResult(it is JoinResult.Joined) }

    override suspend fun members(): Set<String>? = group.members().also { recordResult(it != null) }

    override suspend fun leave(member: String) = group.leave(member)

    /** Requests a call that shows whether the store is available. To be called after a call was cancelled because it took long. */
    fun requestCheck() {
        isCheckRequested = true
    }

    /**
     * Calls the store from time to time while it is unavailable, and when a check was requested, until cancelled. Long-polling reads are
     * not made directly in that state, so a router that makes no other calls would not notice that the store is back.
     */
    suspend fun checkAvailability() {
        while (true) {
            timer.sleep(RECHECK_INTERVAL_MS)
            if (isAvailable && !isCheckRequested) continue
            isCheckRequested = false
            members()
        }
    }

    private suspend fun <T> measured(name: String, stream: KeyedStream? = null, call: suspend () -> T): T {
        val startedAtMs = timer.nowMs()
        val result = call()
        val nowMs = timer.nowMs()
        if (nowMs - startedAtMs > SLOW_CALL_MS) slowAtMs = nowMs
        logIfSlow(name, stream, nowMs - startedAtMs)
        return result
    }

    private fun logIfSlow(name: String, stream: KeyedStream?, elapsedMs: Long, transferMs: Long? = null) {
        if (elapsedMs < LOGGED_CALL_MS) return
        events.log(Events.STORE_CALL_SLOW) {
            put("call", name)
            put("stream", stream?.name)
            put("elapsed_ms", elapsedMs)
            put("transfer_ms", transferMs)
        }
    }

    private fun recordArrival() {
        arrivedAtMs = timer.nowMs()
    }

    private fun recordResult(isAvailable: Boolean) {
        // While the store is sending something to this router, a failed call says nothing about the store.
        if (!isAvailable && timer.nowMs() - arrivedAtMs < ARRIVAL_PROVES_MS) return
        if (!isAvailable) {
            lastFailureAtMs.value = timer.nowMs()
            callFailed.complete(Unit)
            return
        }
        if (failedAtMs != null) callFailed = CompletableDeferred()
        lastFailureAtMs.value = null
    }

    private companion object {
        /** Calls that take longer are slow; usual ones take a few milliseconds. */
        const val SLOW_CALL_MS = 60L
        const val SLOW_PERIOD_MS = 3_000L

        /** Time for which a part of an answer proves that the store is available. */
        const val ARRIVAL_PROVES_MS = 500L

        /** Time of a call, without the wait of a read, from which on it is logged. */
        const val LOGGED_CALL_MS = 250L

        /** Time between the calls that show whether the store is available again. */
        const val RECHECK_INTERVAL_MS = 700L
    }
}
