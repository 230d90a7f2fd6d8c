package yuccaflow.external

/** One record of a stream. [data] must not be modified after construction. */
class LogRecord(
    val offset: Long,
    val data: ByteArray,
)

/** Result of an append. */
sealed interface AppendResult {
    /** The record is in the stream at [offset]. */
    data class Appended(
        val offset: Long,
    ) : AppendResult

    /** The record is known not to be in the stream. */
    data class NotAppended(
        val reason: String,
    ) : AppendResult

    /** It is unknown whether the record is in the stream. */
    data class AppendUnknown(
        val reason: String,
    ) : AppendResult
}

/** Result of a read. */
sealed interface ReadResult {
    /**
     * Consecutive [records] that start at the requested offset. [firstOffset] is the oldest offset that is still retained, and
     * [endOffset] is the offset of the next append. The read has reached the end of the stream if the records extend up to [endOffset].
     */
    data class Read(
        val records: List<LogRecord>,
        val firstOffset: Long,
        val endOffset: Long,
    ) : ReadResult

    /** The requested offset is no longer retained; the stream now starts at [firstOffset]. */
    data class Expired(
        val firstOffset: Long,
    ) : ReadResult

    /** The service was unreachable or its response was invalid. */
    data class ReadFailed(
        val reason: String,
    ) : ReadResult
}

/**
 * The platform's append-only log.
 *
 * The offsets of a stream start at 1 and increase by 1 per record. A read that starts after an append was acknowledged returns the
 * appended record.
 */
interface LogService {
    /** Appends [data] as one record to [stream]. */
    suspend fun append(stream: String, data: ByteArray): AppendResult

    /** Reads at most [maxRecords] records of [stream], starting at [fromOffset]. Waits up to [waitMs] for the first of them. */
    suspend fun read(stream: String, fromOffset: Long, maxRecords: Int, waitMs: Long): ReadResult
}

/** Names of the streams of the log. */
object Streams {
    /** Configuration records that operators publish: release notes, and marks of zones and hosts as leaving or returned. */
    const val CONFIG: String = "config"

    /** Records that the routers append: membership, leases and the ownership of key ranges. */
    const val CONTROL: String = "control"
}
