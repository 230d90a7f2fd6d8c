package yuccaflow.entry.balance

/**
 * An announcement that a target, or the zone of a target, must get no requests after some time: a target drains, its entry is removed, or
 * operators empty its zone.
 *
 * What must have happened by then is reckoned from [madeAfterMs], because this router may have read the announcement late.
 *
 * @property madeAfterMs the earliest time at which the announcement may have been made.
 * @property readAtMs when this router read it.
 */
internal data class Announcement(
    val madeAfterMs: Long,
    val readAtMs: Long,
) {
    /** Returns the announcement that results from this one and [other], if there is one: the earliest of all times. */
    fun orEarlier(other: Announcement?): Announcement =
        if (other == null) this else Announcement(minOf(madeAfterMs, other.madeAfterMs), minOf(readAtMs, other.readAtMs))

    companion object {
        /** Returns the announcement in a record that is read at [nowMs] and was written after [writtenAfterMs], or at any time if null. */
        fun read(writtenAfterMs: Long?, nowMs: Long) = Announcement(writtenAfterMs ?: LONG_AGO_MS, nowMs)

        /** Distant enough to be out of date, and near enough to zero for differences not to overflow. */
        private const val LONG_AGO_MS = Long.MIN_VALUE / 2
    }
}
