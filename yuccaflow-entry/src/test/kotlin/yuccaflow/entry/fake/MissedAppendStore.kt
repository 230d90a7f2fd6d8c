package yuccaflow.entry.fake

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.entry.store.KeyedChange
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.SnapshotResult
import yuccaflow.entry.store.StreamReadResult

/** A store with one stream whose waits end only with records that are appended as not missed, or when their time is over. */
internal class MissedAppendStore : KeyedStore {
    private val records = ArrayList<KeyedRecord>()
    private val noticedEnd = MutableStateFlow(0)

    /** Number of reads so far. */
    var reads = 0
        private set

    /** Whether new calls fail. Waits that are under way stay silent. */
    var isDown = false

    /** Time that a call takes besides its wait. */
    var callMs = 4L

    /** Number of records by which the end of the stream is ahead of those that can be read. */
    var hiddenRecords = 0

    /** Appends a record. Waits that are under way do not notice it if [isMissed]. */
    fun append(key: String, isMissed: Boolean = true) {
        records += KeyedRecord(key, "v".toByteArray(), records.size.toLong())
        if (!isMissed) noticedEnd.value = records.size
    }

    override suspend fun snapshot(stream: KeyedStream, onArriving: () -> Unit): SnapshotResult = SnapshotResult.Snapshot(emptyList(), 0)

    override suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long, onArriving: (Long) -> Unit): StreamReadResult {
        reads++
        delay(callMs)
        if (isDown) return StreamReadResult.Failed("down")
        if (records.size <= fromOffset) withTimeoutOrNull(waitMs) { noticedEnd.first { it > fromOffset } }
        return StreamReadResult.Read(records.drop(fromOffset.toInt()), records.size.toLong() + hiddenRecords)
    }

    override suspend fun append(stream: KeyedStream, changes: List<KeyedChange>, expectedEndOffset: Long?) = error("not used")
}
