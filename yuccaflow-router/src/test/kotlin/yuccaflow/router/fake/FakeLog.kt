package yuccaflow.router.fake

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.control.ConfigRecord
import yuccaflow.control.ControlRecord
import yuccaflow.control.ControlTable
import yuccaflow.control.decodeControlRecord
import yuccaflow.control.emptyControlTable
import yuccaflow.control.encodeConfigRecord
import yuccaflow.control.encodeControlRecord
import yuccaflow.external.AppendResult
import yuccaflow.external.LogRecord
import yuccaflow.external.LogService
import yuccaflow.external.ReadResult
import yuccaflow.external.Streams

/** An in-memory log service that simulates outages, lost appends and answers, and the expiry of records. */
class FakeLog {
    private class Stream {
        val records = mutableListOf<ByteArray>()
        var first = 1L
        val end = MutableStateFlow(1L)
    }

    private val streams = mutableMapOf<String, Stream>()

    /** Whether the log is down, so that all calls fail. */
    var isDown = false

    /** Returns whether the answer to the next append is lost after the record was written. */
    var losesAppendAnswer: () -> Boolean = { false }

    /** Returns whether the next append is lost before it reaches the log. */
    var losesAppendRequest: () -> Boolean = { false }

    /** Returns the log as seen by one router, for which calls fail while [isDisconnected] returns true. */
    fun view(isDisconnected: () -> Boolean): LogService = object : LogService {
        override suspend fun append(stream: String, data: ByteArray): AppendResult {
            delay(LATENCY_MS)
            if (isDown || isDisconnected()) {
                delay(FAILURE_MS)
                return AppendResult.NotAppended("down")
            }
            if (losesAppendRequest()) return AppendResult.AppendUnknown("lost request")
            val offset = add(stream, data)
            delay(LATENCY_MS)
            return if (losesAppendAnswer()) AppendResult.AppendUnknown("lost answer") else AppendResult.Appended(offset)
        }

        override suspend fun read(stream: String, fromOffset: Long, maxRecords: Int, waitMs: Long): ReadResult {
            delay(LATENCY_MS)
            if (!isDown && !isDisconnected()) withTimeoutOrNull(waitMs) { streamOf(stream).end.first { it > fromOffset } }
            delay(LATENCY_MS)
            if (isDown || isDisconnected()) {
                delay(FAILURE_MS)
                return ReadResult.ReadFailed("down")
            }
            return readNow(stream, fromOffset, maxRecords)
        }
    }

    /** Publishes a config record immediately. */
    fun publish(record: ConfigRecord): Long = add(Streams.CONFIG, encodeConfigRecord(record))

    /** Appends a control record immediately. */
    fun append(record: ControlRecord): Long = add(Streams.CONTROL, encodeControlRecord(record))

    /** Returns the decoded records of `control` from [fromOffset] on. */
    fun control(fromOffset: Long = 1): List<ControlRecord> =
        streamOf(Streams.CONTROL).records.drop((fromOffset - 1).toInt()).mapNotNull { decodeControlRecord(it) }

    /** Returns the control table after all records. */
    fun table(): ControlTable {
        val records = streamOf(Streams.CONTROL).records
        return records.foldIndexed(emptyControlTable()) { i, table, data -> table.apply(i + 1L, decodeControlRecord(data)).table }
    }

    /** Returns the end offset of [stream]. */
    fun end(stream: String): Long = streamOf(stream).end.value

    /** Expires the records of [stream] before [offset]. */
    fun expire(stream: String, offset: Long) {
        streamOf(stream).first = offset
    }

    private fun readNow(stream: String, fromOffset: Long, maxRecords: Int): ReadResult {
        val found = streamOf(stream)
        if (fromOffset < found.first) return ReadResult.Expired(found.first)
        val records = (fromOffset until found.end.value).take(maxRecords).map { LogRecord(it, found.records[(it - 1).toInt()]) }
        return ReadResult.Read(records, found.first, found.end.value)
    }

    private fun add(stream: String, data: ByteArray): Long {
        val found = streamOf(stream)
        val offset = found.end.value
        found.records += data
        found.end.value = offset + 1
        return offset
    }

    private fun streamOf(stream: String): Stream = streams.getOrPut(stream) { Stream() }

    private companion object {
        const val LATENCY_MS = 1L
        const val FAILURE_MS = 200L
    }
}
