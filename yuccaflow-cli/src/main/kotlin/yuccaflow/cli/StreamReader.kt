package yuccaflow.cli

import yuccaflow.control.ConfigRecord
import yuccaflow.control.ConfigState
import yuccaflow.control.ControlRecord
import yuccaflow.control.ControlTable
import yuccaflow.control.Snapshot
import yuccaflow.control.applyConfigRecord
import yuccaflow.control.controlTable
import yuccaflow.control.decodeConfigRecord
import yuccaflow.control.decodeControlRecord
import yuccaflow.control.emptyControlTable
import yuccaflow.external.LogRecord
import yuccaflow.external.LogService
import yuccaflow.external.ReadResult
import yuccaflow.external.Streams

/** Thrown if the log cannot be read, or no longer holds the records from which the complete state can be built. */
internal class LogReadException(
    reason: String,
) : Exception(reason)

/** The first record of `config` with its id. Later records with the same id have no effect. */
internal class FirstRecord(
    val offset: Long,
    val record: ConfigRecord,
)

/** Follows the `config` and `control` streams from their start or, if that has expired, from the latest checkpoint. */
internal class StreamReader(
    private val log: LogService,
) {
    /** The configuration as of the last read. */
    var config: ConfigState = ConfigState.Empty
        private set

    /** The control table as of the last read. */
    var table: ControlTable = emptyControlTable()
        private set

    private val firstRecords = mutableMapOf<String, FirstRecord>()

    /** Returns the first record with [id] that this reader has read, or null if there is none. */
    fun firstRecord(id: String): FirstRecord? = firstRecords[id]

    /**
     * Reads `config` up to its current end. If there is no new record, waits up to [waitMs] for one.
     * @throws LogReadException if the stream cannot be read up to its end.
     */
    suspend fun readConfig(waitMs: Long = 0) {
        val read = readToEnd(Streams.CONFIG, config.position + 1, waitMs) ?: run {
            // The effect of the expired records is only known from a checkpoint.
            config =
                (latestCheckpoint() ?: throw LogReadException("the start of `config` has expired and `control` holds no checkpoint")).config
            readToEnd(Streams.CONFIG, config.position + 1, 0)
                ?: throw LogReadException("`config` expires faster than checkpoints are written")
        }
        for (entry in read) {
            val record = decodeConfigRecord(entry.data)
            if (record != null) firstRecords.putIfAbsent(record.id, FirstRecord(entry.offset, record))
            config = applyConfigRecord(config, entry.offset, record)
        }
    }

    /**
     * Reads `control` up to its current end.
     * @throws LogReadException if the stream cannot be read up to its end.
     */
    suspend fun readControl() {
        val read = readToEnd(Streams.CONTROL, table.position + 1, 0) ?: run {
            table =
                controlTable(latestCheckpoint() ?: throw LogReadException("the start of `control` has expired and it holds no checkpoint"))
            readToEnd(Streams.CONTROL, table.position + 1, 0)
                ?: throw LogReadException("`control` expires faster than checkpoints are written")
        }
        for (entry in read) table = table.apply(entry.offset, decodeControlRecord(entry.data)).table
    }

    private suspend fun latestCheckpoint(): Snapshot? {
        val first = (log.read(Streams.CONTROL, 1, 1, 0) as? ReadResult.Expired)?.firstOffset ?: 1
        return readToEnd(Streams.CONTROL, first, 0)
            ?.mapNotNull { decodeControlRecord(it.data) as? ControlRecord.Checkpoint }
            ?.lastOrNull()
            ?.snapshot
    }

    /** Reads [stream] from offset [from] up to its end. Returns null if [from] has expired. */
    private suspend fun readToEnd(stream: String, from: Long, waitMs: Long): List<LogRecord>? {
        val records = mutableListOf<LogRecord>()
        while (true) {
            val next = from + records.size
            when (val result = log.read(stream, next, MAX_RECORDS_PER_READ, if (records.isEmpty()) waitMs else 0)) {
                is ReadResult.Expired -> return null
                is ReadResult.ReadFailed -> throw LogReadException(result.reason)
                is ReadResult.Read -> {
                    records += result.records
                    if (result.records.isEmpty() || result.records.last().offset + 1 >= result.endOffset) return records
                }
            }
        }
    }

    private companion object {
        const val MAX_RECORDS_PER_READ = 500
    }
}
