package yuccaflow.entry.store

/** Tells how recent this router's view of a stream is. */
internal interface StreamFreshness {
    /** The latest time at which all records that had been appended are known to have been passed on, or null if there is none. */
    val freshAtMs: Long?

    /** Returns whether the view was complete at some time in the last [maxAgeMs]. */
    fun isFresh(maxAgeMs: Long): Boolean

    /** Waits up to [timeoutMs] until [isFresh], but not while the store cannot be reached. */
    suspend fun awaitFresh(maxAgeMs: Long, timeoutMs: Long)
}
