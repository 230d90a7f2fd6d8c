package yuccaflow.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** The ranges of one service in key order. Ranges never overlap, but there may be gaps between them. */
internal class ServiceRanges(
    val entries: PersistentList<RangeEntry>,
) {
    /** The entry whose range contains [key], or null. */
    fun containing(key: String): RangeEntry? {
        val index = indexAtOrBefore(key)
        return entries.getOrNull(index)?.takeIf { key in it.range }
    }

    /** The entry whose range is exactly [range], or null. */
    fun matching(range: KeyRange): RangeEntry? = entries.getOrNull(indexAtOrBefore(range.from))?.takeIf { it.range == range }

    /** An entry that shares a key with [range], or null. */
    fun overlapping(range: KeyRange): RangeEntry? {
        val index = indexAtOrBefore(range.from)
        return listOfNotNull(entries.getOrNull(index), entries.getOrNull(index + 1)).firstOrNull { it.range.overlaps(range) }
    }

    /** Adds [entry], which must overlap no other entry. */
    fun plus(entry: RangeEntry): ServiceRanges = ServiceRanges(entries.add(indexAtOrBefore(entry.range.from) + 1, entry))

    /** Replaces the entry of the same range by [entry]. */
    fun replacing(entry: RangeEntry): ServiceRanges = ServiceRanges(entries.set(indexAtOrBefore(entry.range.from), entry))

    /** Removes the entry whose range is exactly [range]. */
    fun minus(range: KeyRange): ServiceRanges = ServiceRanges(entries.removeAt(indexAtOrBefore(range.from)))

    /** Index of the last entry that starts at or before [key], or -1. */
    private fun indexAtOrBefore(key: String): Int {
        val found = entries.binarySearch { compareKeys(it.range.from, key) }
        return if (found >= 0) found else -found - 2
    }

    companion object {
        val Empty = ServiceRanges(persistentListOf())

        fun of(entries: List<RangeEntry>): ServiceRanges =
            ServiceRanges(entries.sortedWith { left, right -> compareKeys(left.range.from, right.range.from) }.toPersistentList())
    }
}
