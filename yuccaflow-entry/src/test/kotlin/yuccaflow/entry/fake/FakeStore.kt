package yuccaflow.entry.fake

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.base.TimerService
import yuccaflow.entry.store.JoinResult
import yuccaflow.entry.store.KeyedAppendResult
import yuccaflow.entry.store.KeyedChange
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.RouterGroup
import yuccaflow.entry.store.SnapshotResult
import yuccaflow.entry.store.StreamReadResult

/** The store's contents, shared by the views of all routers. */
internal class FakeStoreData(
    val timer: TimerService,
) {
    val records = KeyedStream.entries.associateWith { ArrayList<KeyedRecord>() }
    val version = MutableStateFlow(0)
    val memberSeenAtMs = LinkedHashMap<String, Long>()

    /** How many members have a part of the group's work. The others are not listed. */
    var maxListedMembers = Int.MAX_VALUE
    var isDown = false

    fun append(stream: KeyedStream, changes: List<KeyedChange>): Long {
        val list = records.getValue(stream)
        val first = list.size.toLong()
        changes.forEach { list += KeyedRecord(it.key, it.value, list.size.toLong()) }
        version.value++
        return first
    }

    fun newest(stream: KeyedStream): List<KeyedRecord> =
        records
            .getValue(stream)
            .associateBy { it.key }
            .values
            .filter { it.value != null }
}

/** One router's view of the store and of the group, with faults that the test sets. */
internal class FakeStore(
    private val data: FakeStoreData,
    private val callMs: Long = 4,
) : KeyedStore,
    RouterGroup {
    var isDisconnected = false

    /** Whether the view is cut from the group, but not from the store. */
    var isDisconnectedFromGroup = false

    /** Appends are carried out, and their answers are lost. */
    var losesAppendAnswers = false

    /** Whether the view is cut right after the next append was carried out. */
    var disconnectsAfterAppend = false

    /** How long an append is on its way to the store. */
    var appendDelayMs = callMs

    override suspend fun snapshot(stream: KeyedStream): SnapshotResult {
        delay(callMs)
        if (!isServed()) return SnapshotResult.Failed("cut")
        return SnapshotResult.Snapshot(
            data.newest(stream),
            data.records
                .getValue(stream)
                .size
                .toLong(),
        )
    }

    override suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long): StreamReadResult {
        delay(callMs)
        if (!isServed()) return StreamReadResult.Failed("cut")
        val list = data.records.getValue(stream)
        withTimeoutOrNull(waitMs) { data.version.first { list.size > fromOffset } }
        if (!isServed()) return StreamReadResult.Failed("cut")
        return StreamReadResult.Read(list.drop(fromOffset.toInt()), list.size.toLong())
    }

    override suspend fun append(stream: KeyedStream, changes: List<KeyedChange>, expectedEndOffset: Long?): KeyedAppendResult {
        delay(appendDelayMs)
        if (!isServed()) return KeyedAppendResult.NotAppended("cut")
        val end = data.records
            .getValue(stream)
            .size
            .toLong()
        if (expectedEndOffset != null && expectedEndOffset != end) return KeyedAppendResult.Conflict(end)
        val first = data.append(stream, changes)
        isDisconnected = isDisconnected || disconnectsAfterAppend
        delay(callMs)
        return if (losesAppendAnswers) KeyedAppendResult.Unknown("lost") else KeyedAppendResult.Appended(first)
    }

    override suspend fun join(member: String, generation: Long, ttlMs: Long): JoinResult {
        delay(callMs)
        if (!isServed() || isDisconnectedFromGroup) return JoinResult.Failed("cut")
        data.memberSeenAtMs[member] = data.timer.nowMs()
        data.memberSeenAtMs.values.removeIf { data.timer.nowMs() - it > ttlMs }
        return JoinResult.Joined(1, data.memberSeenAtMs.keys.first() == member)
    }

    override suspend fun members(): Set<String>? {
        delay(callMs)
        if (!isServed()) return null
        return data.memberSeenAtMs.keys
            .take(data.maxListedMembers)
            .toSet()
    }

    override suspend fun leave(member: String) {
        data.memberSeenAtMs -= member
    }

    private fun isServed() = !isDisconnected && !data.isDown
}
