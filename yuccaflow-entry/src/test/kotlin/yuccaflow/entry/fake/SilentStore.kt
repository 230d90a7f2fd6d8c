package yuccaflow.entry.fake

import kotlinx.coroutines.delay
import yuccaflow.base.TimerService
import yuccaflow.entry.store.KeyedAppendResult
import yuccaflow.entry.store.KeyedChange
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.RouterGroup
import yuccaflow.entry.store.SnapshotResult
import yuccaflow.entry.store.StreamReadResult

/** Passes calls on to [store] and [group], but loses the answers while [isSilent]: the calls fail when their timeout has passed. */
internal class SilentStore(
    private val store: KeyedStore,
    private val group: RouterGroup,
    private val timer: TimerService,
) : KeyedStore,
    RouterGroup by group {
    var isSilent = false

    /** Number of calls of each kind so far. */
    var reads = 0
    var appends = 0

    override suspend fun snapshot(stream: KeyedStream, onArriving: () -> Unit): SnapshotResult =
        answerOf { store.snapshot(stream) } ?: SnapshotResult.Failed(NO_ANSWER)

    override suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long, onArriving: (Long) -> Unit): StreamReadResult {
        reads++
        return answerOf(waitMs) { store.read(stream, fromOffset, waitMs) } ?: StreamReadResult.Failed(NO_ANSWER)
    }

    override suspend fun append(stream: KeyedStream, changes: List<KeyedChange>, expectedEndOffset: Long?): KeyedAppendResult {
        appends++
        return answerOf { store.append(stream, changes, expectedEndOffset) } ?: KeyedAppendResult.Unknown(NO_ANSWER)
    }

    override suspend fun members(): Set<String>? = answerOf { group.members() }

    private suspend fun <T> answerOf(waitMs: Long = 0, call: suspend () -> T): T? {
        val startedAtMs = timer.nowMs()
        val answer = call()
        if (!isSilent) return answer
        delay(startedAtMs + waitMs + CALL_TIMEOUT_MS - timer.nowMs())
        return null
    }

    private companion object {
        const val NO_ANSWER = "no answer"

        /** Time for a call in addition to its wait, as for the platform's store. */
        const val CALL_TIMEOUT_MS = 1_500L
    }
}
