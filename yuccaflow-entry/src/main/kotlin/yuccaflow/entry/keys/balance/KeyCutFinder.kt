package yuccaflow.entry.keys.balance

import yuccaflow.entry.keys.Assignment

/** Keys of [assignment] that no move of the current round has taken. */
internal class KeySegment(
    val assignment: Assignment,
    val from: Int,
    val to: Int,
)

/** The keys [from]..[to] of [segment], which are to be moved. */
internal class KeyCut(
    val segment: KeySegment,
    val from: Int,
    val to: Int,
) {
    val width: Int get() = to - from + 1

    /** The number of ranges that the move adds to the service. */
    val addedRanges: Int get() = remainders().size

    /** Returns the parts of [segment] that stay. */
    fun remainders(): List<KeySegment> = listOfNotNull(
        KeySegment(segment.assignment, segment.from, from - 1).takeIf { it.from <= it.to },
        KeySegment(segment.assignment, to + 1, segment.to).takeIf { it.from <= it.to },
    )
}

/**
 * Finds the keys to move to one receiver: adjacent keys of about the load [wanted], as few as possible.
 *
 * @property minLoad no cut with less load is returned.
 * @property maxWidth no cut of more keys is returned.
 * @property maxAddedRanges no cut that adds more ranges is returned.
 * @property excludedKeys keys that must not move.
 */
internal class KeyCutFinder(
    private val keyLoad: SampledKeyLoad,
    private val wanted: Double,
    private val minLoad: Double,
    private val maxWidth: Int,
    private val maxAddedRanges: Int,
    private val excludedKeys: List<IntRange>,
) {
    private val mostLoad = wanted * (1 + TOLERANCE)
    private val enoughLoad = wanted * (1 - TOLERANCE)
    private var best: KeyCut? = null
    private var bestLoad = 0.0

    /** Returns the best cut of [segments], or null if there is none. */
    fun bestOf(segments: List<KeySegment>): KeyCut? {
        segments.forEach(::search)
        return best
    }

    /** Slides a window over the sampled keys of [segment]. A single key with too much load is never part of it. */
    private fun search(segment: KeySegment) {
        val counts = keyLoad.countsIn(segment.from, segment.to)
        var end = 0
        var sum = 0.0
        for (start in counts.indices) {
            if (end < start) {
                end = start
                sum = 0.0
            }
            while (end < counts.size && fits(counts, start, end, sum)) sum += counts[end++].count
            if (end > start) {
                consider(cutOf(segment, counts, start, end - 1), sum)
                if (start == 0 && end == counts.size) consider(KeyCut(segment, segment.from, segment.to), sum)
                sum -= counts[start].count
            }
        }
    }

    private fun fits(counts: List<KeyCount>, start: Int, end: Int, sum: Double): Boolean {
        val limit = if (sum < enoughLoad) mostLoad else wanted
        return sum + counts[end].count <= limit && counts[end].key - counts[start].key < maxWidth
    }

    /** Returns the cut from one sampled key to another, extended to the ends of [segment] if only a few idle keys would be left there. */
    private fun cutOf(segment: KeySegment, counts: List<KeyCount>, first: Int, last: Int): KeyCut {
        val from = counts[first].key
        val to = counts[last].key
        val takesHead = first == 0 && from - segment.from <= RANGE_COST_KEYS
        val takesTail = last == counts.lastIndex && segment.to - to <= RANGE_COST_KEYS
        return KeyCut(segment, if (takesHead) segment.from else from, if (takesTail) segment.to else to)
    }

    private fun consider(cut: KeyCut, load: Double) {
        if (load < minLoad || cut.width > maxWidth || cut.addedRanges > maxAddedRanges) return
        if (excludedKeys.any { cut.from <= it.last && it.first <= cut.to }) return
        if (!isBetter(cut, load)) return
        best = cut
        bestLoad = load
    }

    private fun isBetter(cut: KeyCut, load: Double): Boolean {
        val other = best ?: return true
        val isEnough = load >= enoughLoad
        val isOtherEnough = bestLoad >= enoughLoad
        return when {
            isEnough != isOtherEnough -> isEnough
            isEnough -> costOf(cut) < costOf(other)
            else -> load > bestLoad
        }
    }

    private fun costOf(cut: KeyCut): Int = cut.width + cut.addedRanges * RANGE_COST_KEYS

    private companion object {
        /** Relative difference from the wanted load up to which a cut is as good as an exact one. */
        const val TOLERANCE = 0.25

        /** The number of keys that may be moved in addition to avoid another range, which would cost renewals and memory. */
        const val RANGE_COST_KEYS = 16
    }
}
