package yuccaflow.entry.keys.balance

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isContainedIn
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isNotEmpty
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.keys.Assignment
import yuccaflow.entry.keys.FIRST_KEY
import yuccaflow.entry.keys.FormerHolder
import yuccaflow.entry.keys.LAST_KEY
import yuccaflow.entry.keys.incarnationOf
import yuccaflow.entry.keys.planner.AssignmentBatch

@DisplayName("A key range balancer")
class KeyRangeBalancerTest {
    private fun holder(number: Int) = incarnationOf(FakeRecords.entry("t$number", number))

    private fun target(number: Int, weight: Double = 1.0, mayGainKeys: Boolean = true, mayKeepKeys: Boolean = true) =
        CandidateTarget(holder(number), weight, mayGainKeys, mayKeepKeys)

    private fun assignment(number: Int, from: Int, to: Int) = Assignment("s", from, to, holder(number), number.toLong())

    private val halves = listOf(assignment(1, FIRST_KEY, 32_767), assignment(2, 32_768, LAST_KEY))

    private fun balancer(
        targets: List<CandidateTarget>,
        assignments: List<Assignment>,
        sample: IntArray = IntArray(0),
        busyLoad: Double = 0.0,
    ) =
        KeyRangeBalancer("s", targets, assignments, sample, busyLoad)

    /** Guards against keys that are skipped or assigned twice at the first start. */
    @Test
    fun `assigns every key to one target`() {
        val moves = balancer(listOf(target(1), target(2), target(3)), emptyList()).necessaryMoves().sortedBy { it.from }
        expectThat(moves.first().from).isEqualTo(FIRST_KEY)
        expectThat(moves.last().to).isEqualTo(LAST_KEY)
        expectThat(moves.zipWithNext { a, b -> b.from - a.to }).all { isEqualTo(1) }
        expectThat(moves.map { it.holder }.toSet().size).isEqualTo(3)
    }

    /** Guards against needless moves. */
    @Test
    fun `moves nothing if all holders may keep their keys`() {
        val balancer = balancer(listOf(target(1), target(2)), halves)
        expectThat(balancer.necessaryMoves()).isEmpty()
        expectThat(balancer.balancingMoves()).isEmpty()
    }

    /** Guards against keys of a lost target that stay there, or that go to a target which may not gain keys. */
    @Test
    fun `moves the keys of a leaving target to targets that may gain keys`() {
        val targets = listOf(target(1, mayGainKeys = false, mayKeepKeys = false), target(2), target(3), target(4, mayGainKeys = false))
        val moves = balancer(targets, halves).necessaryMoves()
        expectThat(moves.sumOf { it.to - it.from + 1 }).isEqualTo(32_768)
        expectThat(moves.map { it.holder }).all { isContainedIn(listOf(holder(2), holder(3))) }
    }

    /** Guards against a group of hot keys that stays together on one target. */
    @Test
    fun `moves some of the hot keys away from a busy target`() {
        val hot = IntArray(300) { 1_000 + it % 60 }.also { it.sort() }
        val moves = balancer(listOf(target(1), target(2)), halves, hot).balancingMoves()
        expectThat(moves).isNotEmpty()
        expectThat(moves.first().holder).isEqualTo(holder(2))
        expectThat(moves.sumOf { move -> hot.count { it in move.from..move.to } }).isIn(100..200)
    }

    /** Guards against moves that react to random variation, or that are made although all targets have spare capacity. */
    @Test
    fun `moves nothing for random variation or while targets have spare capacity`() {
        val slightlyUneven = IntArray(22) { if (it < 13) it else 40_000 + it }.also { it.sort() }
        expectThat(balancer(listOf(target(1), target(2)), halves, slightlyUneven).balancingMoves()).isEmpty()
        val hot = IntArray(300) { 1_000 + it % 60 }.also { it.sort() }
        expectThat(balancer(listOf(target(1), target(2)), halves, hot, busyLoad = 1_000.0).balancingMoves()).isEmpty()
    }

    /** Guards against a second move of keys whose first move is not complete. */
    @Test
    fun `does not balance while keys move`() {
        val moving = listOf(halves[0], halves[1].copy(isMoving = true))
        val hot = IntArray(300) { 1_000 + it % 60 }.also { it.sort() }
        expectThat(balancer(listOf(target(1), target(2)), moving, hot).balancingMoves()).isEmpty()
    }

    /** Guards against duplicate generations, and against the loss of a former holder when one move replaces another. */
    @Test
    fun `a batch assigns increasing generations and keeps all former holders`() {
        val batch = AssignmentBatch("s", halves)
        batch.move(KeyMove("s", 100, 200, holder(3), halves[0]))
        batch.move(KeyMove("s", 40_000, LAST_KEY, holder(3), halves[1]))
        val changed = batch.changed(endOffset = 50)
        val moving = changed.filter { it.isMoving }
        expectThat(moving.map { it.generation }.toSet().size).isEqualTo(2)
        expectThat(moving).all { get { generation > 50 }.isEqualTo(true) }
        val next = AssignmentBatch("s", moving)
        next.move(KeyMove("s", 100, 200, holder(4), moving[0]))
        val formers = next
            .changed(60)
            .first { it.from == 100 }
            .formers
            .map { it.holder }
        expectThat(formers).isEqualTo(listOf(holder(1), holder(3)))
    }

    /** Guards against keys that move while the holder may still have a valid grant of the generation that it no longer accepts. */
    @Test
    fun `a renewed generation keeps the previous one as a former holder`() {
        val batch = AssignmentBatch("s", halves)
        batch.renewGeneration(halves[0])
        val renewed = batch.changed(10).single()
        expectThat(renewed.formers).isEqualTo(listOf(FormerHolder(holder(1), 1)))
        val moved = AssignmentBatch("s", listOf(renewed))
        moved.move(KeyMove("s", renewed.from, renewed.to, holder(3), renewed))
        expectThat(
            moved
                .changed(20)
                .single()
                .formers
                .map { it.generation },
        ).isEqualTo(listOf(1L, renewed.generation))
    }
}
