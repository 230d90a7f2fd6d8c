package yuccaflow.entry.store

/** Tells how recent this router's view of a stream is. */
internal interface StreamFreshness {
    /**
     * The latest time at which all records that had been appended are known to have been passed on, or null if there is none. It is also
     * null if the machine was suspended since, because the time that has passed is not known then.
     */
    val freshAtMs: Long?

    /** Returns whether the view was complete at some time in the last [maxAgeMs] and no later record is known to exist. */
    fun isFresh(maxAgeMs: Long): Boolean

    /**
     * Returns whether the view lacks records that may be older than [maxAgeMs]: it was not complete at any time in the last [maxAgeMs], and
     * within that time the store has shown that there are later records, to this router or to one that has told it. A view that is only old
     * is not outdated: in an outage of the store nobody knows of later records.
     */
    fun isOutdated(maxAgeMs: Long): Boolean

    /**
     * Waits up to [timeoutMs] until [isFresh]. Returns at once before the first snapshot, while the store cannot be reached, and if such a
     * wait has timed out since the view was last recent.
     */
    suspend fun awaitFresh(maxAgeMs: Long, timeoutMs: Long)
}
