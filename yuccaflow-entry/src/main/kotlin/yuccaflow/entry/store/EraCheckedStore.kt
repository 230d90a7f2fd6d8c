package yuccaflow.entry.store

/**
 * [KeyedStore] that learns the era of each answer of [store] and fails calls whose answer is of an older era than the highest known one.
 * An append that may have met another era than the one in which it was decided has an unknown outcome.
 */
internal class EraCheckedStore(
    private val store: KeyedStore,
    private val storeEra: StoreEra,
) : KeyedStore {
    override suspend fun snapshot(stream: KeyedStream, onArriving: () -> Unit): SnapshotResult {
        val result = store.snapshot(stream, onArriving)
        if (result is SnapshotResult.Snapshot && isOutdated(result.era, stream)) return SnapshotResult.Failed(OUTDATED)
        return result
    }

    override suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long, onArriving: (Long) -> Unit): StreamReadResult {
        val result = store.read(stream, fromOffset, waitMs, onArriving)
        if (result is StreamReadResult.Read && isOutdated(result.era, stream)) return StreamReadResult.Failed(OUTDATED)
        return result
    }

    override suspend fun append(stream: KeyedStream, changes: List<KeyedChange>, expectedEndOffset: Long?): KeyedAppendResult {
        val decidedIn = storeEra.current
        val result = store.append(stream, changes, expectedEndOffset)
        val era = when (result) {
            is KeyedAppendResult.Appended -> result.era
            is KeyedAppendResult.Conflict -> result.era
            is KeyedAppendResult.NotAppended, is KeyedAppendResult.Unknown -> return result
        }
        storeEra.learn(era, EraSource.STORE, stream)
        val isOfOneEra = era == decidedIn && storeEra.current == decidedIn
        return if (isOfOneEra) result else KeyedAppendResult.Unknown("decided in era $decidedIn of the store, answered in era $era")
    }

    private fun isOutdated(era: Long, stream: KeyedStream): Boolean {
        storeEra.learn(era, EraSource.STORE, stream)
        return era < storeEra.current
    }

    private companion object {
        const val OUTDATED = "the answer is of an older era of the store"
    }
}
