package yuccaflow.entry.store

/**
 * Receives the records of a stream in the order of their offsets.
 *
 * `writtenAfterMs` is the start of the last read that reached the end of the stream before these records: the earliest time at which the
 * new ones among them may have been written, or null if they may be older than this process.
 */
internal interface StreamListener {
    /**
     * Called before the first snapshot that was read in [era] of the store, unless that is 0. The snapshot may lack records that were
     * passed on before, and their offsets may be issued again.
     */
    fun onNewEra(era: Long) = Unit

    /** Replaces the entire state with [records]. */
    fun onSnapshot(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long? = null)

    /** Applies the next [records]. The stream has then been read up to [endOffset]. */
    fun onRecords(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long? = null)
}
