package yuccaflow.entry.keys.balance

import yuccaflow.entry.keys.Assignment
import yuccaflow.entry.keys.FIRST_KEY
import yuccaflow.entry.keys.LAST_KEY
import yuccaflow.entry.keys.TargetIncarnation
import kotlin.math.abs
import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.sqrt

/**
 * A target that may own keys.
 *
 * @property weight the share of the load that the target should carry, relative to the other targets.
 * @property mayGainKeys whether the target may be assigned more keys.
 * @property mayKeepKeys whether the target may keep the keys that it owns.
 */
internal data class CandidateTarget(
    val holder: TargetIncarnation,
    val weight: Double,
    val mayGainKeys: Boolean,
    val mayKeepKeys: Boolean,
)

/** A change of ownership: [holder] gets the keys [from]..[to], which are part of the assignment [former] or, if it is null, of none. */
internal data class KeyMove(
    val service: String,
    val from: Int,
    val to: Int,
    val holder: TargetIncarnation,
    val former: Assignment?,
)

/**
 * Computes which keys of [service] change their owner. It has no side effects and depends on its arguments only.
 *
 * Load is measured in the requests of [sample]. The relative load of a target is its load divided by its weight.
 *
 * @param sample the sorted keys of recent requests.
 * @property busyLoad the relative load above which a target counts as busy. Targets below it keep their keys, however uneven the load is.
 */
internal class KeyRangeBalancer(
    private val service: String,
    private val targets: List<CandidateTarget>,
    assignments: List<Assignment>,
    sample: IntArray,
    private val busyLoad: Double,
) {
    private class Segment(
        val from: Int,
        val to: Int,
        val holder: TargetIncarnation?,
        val former: Assignment?,
    )

    private val keyLoad = SampledKeyLoad(sample)
    private val targetByHolder = targets.associateBy { it.holder }
    private val current = assignments.sortedBy { it.from }
    private val load = HashMap<TargetIncarnation, Double>()

    init {
        current.filter { it.holder in targetByHolder }.forEach { add(it.holder, loadOf(it.from, it.to)) }
    }

    /** Returns the moves that give every key without an eligible owner to a target that may gain keys, the least loaded target first. */
    fun necessaryMoves(): List<KeyMove> {
        if (targets.none { it.mayGainKeys }) return emptyList()
        return unownedRanges().flatMap { range -> split(range).map { (from, to) -> moveToLeastLoaded(from, to, range.former) } }
    }

    /** Returns a few moves that take load off busy targets, or an empty list if the gain would not justify the cost of moving keys. */
    fun balancingMoves(): List<KeyMove> {
        if (current.any { it.isMoving }) return emptyList()
        val segments = current.mapTo(ArrayList()) { Segment(it.from, it.to, it.holder, it) }
        val moves = ArrayList<KeyMove>()
        while (moves.size < MAX_MOVES) moves += balancingMove(segments) ?: break
        return moves
    }

    private fun balancingMove(segments: MutableList<Segment>): KeyMove? {
        val receivers = targets.filter { it.mayGainKeys }
        val owners = targets.filter { it.mayKeepKeys }
        if (receivers.size < 2) return null
        val mean = load.values.sum() / owners.sumOf { it.weight }
        val hottest = owners.maxBy { relativeLoad(it) }
        val coldest = receivers.minBy { relativeLoad(it) }
        val isOverloaded = relativeLoad(hottest) > maxOf(mean * MIN_IMBALANCE, busyLoad)
        if (hottest == coldest || !isOverloaded || !isSignificant(hottest, mean)) return null
        // The moved load counts by the weight of each target, so that both end up with the same relative load.
        val excess = (relativeLoad(hottest) - relativeLoad(coldest)) / (1 / hottest.weight + 1 / coldest.weight)
        val (from, to, segment) = bestCut(segments.filter { it.holder == hottest.holder }, excess) ?: return null
        segments -= segment
        if (segment.from < from) segments += Segment(segment.from, from - 1, segment.holder, segment.former)
        if (segment.to > to) segments += Segment(to + 1, segment.to, segment.holder, segment.former)
        add(hottest.holder, -loadOf(from, to))
        add(coldest.holder, loadOf(from, to))
        return KeyMove(service, from, to, coldest.holder, segment.former)
    }

    /** Returns whether the load of [target] exceeds the [mean] by more than the random variation of a sample of this size. */
    private fun isSignificant(target: CandidateTarget, mean: Double): Boolean {
        val own = load[target.holder] ?: 0.0
        return own - mean * target.weight > MIN_DEVIATIONS * sqrt(own)
    }

    private fun unownedRanges(): List<Segment> {
        val ranges = ArrayList<Segment>()
        var next = FIRST_KEY
        for (assignment in current) {
            if (assignment.from > next) ranges += Segment(next, assignment.from - 1, null, null)
            if (targetByHolder[assignment.holder]?.mayKeepKeys != true) ranges += Segment(assignment.from, assignment.to, null, assignment)
            next = assignment.to + 1
        }
        if (next <= LAST_KEY) ranges += Segment(next, LAST_KEY, null, null)
        return ranges
    }

    /**
     * Splits an unowned range into [PIECES_PER_FAIR_LOAD] pieces for each fair load of a target that it carries, and into at most as many
     * pieces as there are targets to receive them.
     */
    private fun split(range: Segment): List<Pair<Int, Int>> {
        val receiverCount = targets.count { it.mayGainKeys }
        val fairLoad = loadOf(FIRST_KEY, LAST_KEY) / max(1, receiverCount)
        val whole = loadOf(range.from, range.to)
        val count = ceil(whole / fairLoad * PIECES_PER_FAIR_LOAD).toInt().coerceIn(1, receiverCount)
        val pieces = ArrayList<Pair<Int, Int>>()
        var from = range.from
        repeat(count - 1) {
            val to = cutPoint(from, range.to, whole / count)
            if (to >= range.to) return@repeat
            pieces += from to to
            from = to + 1
        }
        pieces += from to range.to
        return pieces
    }

    /** Returns the last key of the smallest range that starts at [from] and carries at least [share] of load, or [to] if there is none. */
    private fun cutPoint(from: Int, to: Int, share: Double): Int {
        var low = from
        var high = to
        while (low < high) {
            val mid = (low + high) / 2
            if (loadOf(from, mid) < share) low = mid + 1 else high = mid
        }
        return low
    }

    private fun moveToLeastLoaded(from: Int, to: Int, former: Assignment?): KeyMove {
        val added = loadOf(from, to)
        val target = targets.filter { it.mayGainKeys }.minBy { ((load[it.holder] ?: 0.0) + added) / it.weight }
        add(target.holder, added)
        return KeyMove(service, from, to, target.holder, former)
    }

    /**
     * Returns the keys to move: the first or last keys of one of [hottestSegments], or the whole segment, whichever is closest to [excess].
     * Returns null if the closest one would move far more than [excess].
     */
    private fun bestCut(hottestSegments: List<Segment>, excess: Double): Triple<Int, Int, Segment>? {
        val cuts = hottestSegments.flatMap { segment ->
            val whole = loadOf(segment.from, segment.to)
            if (whole <= excess * MAX_WHOLE_RANGE_TO_EXCESS) return@flatMap listOf(Triple(segment.from, segment.to, segment))
            val end = cutPoint(segment.from, segment.to, excess)
            val start = cutPoint(segment.from, segment.to, whole - excess) + 1
            listOf(Triple(segment.from, end, segment), Triple(start.coerceAtMost(segment.to), segment.to, segment))
        }
        val best = cuts.minByOrNull { (from, to) -> abs(loadOf(from, to) - excess) } ?: return null
        val moved = loadOf(best.first, best.second)
        return best.takeIf { moved > 0 && moved < excess * MAX_MOVED_TO_EXCESS }
    }

    private fun relativeLoad(target: CandidateTarget): Double = (load[target.holder] ?: 0.0) / target.weight

    private fun add(holder: TargetIncarnation, amount: Double) {
        load.merge(holder, amount, Double::plus)
    }

    private fun loadOf(from: Int, to: Int): Double = keyLoad.of(from, to)

    private companion object {
        const val PIECES_PER_FAIR_LOAD = 3.0

        /** The ratio of a target's relative load to the mean above which keys are moved away from it. */
        const val MIN_IMBALANCE = 1.3

        /** Standard deviations by which a load must exceed the mean. */
        const val MIN_DEVIATIONS = 2.0
        const val MAX_MOVES = 3

        /** A range whose load is at most this multiple of the excess is moved as a whole. */
        const val MAX_WHOLE_RANGE_TO_EXCESS = 1.1

        /** No keys are moved if their load is at least this multiple of the excess. */
        const val MAX_MOVED_TO_EXCESS = 1.7
    }
}
