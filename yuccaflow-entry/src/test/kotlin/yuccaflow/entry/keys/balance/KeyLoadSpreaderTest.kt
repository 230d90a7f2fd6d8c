package yuccaflow.entry.keys.balance

import kotlinx.coroutines.test.TestCoroutineScheduler
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isTrue
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.VirtualTimer
import yuccaflow.entry.keys.Assignment
import yuccaflow.entry.keys.FIRST_KEY
import yuccaflow.entry.keys.FormerHolder
import yuccaflow.entry.keys.LAST_KEY
import yuccaflow.entry.keys.incarnationOf
import yuccaflow.entry.keys.planner.AssignmentBatch
import kotlin.random.Random

@DisplayName("A key load spreader")
class KeyLoadSpreaderTest {
    private val scheduler = TestCoroutineScheduler()
    private val recentMoves = RecentMoves(VirtualTimer(scheduler))
    private val twoOwners = listOf(assignment(1, FIRST_KEY, 32_767), assignment(2, 32_768, LAST_KEY))

    private fun holder(number: Int) = incarnationOf(FakeRecords.entry("t$number", number))

    private fun target(number: Int, weight: Double = 1.0) =
        CandidateTarget(holder(number), weight, mayGainKeys = true, mayKeepKeys = true)

    private fun assignment(number: Int, from: Int, to: Int) = Assignment("s", from, to, holder(number), number.toLong())

    private fun round(targets: List<CandidateTarget>, assignments: List<Assignment>, sample: IntArray, busyLoad: Double = 0.0) =
        KeyLoadSpreader("s", targets, assignments, sample.sortedArray(), busyLoad, recentMoves).round()

    private fun countIn(sample: IntArray, move: KeyMove) = sample.count { it in move.from..move.to }

    /**
     * Guards against the load of the hot phases: 35% of the requests go to 200 adjacent keys, which are spread over too few targets while
     * the phase lasts (5.5 s, or about four rounds of balancing).
     */
    @Test
    fun `spreads hot adjacent keys over uneven targets within a few rounds`() {
        val spread = HotKeySimulation(seed = 1)
        val unchanged = HotKeySimulation(seed = 1)
        val atFirst = spread.hottest()
        repeat(2) {
            spread.balance { targets, assignments, sample -> round(targets, assignments, sample).moves }
            unchanged.balance { targets, assignments, sample -> KeyRangeBalancer("s", targets, assignments, sample, 0.0).balancingMoves() }
        }
        expectThat(atFirst).isGreaterThan(20.0)
        expectThat(spread.hottest()).isLessThan(4.0)
        expectThat(unchanged.hottest()).isGreaterThan(2 * spread.hottest())
        repeat(2) { spread.balance { targets, assignments, sample -> round(targets, assignments, sample).moves } }
        expectThat(spread.hottest()).isLessThan(3.0)
        expectThat(spread.movedKeyShare).isLessThan(4 * MAX_SHARE)
    }

    /** Guards against rounds that cost more than the share of keys and the number of moves that a round may take. */
    @Test
    fun `moves at most 16 ranges and a 32nd of the keys in a round`() {
        val targets = (1..40).map { target(it) }
        val wide = IntArray(4_000) { it * 16 }
        val round = round(targets, listOf(assignment(1, FIRST_KEY, LAST_KEY)), wide)
        expectThat(round.moves).isNotEmpty()
        expectThat(round.moves.size).isLessThan(17)
        expectThat(round.movedKeyShare).isLessThan(MAX_SHARE + 1e-9)
        expectThat(round.hottestAfter).isLessThan(round.hottestBefore)
    }

    /** Guards against a wide range that is moved although a narrow one of the same load would do. */
    @Test
    fun `prefers narrow ranges`() {
        val sample = IntArray(200) { it * 160 } + IntArray(200) { 20_000 + it % 40 }
        val moves = round(listOf(target(1), target(2)), twoOwners, sample).moves
        expectThat(moves).hasSize(1)
        expectThat(moves.single().to - moves.single().from).isLessThan(60)
        expectThat(countIn(sample, moves.single())).isGreaterThan(140)
    }

    /** Guards against a group of hot keys that can only move together. */
    @Test
    fun `splits adjacent hot keys down to single keys`() {
        val sample = IntArray(400) { 1_000 + it % 4 }
        val moves = round((1..4).map { target(it) }, listOf(assignment(1, FIRST_KEY, LAST_KEY)), sample).moves
        expectThat(moves).hasSize(3)
        expectThat(moves.map { countIn(sample, it) }).all { isEqualTo(100) }
        expectThat(moves.map { it.holder }.toSet()).hasSize(3)
    }

    /** Guards against a hot key whose owner also serves its neighbours, and against moving a key that no target can handle better. */
    @Test
    fun `a key that exceeds its owner's capacity keeps that owner to itself`() {
        val sample = IntArray(300) { 1_000 } + IntArray(40) { 980 + it } + IntArray(300) { 40_000 + 80 * it }
        val owners = listOf(assignment(1, FIRST_KEY, 2_000), assignment(2, 2_001, LAST_KEY))
        val targets = (1..6).map { target(it) }
        val moves = round(targets, owners, sample).moves.filter { it.former == owners[0] }
        expectThat(moves).all { get { 1_000 in from..to }.isEqualTo(false) }
        expectThat(moves.sumOf { countIn(sample, it) }).isGreaterThan(30)
    }

    /** Guards against a service that is not balanced while one of its ranges moves, and against a second move of such a range. */
    @Test
    fun `leaves moving ranges alone and balances the others`() {
        val hot = IntArray(300) { 1_000 + it % 60 } + IntArray(300) { 50_000 + it % 60 }
        val assignments = listOf(assignment(1, FIRST_KEY, 32_767), assignment(2, 32_768, LAST_KEY).copy(isMoving = true))
        val moves = round((1..4).map { target(it) }, assignments, hot).moves
        expectThat(moves).isNotEmpty()
        expectThat(moves).all { get { former }.isEqualTo(assignments[0]) }
    }

    /** Guards against keys that move to a target which is about to get the load of a moving range. */
    @Test
    fun `attributes the load of a moving range to its new owner`() {
        val hot = IntArray(300) { 1_000 + it % 60 } + IntArray(250) { 50_000 + it % 60 }
        val moving = assignment(2, 32_768, LAST_KEY).copy(isMoving = true, formers = listOf(FormerHolder(holder(3), 1)))
        val moves = round((1..3).map { target(it) }, listOf(twoOwners[0], moving), hot).moves
        expectThat(moves).isNotEmpty()
        expectThat(moves).all { get { holder }.isEqualTo(holder(3)) }
    }

    /** Guards against moves in response to random variation, or while all targets have spare capacity. */
    @Test
    fun `moves nothing for random variation or while targets have spare capacity`() {
        val targets = (1..120).map { target(it) }
        val width = (LAST_KEY + 1) / 120
        val even = (1..120).map { assignment(it, (it - 1) * width, if (it == 120) LAST_KEY else it * width - 1) }
        val random = Random(7)
        val moveCounts = (1..20).map { round(targets, even, IntArray(2_000) { random.nextInt(LAST_KEY + 1) }).moves.size }
        expectThat(moveCounts.sum()).isLessThan(20)
        val hot = IntArray(300) { 1_000 + it % 60 }
        expectThat(round(listOf(target(1), target(2)), twoOwners, hot, busyLoad = 1_000.0).moves).isEmpty()
    }

    /** Guards against keys that go back and forth between two targets. */
    @Test
    fun `does not move keys back to a target that they have recently left`() {
        val hot = IntArray(300) { 1_000 + it % 60 }
        val move = KeyMove("s", 1_000, 1_059, holder(2), twoOwners[0])
        recentMoves.add(move)
        val owners = listOf(assignment(1, FIRST_KEY, 999), assignment(2, 1_000, 1_059), assignment(1, 1_060, LAST_KEY))
        expectThat(round(listOf(target(1), target(2)), owners, hot).moves).isEmpty()
        val third = round(listOf(target(1), target(2), target(3)), owners, hot).moves
        expectThat(third.map { it.holder }.toSet()).isEqualTo(setOf(holder(3)))
        scheduler.advanceTimeBy(6_000)
        expectThat(round(listOf(target(1), target(2)), owners, hot).moves).isNotEmpty()
    }

    /** Guards against a faster target that is treated like a slow one. */
    @Test
    fun `moves load in proportion to the speeds of the targets`() {
        val sample = IntArray(400) { 1_000 + it % 100 }
        val moves = round(listOf(target(1, 1.0), target(2, 3.0)), listOf(assignment(1, FIRST_KEY, LAST_KEY)), sample).moves
        expectThat(moves.sumOf { countIn(sample, it) } in 220..310).isTrue()
    }

    /** Guards against services whose ranges multiply without bound, each of which must be renewed. */
    @Test
    fun `splits no range of a service that has many`() {
        val ranges = (0 until 32).map { assignment(if (it < 16) 1 else 2, it * 2_048, it * 2_048 + 2_047) }
        val sample = IntArray(600) { 1_000 + it % 60 } + IntArray(100) { 2_048 + it % 100 }
        val moves = round(listOf(target(1), target(2)), ranges, sample).moves
        expectThat(moves).isNotEmpty()
        expectThat(moves).all { get { to - from + 1 }.isEqualTo(2_048) }
    }

    /** Rounds of balancing that are confirmed before the next one, with 122 targets of three speeds and a hot range. */
    private class HotKeySimulation(
        seed: Int,
    ) {
        private val random = Random(seed)
        private val targets = (0 until TARGETS).map {
            val holder = incarnationOf(FakeRecords.entry("t$it", it))
            CandidateTarget(holder, listOf(0.6, 1.0, 1.4)[it % 3], mayGainKeys = true, mayKeepKeys = true)
        }
        private var assignments = emptyList<Assignment>()
        var movedKeyShare = 0.0

        init {
            val uniform = IntArray(2_000) { random.nextInt(LAST_KEY + 1) }.sortedArray()
            apply(KeyRangeBalancer("s", targets, assignments, uniform, 0.0).necessaryMoves())
            movedKeyShare = 0.0
        }

        fun balance(moves: (List<CandidateTarget>, List<Assignment>, IntArray) -> List<KeyMove>) {
            val sample = IntArray(2_000) {
                if (random.nextDouble() < HOT_SHARE) HOT_KEYS.random(random) else random.nextInt(LAST_KEY + 1)
            }
            apply(moves(targets, assignments, sample.sortedArray()))
        }

        /** Returns the expected relative load of the hottest target as a multiple of the mean. */
        fun hottest(): Double {
            val shares = assignments.groupBy { it.holder }.mapValues { (_, ranges) -> ranges.sumOf { expectedShare(it) } }
            return targets.maxOf { (shares[it.holder] ?: 0.0) / it.weight } * targets.sumOf { it.weight }
        }

        private fun expectedShare(range: Assignment): Double {
            val hot = (minOf(range.to, HOT_KEYS.last) - maxOf(range.from, HOT_KEYS.first) + 1).coerceAtLeast(0)
            return HOT_SHARE * hot / HOT_KEYS.count() + (1 - HOT_SHARE) * range.width / (LAST_KEY + 1)
        }

        private fun apply(moves: List<KeyMove>) {
            val batch = AssignmentBatch("s", assignments)
            moves.forEach(batch::move)
            val changed = batch.changed(0).associateBy { it.from }
            val covered = moves.map { it.from..it.to }
            val kept = assignments.filter { it.from !in changed && covered.none { keys -> it.from in keys } }
            assignments = (kept + changed.values).sortedBy { it.from }.map { it.copy(isMoving = false, formers = emptyList()) }
            movedKeyShare += moves.sumOf { it.to - it.from + 1 }.toDouble() / (LAST_KEY + 1)
        }
    }

    private companion object {
        const val TARGETS = 122
        const val HOT_SHARE = 0.35
        const val MAX_SHARE = 1.0 / 32
        val HOT_KEYS = 30_000..30_199
    }
}
