package yuccaflow.entry.view

import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.SnapshotResult
import yuccaflow.entry.store.StreamReadResult
import java.util.TreeMap

/** The newest record of each key, in the order of the keys, as of [endOffset]. */
internal class NewestRecords(
    val records: List<KeyedRecord>,
    val endOffset: Long,
)

/**
 * Reads the newest record of each key of [stream], and then what was appended during the reading: the pages of a snapshot show different
 * moments, so that a range could be listed twice or not at all.
 */
internal suspend fun KeyedStore.readNewest(stream: KeyedStream): StateResult<NewestRecords> {
    val snapshot = when (val result = snapshotOrFailure(stream)) {
        is SnapshotResult.Snapshot -> result
        is SnapshotResult.Failed -> return StateResult.Unreadable(result.reason)
    }
    val newest = snapshot.records.associateByTo(TreeMap()) { it.key }
    var next = snapshot.endOffset
    // A stream without records may not exist yet and cannot be read then.
    var isAtEnd = next == 0L
    while (!isAtEnd) {
        when (val result = read(stream, next, waitMs = 0)) {
            is StreamReadResult.Read -> {
                result.records.forEach { newest[it.key] = it }
                next = result.records.lastOrNull()?.let { it.offset + 1 } ?: next
                isAtEnd = result.records.isEmpty() || next >= result.endOffset
            }
            StreamReadResult.Expired -> return StateResult.Unreadable("records expire faster than they can be read")
            is StreamReadResult.Failed -> return StateResult.Unreadable(result.reason)
        }
    }
    return StateResult.Known(NewestRecords(newest.values.filter { it.value != null }, next))
}

/** A store may fail on values that it cannot decode. */
private suspend fun KeyedStore.snapshotOrFailure(stream: KeyedStream): SnapshotResult = try {
    snapshot(stream)
} catch (invalid: IllegalArgumentException) {
    SnapshotResult.Failed("a value cannot be decoded: ${invalid.message}")
}
