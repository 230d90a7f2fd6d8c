package yuccaflow.entry.peer

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
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

/** The store and the group as this router itself reaches them. Notes whether it is served. */
internal class DirectStoreAccess(
    private val store: KeyedStore,
    private val group: RouterGroup,
    private val timer: TimerService,
) : KeyedStore,
    RouterGroup {
    private var failure = CompletableDeferred<Unit>()

    /** When the latest call failed, or null when it was served. */
    var failedAtMs: Long? = null
        private set

    /** Whether the latest call was served. */
    val isServed: Boolean get() = failedAtMs == null

    private var slowAtMs: Long? = null

    /** Whether a call took long lately. Appends then take long as well, and a read that arrives during one may miss it. */
    val isSlow: Boolean get() = slowAtMs?.let { timer.nowMs() - it < SLOW_FOR_MS } ?: false

    override suspend fun snapshot(stream: KeyedStream): SnapshotResult =
        timed { store.snapshot(stream) }.also { note(it is SnapshotResult.Snapshot) }

    /** Ends early when another call fails, because the store may have fallen silent. */
    override suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long): StreamReadResult = coroutineScope {
        val call = async { store.read(stream, fromOffset, waitMs).also { note(it !is StreamReadResult.Failed) } }
        select {
            call.onAwait { it }
            failure.onAwait {
                call.cancel()
                StreamReadResult.Failed("another call to the store failed")
            }
        }
    }

    override suspend fun append(stream: KeyedStream, changes: List<KeyedChange>, expectedEndOffset: Long?): KeyedAppendResult {
        val result = timed { store.append(stream, changes, expectedEndOffset) }
        note(result is KeyedAppendResult.Appended || result is KeyedAppendResult.Conflict)
        return result
    }

    override suspend fun join(member: String, generation: Long, ttlMs: Long): JoinResult =
        timed { group.join(member, generation, ttlMs) }.also { note(it is JoinResult.Joined) }

    override suspend fun members(): Set<String>? = group.members().also { note(it != null) }

    override suspend fun leave(member: String) = group.leave(member)

    private suspend fun <T> timed(call: suspend () -> T): T {
        val startedAtMs = timer.nowMs()
        val result = call()
        val nowMs = timer.nowMs()
        if (nowMs - startedAtMs > SLOW_CALL_MS) slowAtMs = nowMs
        return result
    }

    private fun note(isServed: Boolean) {
        if (!isServed) {
            failedAtMs = timer.nowMs()
            failure.complete(Unit)
            return
        }
        if (failedAtMs != null) failure = CompletableDeferred()
        failedAtMs = null
    }

    private companion object {
        /** A call usually takes a few milliseconds. */
        const val SLOW_CALL_MS = 60L
        const val SLOW_FOR_MS = 3_000L
    }
}
