package yuccaflow.entry.store

/** A stream of records with keys, of which the store keeps the newest of each key. */
enum class KeyedStream {
    /** What operators want: the routing table and the zones to be emptied. Read only. */
    OPERATORS,

    /** What targets report of themselves. Read only. */
    TARGETS,

    /** The routers' own records: planner, members, owners of key ranges. */
    ROUTERS,
}

/** One record as read. A null [value] removes the key. [value] must not be changed after construction. */
class KeyedRecord(
    val key: String,
    val value: ByteArray?,
    val offset: Long,
)

/** One record to append. A null [value] removes the key. [value] must not be changed after construction. */
class KeyedChange(
    val key: String,
    val value: ByteArray?,
)

/** Result of reading the newest record of each key. */
sealed interface SnapshotResult {
    /** [endOffset] is where to read on; records behind it may be in the snapshot already. */
    class Snapshot(
        val records: List<KeyedRecord>,
        val endOffset: Long,
    ) : SnapshotResult

    /** Nothing could be read. */
    class Failed(
        val reason: String,
    ) : SnapshotResult
}

/** Result of reading records in order. */
sealed interface StreamReadResult {
    /** [records] are all up to [endOffset], or the first of them. Empty when none came while waiting. */
    class Read(
        val records: List<KeyedRecord>,
        val endOffset: Long,
    ) : StreamReadResult

    /** The records at the offset have been dropped; a snapshot is needed. */
    data object Expired : StreamReadResult

    /** Nothing could be read. */
    class Failed(
        val reason: String,
    ) : StreamReadResult
}

/** Result of an append. */
sealed interface KeyedAppendResult {
    /** All records are in the stream, the first at [firstOffset]. */
    data class Appended(
        val firstOffset: Long,
    ) : KeyedAppendResult

    /** Nothing was appended, because the stream ends at [endOffset] and not where expected. */
    data class Conflict(
        val endOffset: Long,
    ) : KeyedAppendResult

    /** Nothing was appended and nothing will be. */
    data class NotAppended(
        val reason: String,
    ) : KeyedAppendResult

    /** The records may be in the stream now, or later if the stream still ends where expected. */
    data class Unknown(
        val reason: String,
    ) : KeyedAppendResult
}

/** The platform's store of keyed streams. Its answers are linearizable. */
interface KeyedStore {
    /** Reads the newest record of each key of [stream]. */
    suspend fun snapshot(stream: KeyedStream): SnapshotResult

    /** Reads records of [stream] from [fromOffset] on, waiting up to [waitMs] for the first one. */
    suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long): StreamReadResult

    /** Appends all of [changes] or none; only if the stream ends at [expectedEndOffset], unless that is null. */
    suspend fun append(stream: KeyedStream, changes: List<KeyedChange>, expectedEndOffset: Long?): KeyedAppendResult
}
