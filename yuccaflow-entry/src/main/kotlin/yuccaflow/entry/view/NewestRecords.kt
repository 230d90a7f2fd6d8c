package yuccaflow.entry.view

import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.SnapshotResult
import yuccaflow.entry.store.StreamReadResult
import java.util.TreeMap

/** The latest record of each key, ordered by key, as of [endOffset]. Removed keys are left out. */
internal class NewestRecords(
    val records: List<KeyedRecord>,
    val endOffset: Long,
)

/**
 * Reads a consistent state of [stream]: the latest record of each key, and then all records that were appended meanwhile. The pages of a
 * snapshot are read at different times, so a snapshot alone could list a range twice or not at all.
 */
internal suspend fun KeyedStore.readNewest(stream: KeyedStream): StateResult<NewestRecords> {
    val snapshot = when (val result = snapshotOrFailure(stream)) {
        is SnapshotResult.Snapshot -> result
        is SnapshotResult.Failed -> return StateResult.Unreadable(result.reason)
    }
    val newest = snapshot.records.associateByTo(TreeMap()) { it.key }
    var next = snapshot.endOffset
    // A stream without records may not exist yet, and reading it would then fail.
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

/** Reads a snapshot. A store may throw on values that it cannot decode, which is returned as a failure. */
private suspend fun KeyedStore.snapshotOrFailure(stream: KeyedStream): SnapshotResult = try {
    snapshot(stream)
} catch (invalid: IllegalArgumentException) {
    SnapshotResult.Failed("a value cannot be decoded: ${invalid.message}")
}
