package yuccaflow.entry.view

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import yuccaflow.entry.store.KeyedAppendResult
import yuccaflow.entry.store.KeyedChange
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.SnapshotResult
import yuccaflow.entry.store.StreamReadResult

private fun record(key: String, value: String?, offset: Long) = KeyedRecord(key, value?.toByteArray(), offset)

/** A store that returns [snapshot] and then [reads] in order. */
private class ScriptedStore(
    private val snapshot: () -> SnapshotResult,
    vararg reads: StreamReadResult,
) : KeyedStore {
    private val remaining = ArrayDeque(reads.toList())
    val readFrom = ArrayList<Long>()

    override suspend fun snapshot(stream: KeyedStream, onArriving: () -> Unit): SnapshotResult = snapshot.invoke()

    override suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long, onArriving: (Long) -> Unit): StreamReadResult {
        readFrom += fromOffset
        return remaining.removeFirst()
    }

    override suspend fun append(stream: KeyedStream, changes: List<KeyedChange>, expectedEndOffset: Long?): KeyedAppendResult =
        error("a state reader must not append")
}

@DisplayName("Reading the latest records")
class NewestRecordsTest {
    private val mixedPages = SnapshotResult.Snapshot(listOf(record("a", "old", 1), record("c", "kept", 3)), 4)

    /** Guards against a range that is listed twice or not at all because the pages of a snapshot were read at different times. */
    @Test
    fun `combines the pages into a consistent state`() = runTest {
        val changes = listOf(record("a", null, 4), record("b", "new", 5))
        val store =
            ScriptedStore({ mixedPages }, StreamReadResult.Read(changes, 7), StreamReadResult.Read(listOf(record("b", "newer", 6)), 7))
        val newest = (store.readNewest(KeyedStream.ROUTERS) as StateResult.Known).state
        expectThat(newest.records.map { "${it.key}=${it.value?.decodeToString()}" }).containsExactly("b=newer", "c=kept")
        expectThat(newest.endOffset).isEqualTo(7)
        expectThat(store.readFrom).containsExactly(4L, 6L)
    }

    /** Guards against a partial state that is presented as complete. */
    @Test
    fun `fails if the records appended meanwhile cannot be read`() = runTest {
        for (read in listOf(StreamReadResult.Expired, StreamReadResult.Failed("status 503"))) {
            expectThat(ScriptedStore({ mixedPages }, read).readNewest(KeyedStream.ROUTERS)).isA<StateResult.Unreadable>()
        }
    }

    /** Guards against a stack trace instead of an error message if the store returns values in an unexpected encoding. */
    @Test
    fun `fails on values that cannot be decoded`() = runTest {
        val store = ScriptedStore({ throw IllegalArgumentException("Illegal base64 character") })
        expectThat(store.readNewest(KeyedStream.ROUTERS))
            .isEqualTo(StateResult.Unreadable("a value cannot be decoded: Illegal base64 character"))
    }
}
