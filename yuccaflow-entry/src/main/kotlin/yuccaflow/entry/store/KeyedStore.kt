package yuccaflow.entry.store

/** A compacted stream of keyed records: the store keeps at least the latest record of each key. */
enum class KeyedStream {
    /** The state that operators want: the routing table and the zones to evacuate. Routers only read it. */
    OPERATORS,

    /** The targets' entries about themselves. Routers only read it. */
    TARGETS,

    /** The routers' own records: the planner, the member routers and the assignments of key ranges. */
    ROUTERS,
}

/** A record as read. A null [value] removes the key. [value] must not be modified after construction. */
class KeyedRecord(
    val key: String,
    val value: ByteArray?,
    val offset: Long,
)

/** A record to append. A null [value] removes the key. [value] must not be modified after construction. */
class KeyedChange(
    val key: String,
    val value: ByteArray?,
)

/** Result of reading the latest record of each key. */
sealed interface SnapshotResult {
    /**
     * The snapshot, read in [era] of the store. Reading continues at [endOffset], but [records] may already include some records from
     * beyond it.
     */
    class Snapshot(
        val records: List<KeyedRecord>,
        val endOffset: Long,
        val era: Long = 0,
    ) : SnapshotResult

    /** The read failed because of [reason]. */
    class Failed(
        val reason: String,
    ) : SnapshotResult
}

/** Result of reading records in order. */
sealed interface StreamReadResult {
    /**
     * The records from the requested offset on. [records] are either all records up to the end of the stream at [endOffset] or only the
     * first of them. They are empty if no record arrived during the wait. They were read in [era] of the store.
     */
    class Read(
        val records: List<KeyedRecord>,
        val endOffset: Long,
        val era: Long = 0,
    ) : StreamReadResult

    /**
     * The store does not have the offset: it has dropped the records there, or lost them in a new era. So the reader must start over from a
     * snapshot.
     */
    data object Expired : StreamReadResult

    /** The read failed because of [reason]. */
    class Failed(
        val reason: String,
    ) : StreamReadResult
}

/** Result of an append. */
sealed interface KeyedAppendResult {
    /** All records were appended in [era] of the store, the first of them at [firstOffset]. */
    data class Appended(
        val firstOffset: Long,
        val era: Long = 0,
    ) : KeyedAppendResult

    /** Nothing was appended because the stream ends at [endOffset] in [era] of the store instead of at the expected offset. */
    data class Conflict(
        val endOffset: Long,
        val era: Long = 0,
    ) : KeyedAppendResult

    /** Nothing was appended, and nothing will be. */
    data class NotAppended(
        val reason: String,
    ) : KeyedAppendResult

    /** The append may have been executed, or may be executed later if the stream then still ends at the expected offset. */
    data class Unknown(
        val reason: String,
    ) : KeyedAppendResult
}

/** Generations contain the era of the store and must stay below 2^53, so that every JSON number type can represent them. */
const val MAX_STORE_ERA: Long = 8_191

/**
 * The platform's store of keyed streams. Reads and appends are linearizable within an era. Its era rises when it is restored from a copy
 * that lacks its last records; a call that is under way then may be executed in the new era.
 */
interface KeyedStore {
    /** Reads the latest record of each key of [stream]. [onArriving] is called whenever a part of the answer arrives. */
    suspend fun snapshot(stream: KeyedStream, onArriving: () -> Unit = {}): SnapshotResult

    /**
     * Reads the records of [stream] from [fromOffset] on. Waits at most [waitMs] for the first one.
     *
     * [onArriving] is called with the end of the stream whenever a part of the answer arrives. On a slow link that is long before the
     * records have arrived. It is not called if the answer comes from another router.
     */
    suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long, onArriving: (endOffset: Long) -> Unit = {}): StreamReadResult

    /** Atomically appends [changes]. If [expectedEndOffset] is not null, does so only if the stream ends there. */
    suspend fun append(stream: KeyedStream, changes: List<KeyedChange>, expectedEndOffset: Long?): KeyedAppendResult
}
