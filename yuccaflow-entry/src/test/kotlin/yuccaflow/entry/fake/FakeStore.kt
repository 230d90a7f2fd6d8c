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

/** Contents of the store and of the router group, shared by the [FakeStore]s of all routers. */
internal class FakeStoreData(
    val timer: TimerService,
) {
    val records = KeyedStream.entries.associateWith { ArrayList<KeyedRecord>() }
    val version = MutableStateFlow(0)
    val memberSeenAtMs = LinkedHashMap<String, Long>()

    /** Number of members that are assigned work and thus listed by the group. */
    var maxListedMembers = Int.MAX_VALUE
    var isDown = false

    /** The number of times that the store has lost its last records. */
    var era = 0L
        private set

    /** The ends of the streams in the copy from which [loseSinceCopy] restores the store. */
    private var copiedEnds = records.mapValues { 0 }

    /** Takes the copy from which the store is restored by [loseSinceCopy]. */
    fun takeCopy() {
        copiedEnds = records.mapValues { it.value.size }
    }

    /**
     * Loses what was appended since the copy. Returns the lost records of the operators and the targets, which are to be written again with
     * [append]. Calls that are under way are executed on the restored store.
     */
    fun loseSinceCopy(): Map<KeyedStream, List<KeyedRecord>> {
        val lost = records.mapValues { (stream, list) -> list.drop(copiedEnds.getValue(stream)) }
        records.forEach { (stream, list) -> while (list.size > copiedEnds.getValue(stream)) list.removeLast() }
        era++
        version.value++
        return lost - KeyedStream.ROUTERS
    }

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

/** One router's connection to the store and the group, with faults that the test injects. */
internal class FakeStore(
    private val data: FakeStoreData,
    private val callMs: Long = 4,
) : KeyedStore,
    RouterGroup {
    var isDisconnected = false

    /** Whether the group cannot be joined, although the store is reachable. */
    var isDisconnectedFromGroup = false

    /** What the next call to join the group throws, or null. */
    var nextJoinFailure: Exception? = null

    /** Whether the answers to appends are lost after the append. */
    var losesAppendAnswers = false

    /** Whether the connection is lost right after the next append. */
    var disconnectsAfterAppend = false

    /** How long an append takes to reach the store. */
    var appendDelayMs = callMs

    override suspend fun snapshot(stream: KeyedStream, onArriving: () -> Unit): SnapshotResult {
        delay(callMs)
        if (!isReachable()) return SnapshotResult.Failed("disconnected")
        return SnapshotResult.Snapshot(
            data.newest(stream),
            data.records
                .getValue(stream)
                .size
                .toLong(),
            data.era,
        )
    }

    override suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long, onArriving: (Long) -> Unit): StreamReadResult {
        delay(callMs)
        if (!isReachable()) return StreamReadResult.Failed("disconnected")
        val list = data.records.getValue(stream)
        val eraAtStart = data.era
        withTimeoutOrNull(waitMs) { data.version.first { list.size > fromOffset || data.era != eraAtStart } }
        if (!isReachable()) return StreamReadResult.Failed("disconnected")
        if (fromOffset > list.size) return StreamReadResult.Expired
        return StreamReadResult.Read(list.drop(fromOffset.toInt()), list.size.toLong(), data.era)
    }

    override suspend fun append(stream: KeyedStream, changes: List<KeyedChange>, expectedEndOffset: Long?): KeyedAppendResult {
        delay(appendDelayMs)
        if (!isReachable()) return KeyedAppendResult.NotAppended("disconnected")
        val end = data.records
            .getValue(stream)
            .size
            .toLong()
        if (expectedEndOffset != null && expectedEndOffset != end) return KeyedAppendResult.Conflict(end, data.era)
        val first = data.append(stream, changes)
        val era = data.era
        isDisconnected = isDisconnected || disconnectsAfterAppend
        delay(callMs)
        return if (losesAppendAnswers) KeyedAppendResult.Unknown("answer lost") else KeyedAppendResult.Appended(first, era)
    }

    override suspend fun join(member: String, generation: Long, ttlMs: Long): JoinResult {
        delay(callMs)
        nextJoinFailure?.let {
            nextJoinFailure = null
            throw it
        }
        if (!isReachable() || isDisconnectedFromGroup) return JoinResult.Failed("disconnected")
        data.memberSeenAtMs[member] = data.timer.nowMs()
        data.memberSeenAtMs.values.removeIf { data.timer.nowMs() - it > ttlMs }
        return JoinResult.Joined(1, data.memberSeenAtMs.keys.first() == member)
    }

    override suspend fun members(): Set<String>? {
        delay(callMs)
        if (!isReachable()) return null
        return data.memberSeenAtMs.keys
            .take(data.maxListedMembers)
            .toSet()
    }

    override suspend fun leave(member: String) {
        data.memberSeenAtMs -= member
    }

    private fun isReachable() = !isDisconnected && !data.isDown
}
