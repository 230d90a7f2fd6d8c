package yuccaflow.entry.keys

import kotlin.math.abs
import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.sqrt

/**
 * A target that may own keys.
 *
 * @property weight its share of the work, relative to the others.
 * @property isOpen whether it may be given more keys.
 * @property isStaying whether it may keep what it has.
 */
internal data class KeyTarget(
    val holder: TargetIncarnation,
    val weight: Double,
    val isOpen: Boolean,
    val isStaying: Boolean,
)

/** A change of ownership: the keys [from]..[to] of one present assignment, or of none, get [holder]. */
internal data class KeyMove(
    val service: String,
    val from: Int,
    val to: Int,
    val holder: TargetIncarnation,
    val former: Assignment?,
)

/**
 * Decides which keys change hands. Pure: it looks at its arguments only.
 *
 * Load is counted in requests of [sample]; a target's load relative to its weight is its share of the work.
 *
 * @property busyLoad relative load from which on a target counts as busy. Below it, no keys move for balance.
 */
internal class KeyPlan(
    private val service: String,
    private val targets: List<KeyTarget>,
    assignments: List<Assignment>,
    private val sample: IntArray,
    private val busyLoad: Double,
) {
    private class Part(
        val from: Int,
        val to: Int,
        val holder: TargetIncarnation?,
        val former: Assignment?,
    )

    private val byHolder = targets.associateBy { it.holder }
    private val present = assignments.sortedBy { it.from }
    private val load = HashMap<TargetIncarnation, Double>()

    init {
        present.filter { it.holder in byHolder }.forEach { add(it.holder, loadOf(it.from, it.to)) }
    }

    /** Keys without an owner that may keep them are spread over the open targets, the least loaded first. */
    fun necessaryMoves(): List<KeyMove> {
        if (targets.none { it.isOpen }) return emptyList()
        return orphans().flatMap { orphan -> pieces(orphan).map { (from, to) -> moveToLeastLoaded(from, to, orphan.former) } }
    }

    /** A few moves that take load off busy targets, or an empty list when that is not worth its cost. */
    fun balancingMoves(): List<KeyMove> {
        if (present.any { it.isMoving }) return emptyList()
        val parts = present.mapTo(ArrayList()) { Part(it.from, it.to, it.holder, it) }
        val moves = ArrayList<KeyMove>()
        while (moves.size < MOST_MOVES) moves += balancingMove(parts) ?: break
        return moves
    }

    private fun balancingMove(parts: MutableList<Part>): KeyMove? {
        val open = targets.filter { it.isOpen }
        val staying = targets.filter { it.isStaying }
        if (open.size < 2) return null
        val mean = load.values.sum() / staying.sumOf { it.weight }
        val hottest = staying.maxBy { relativeLoad(it) }
        val coolest = open.minBy { relativeLoad(it) }
        val isWorthIt = relativeLoad(hottest) > maxOf(mean * IMBALANCE_TO_MOVE, busyLoad)
        if (hottest == coolest || !isWorthIt || !isSignificant(hottest, mean)) return null
        // What is moved weighs differently on the two: both end at the same relative load.
        val excess = (relativeLoad(hottest) - relativeLoad(coolest)) / (1 / hottest.weight + 1 / coolest.weight)
        val (from, to, part) = bestCut(parts.filter { it.holder == hottest.holder }, excess) ?: return null
        parts -= part
        if (part.from < from) parts += Part(part.from, from - 1, part.holder, part.former)
        if (part.to > to) parts += Part(to + 1, part.to, part.holder, part.former)
        add(hottest.holder, -loadOf(from, to))
        add(coolest.holder, loadOf(from, to))
        return KeyMove(service, from, to, coolest.holder, part.former)
    }

    /** Tells whether the load of [target] is above the [mean] by more than chance brings about in a sample of its size. */
    private fun isSignificant(target: KeyTarget, mean: Double): Boolean {
        val own = load[target.holder] ?: 0.0
        return own - mean * target.weight > DEVIATIONS * sqrt(own)
    }

    private fun orphans(): List<Part> {
        val orphans = ArrayList<Part>()
        var next = FIRST_KEY
        for (assignment in present) {
            if (assignment.from > next) orphans += Part(next, assignment.from - 1, null, null)
            if (byHolder[assignment.holder]?.isStaying != true) orphans += Part(assignment.from, assignment.to, null, assignment)
            next = assignment.to + 1
        }
        if (next <= LAST_KEY) orphans += Part(next, LAST_KEY, null, null)
        return orphans
    }

    /** Cuts an orphaned range so that no piece is larger than a part of one target's fair load. */
    private fun pieces(orphan: Part): List<Pair<Int, Int>> {
        val open = targets.count { it.isOpen }
        val fairLoad = loadOf(FIRST_KEY, LAST_KEY) / max(1, open)
        val whole = loadOf(orphan.from, orphan.to)
        val count = ceil(whole / fairLoad * PIECES_PER_FAIR_LOAD).toInt().coerceIn(1, open)
        val pieces = ArrayList<Pair<Int, Int>>()
        var from = orphan.from
        repeat(count - 1) {
            val to = cutAfter(from, orphan.to, whole / count)
            if (to >= orphan.to) return@repeat
            pieces += from to to
            from = to + 1
        }
        pieces += from to orphan.to
        return pieces
    }

    /** The last key of the part that begins at [from] and carries [wanted] load. */
    private fun cutAfter(from: Int, to: Int, wanted: Double): Int {
        var low = from
        var high = to
        while (low < high) {
            val middle = (low + high) / 2
            if (loadOf(from, middle) < wanted) low = middle + 1 else high = middle
        }
        return low
    }

    private fun moveToLeastLoaded(from: Int, to: Int, former: Assignment?): KeyMove {
        val added = loadOf(from, to)
        val target = targets.filter { it.isOpen }.minBy { ((load[it.holder] ?: 0.0) + added) / it.weight }
        add(target.holder, added)
        return KeyMove(service, from, to, target.holder, former)
    }

    /** The keys at an end of one of the [own] parts whose load is nearest to [excess]. */
    private fun bestCut(own: List<Part>, excess: Double): Triple<Int, Int, Part>? {
        val cuts = own.flatMap { part ->
            val whole = loadOf(part.from, part.to)
            if (whole <= excess * WHOLE_RANGE_TOLERANCE) return@flatMap listOf(Triple(part.from, part.to, part))
            val end = cutAfter(part.from, part.to, excess)
            val start = cutAfter(part.from, part.to, whole - excess) + 1
            listOf(Triple(part.from, end, part), Triple(start.coerceAtMost(part.to), part.to, part))
        }
        val best = cuts.minByOrNull { (from, to) -> abs(loadOf(from, to) - excess) } ?: return null
        val moved = loadOf(best.first, best.second)
        return best.takeIf { moved > 0 && moved < excess * MOST_OF_EXCESS }
    }

    private fun relativeLoad(target: KeyTarget): Double = (load[target.holder] ?: 0.0) / target.weight

    private fun add(holder: TargetIncarnation, amount: Double) {
        load.merge(holder, amount, Double::plus)
    }

    /** The load of the keys [from]..[to]: sampled requests, and the width of the range as a guess at what no sample shows. */
    private fun loadOf(from: Int, to: Int): Double {
        val sampled = upperIndex(to) - upperIndex(from - 1)
        return sampled + (to - from + 1) * GUESSED_REQUESTS / (LAST_KEY + 1)
    }

    /** The number of sampled keys up to [key]. */
    private fun upperIndex(key: Int): Int {
        var low = 0
        var high = sample.size
        while (low < high) {
            val middle = (low + high) / 2
            if (sample[middle] <= key) low = middle + 1 else high = middle
        }
        return low
    }

    private companion object {
        /** Requests over all keys that are assumed beside the sampled ones. */
        const val GUESSED_REQUESTS = 10.0
        const val PIECES_PER_FAIR_LOAD = 3.0
        const val IMBALANCE_TO_MOVE = 1.3
        const val DEVIATIONS = 2.0
        const val MOST_MOVES = 3
        const val WHOLE_RANGE_TOLERANCE = 1.1
        const val MOST_OF_EXCESS = 1.7
    }
}
