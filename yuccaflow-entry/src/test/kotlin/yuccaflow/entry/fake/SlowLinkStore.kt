package yuccaflow.entry.fake

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.entry.store.KeyedChange
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.SnapshotResult
import yuccaflow.entry.store.StreamReadResult

/**
 * A stream with one key whose records are [recordBytes] large, read over a link that carries [bytesPerS] of all answers together, the parts
 * of one after those of the other. An answer has one record at most.
 */
internal class SlowLinkStore(
    private val recordBytes: Int,
    private val bytesPerS: Int,
) : KeyedStore {
    private var latest = -1L
    private var appended = CompletableDeferred<Unit>()
    private val link = Mutex()

    /** Whether answers are lost on the way, as in an outage. */
    var isSilent = false

    /** Bytes that the link has carried. */
    var carriedBytes = 0L
        private set

    private val endOffset get() = latest + 1

    fun append() {
        latest++
        val current = appended
        appended = CompletableDeferred()
        current.complete(Unit)
    }

    override suspend fun snapshot(stream: KeyedStream, onArriving: () -> Unit): SnapshotResult {
        val end = endOffset
        if (!carry(recordBytes) { onArriving() }) return SnapshotResult.Failed("no answer")
        return SnapshotResult.Snapshot(if (end == 0L) emptyList() else listOf(record(end - 1)), end)
    }

    override suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long, onArriving: (Long) -> Unit): StreamReadResult {
        if (fromOffset >= endOffset && waitMs > 0) withTimeoutOrNull(waitMs) { appended.await() }
        val end = endOffset
        val records = if (fromOffset < end) listOf(record(fromOffset)) else emptyList()
        if (!carry(recordBytes * records.size) { onArriving(end) }) return StreamReadResult.Failed("no answer")
        return StreamReadResult.Read(records, end)
    }

    override suspend fun append(stream: KeyedStream, changes: List<KeyedChange>, expectedEndOffset: Long?) = error("not used")

    private fun record(offset: Long) = KeyedRecord("config", ByteArray(recordBytes), offset)

    /** Carries [bytes] part by part. Returns false if they are lost. */
    private suspend fun carry(bytes: Int, onPart: () -> Unit): Boolean {
        delay(CALL_MS)
        if (isSilent) {
            delay(CALL_TIMEOUT_MS)
            return false
        }
        var left = bytes
        while (left > 0) {
            val part = minOf(left, PART_BYTES)
            link.withLock { delay(part * 1_000L / bytesPerS) }
            carriedBytes += part
            left -= part
            onPart()
        }
        return true
    }

    private companion object {
        const val CALL_MS = 2L
        const val PART_BYTES = 8_000
        const val CALL_TIMEOUT_MS = 1_500L
    }
}
