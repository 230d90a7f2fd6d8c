package yuccaflow.entry.keys.balance

import yuccaflow.entry.keys.Assignment
import yuccaflow.entry.keys.LAST_KEY
import yuccaflow.entry.keys.TargetIncarnation
import kotlin.math.max
import kotlin.math.min
import kotlin.math.sqrt

/**
 * The moves of one balancing round.
 *
 * @property movedKeyShare the share of all keys that move.
 * @property hottestBefore the highest relative load of a target before the round, as a multiple of the mean.
 * @property hottestAfter the same after the round, as predicted.
 */
internal class BalanceRound(
    val moves: List<KeyMove>,
    val movedKeyShare: Double,
    val hottestBefore: Double,
    val hottestAfter: Double,
)

/**
 * Computes the moves that balance the load of [service] under load control. In place of [KeyRangeBalancer.balancingMoves] it spreads
 * hot keys over many targets in one round: 35% of the requests on 200 adjacent keys are dozens of times what one target can handle.
 *
 * A round levels the load: it lowers the busy targets to the lowest relative load that [MAX_MOVES] moves can reach, and fills the targets
 * with the most room up to it. Among cuts of the right load the narrowest is moved, because moves are charged by the number of keys. Ranges
 * that are moving stay as they are, and their load counts for the new holder.
 *
 * @param sample the sorted keys of recent requests.
 * @property busyLoad the relative load above which a target counts as busy.
 */
internal class KeyLoadSpreader(
    private val service: String,
    targets: List<CandidateTarget>,
    assignments: List<Assignment>,
    sample: IntArray,
    private val busyLoad: Double,
    private val recentMoves: RecentMoves,
) {
    private val keyLoad = SampledKeyLoad(sample)
    private val owners = targets.filter { it.mayKeepKeys }
    private val receivers = targets.filter { it.mayGainKeys }
    private val load = HashMap<TargetIncarnation, Double>()
    private val segments = HashMap<TargetIncarnation, MutableList<KeySegment>>()
    private val mean: Double
    private var keysLeft = MAX_MOVED_KEYS
    private var rangesLeft = max(0, targets.size * MAX_RANGES_PER_TARGET - assignments.size)

    init {
        val holders = targets.map { it.holder }.toSet()
        for (assignment in assignments.filter { it.holder in holders }) {
            load.merge(assignment.holder, keyLoad.of(assignment.from, assignment.to), Double::plus)
            if (assignment.isMoving) continue
            segments.getOrPut(assignment.holder) { ArrayList() } += KeySegment(assignment, assignment.from, assignment.to)
        }
        mean = if (owners.isEmpty()) 0.0 else owners.sumOf { loadOf(it) } / owners.sumOf { it.weight }
    }

    /** Computes the round. Its list of moves is empty if no move would remove more load than random variation explains. */
    fun round(): BalanceRound {
        val before = hottest()
        val moves = ArrayList<KeyMove>()
        val sources = owners.filter(::isOverloaded).mapTo(ArrayList()) { Source(it) }
        if (receivers.isEmpty() || sources.isEmpty()) return BalanceRound(moves, 0.0, before, before)
        val level = attainableLevel(sources)
        while (moves.size < MAX_MOVES) {
            val source = sources.maxByOrNull { relativeLoad(it.target) } ?: break
            val move = moveFrom(source, level)
            if (move == null) sources -= source else moves += move
        }
        return BalanceRound(moves, moves.sumOf { it.to - it.from + 1 }.toDouble() / (LAST_KEY + 1), before, hottest())
    }

    /** A target that is to lose load. */
    private inner class Source(
        val target: CandidateTarget,
    ) {
        private val counts = segments[target.holder].orEmpty().flatMap { keyLoad.countsIn(it.from, it.to) }
        private val fixedLoad = loadOf(target) - counts.sumOf { it.count }
        private val heaviestKey = counts.maxOfOrNull { it.count }?.toDouble() ?: 0.0

        /** A move of less load than the standard deviation of a typical load would be a reaction to random variation. */
        val minPiece = max(1.0, sqrt(mean * target.weight))

        /**
         * Returns the load that [target] should lose to come down to [level]. A key that alone exceeds the level cannot be split, so it
         * stays and everything else on the target counts as excess.
         */
        fun excessOver(level: Double): Double {
            val capacity = level * target.weight
            val keptLoad = fixedLoad + if (heaviestKey > capacity) heaviestKey else 0.0
            return loadOf(target) - max(capacity, keptLoad)
        }
    }

    /**
     * Returns the lowest relative load to which [sources] can be lowered if each of [MAX_MOVES] receivers is filled up to the same level.
     */
    private fun attainableLevel(sources: List<Source>): Double {
        var low = mean
        var high = sources.maxOf { relativeLoad(it.target) }
        repeat(LEVEL_STEPS) {
            val level = (low + high) / 2
            val rooms = receivers.map { roomBelow(level, it) }.sortedDescending()
            val room = rooms.take(MAX_MOVES).sum()
            if (sources.sumOf { max(0.0, it.excessOver(level)) } > room) low = level else high = level
        }
        return high
    }

    private fun moveFrom(source: Source, level: Double): KeyMove? {
        val excess = source.excessOver(level)
        if (excess < source.minPiece) return null
        val candidates = receivers.filter { it != source.target && roomBelow(level, it) >= source.minPiece }
        return candidates
            .sortedByDescending { roomBelow(level, it) }
            .take(MAX_RECEIVERS_TRIED)
            .firstNotNullOfOrNull { move(source, it, min(excess, roomBelow(level, it))) }
    }

    private fun move(source: Source, receiver: CandidateTarget, wanted: Double): KeyMove? {
        val held = segments[source.target.holder] ?: return null
        val excludedKeys = recentMoves.leftBy(service, receiver.holder)
        val finder = KeyCutFinder(keyLoad, wanted, source.minPiece, keysLeft, rangesLeft, excludedKeys)
        val cut = finder.bestOf(held) ?: return null
        val moved = keyLoad.of(cut.from, cut.to)
        val receiverAfter = (loadOf(receiver) + moved) / receiver.weight
        if (receiverAfter >= relativeLoad(source.target) * MAX_RECEIVER_TO_SOURCE) return null
        held -= cut.segment
        held += cut.remainders()
        keysLeft -= cut.width
        rangesLeft -= cut.addedRanges
        load.merge(source.target.holder, -moved, Double::plus)
        load.merge(receiver.holder, moved, Double::plus)
        return KeyMove(service, cut.from, cut.to, receiver.holder, cut.segment.assignment)
    }

    private fun isOverloaded(target: CandidateTarget): Boolean {
        val excess = loadOf(target) - mean * target.weight
        return relativeLoad(target) > max(mean * MIN_IMBALANCE, busyLoad) && excess > MIN_DEVIATIONS * sqrt(loadOf(target))
    }

    private fun roomBelow(level: Double, target: CandidateTarget): Double = max(0.0, level * target.weight - loadOf(target))

    private fun hottest(): Double = if (mean > 0) owners.maxOf { relativeLoad(it) } / mean else 0.0

    private fun relativeLoad(target: CandidateTarget): Double = loadOf(target) / target.weight

    private fun loadOf(target: CandidateTarget): Double = load[target.holder] ?: 0.0

    private companion object {
        const val MAX_MOVES = 16

        /** Moves are charged by their share of all keys. */
        const val MAX_MOVED_KEY_SHARE = 1.0 / 32
        const val MAX_MOVED_KEYS = ((LAST_KEY + 1) * MAX_MOVED_KEY_SHARE).toInt()

        /** The grant of each range is renewed every two seconds, so that the work of the planner grows with the ranges. */
        const val MAX_RANGES_PER_TARGET = 8

        /** The ratio of a target's relative load to the mean above which keys are moved away from it. */
        const val MIN_IMBALANCE = 1.3

        /**
         * Standard deviations by which a load must exceed the mean. With 2 of them, random variation would make some of 120 evenly loaded
         * targets look overloaded in each round.
         */
        const val MIN_DEVIATIONS = 2.5

        /** Halvings of the interval in which the level lies. */
        const val LEVEL_STEPS = 20

        /** Receivers for which a cut is searched before a target is given up for this round. */
        const val MAX_RECEIVERS_TRIED = 4

        /** The relative load of the receiver after a move must stay below this multiple of the source's before the move. */
        const val MAX_RECEIVER_TO_SOURCE = 0.8
    }
}
