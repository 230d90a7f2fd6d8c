package yuccaflow.entry.keys

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

@DisplayName("A plan of keys")
class KeyPlanTest {
    private fun holder(number: Int) = incarnationOf(FakeRecords.entry("t$number", number))

    private fun target(number: Int, weight: Double = 1.0, isOpen: Boolean = true, isStaying: Boolean = true) =
        KeyTarget(holder(number), weight, isOpen, isStaying)

    private fun half(number: Int, from: Int, to: Int) = Assignment("s", from, to, holder(number), number.toLong())

    private val halves = listOf(half(1, FIRST_KEY, 32_767), half(2, 32_768, LAST_KEY))

    private fun plan(targets: List<KeyTarget>, assignments: List<Assignment>, sample: IntArray = IntArray(0), busyLoad: Double = 0.0) =
        KeyPlan("s", targets, assignments, sample, busyLoad)

    /** Guards against keys that are left out or given twice at the first start. */
    @Test
    fun `gives every key to one target`() {
        val moves = plan(listOf(target(1), target(2), target(3)), emptyList()).necessaryMoves().sortedBy { it.from }
        expectThat(moves.first().from).isEqualTo(FIRST_KEY)
        expectThat(moves.last().to).isEqualTo(LAST_KEY)
        expectThat(moves.zipWithNext { a, b -> b.from - a.to }).all { isEqualTo(1) }
        expectThat(moves.map { it.holder }.toSet().size).isEqualTo(3)
    }

    /** Guards against moves that nobody needs. */
    @Test
    fun `moves nothing while all holders stay`() {
        val plan = plan(listOf(target(1), target(2)), halves)
        expectThat(plan.necessaryMoves()).isEmpty()
        expectThat(plan.balancingMoves()).isEmpty()
    }

    /** Guards against the keys of a lost target that go to a target which may take none, or that stay. */
    @Test
    fun `gives the keys of a target that leaves to open ones`() {
        val targets = listOf(target(1, isOpen = false, isStaying = false), target(2), target(3), target(4, isOpen = false))
        val moves = plan(targets, halves).necessaryMoves()
        expectThat(moves.sumOf { it.to - it.from + 1 }).isEqualTo(32_768)
        expectThat(moves.map { it.holder }).all { isContainedIn(listOf(holder(2), holder(3))) }
    }

    /** Guards against a hot group of keys that stays whole on one target. */
    @Test
    fun `splits hot keys off a busy target`() {
        val hot = IntArray(300) { 1_000 + it % 60 }.also { it.sort() }
        val moves = plan(listOf(target(1), target(2)), halves, hot).balancingMoves()
        expectThat(moves).isNotEmpty()
        expectThat(moves.first().holder).isEqualTo(holder(2))
        expectThat(moves.sumOf { move -> hot.count { it in move.from..move.to } }).isIn(100..200)
    }

    /** Guards against moves that follow noise, or that are made although no target is short of room. */
    @Test
    fun `moves nothing for chance or while targets have room`() {
        val slightlyUneven = IntArray(22) { if (it < 13) it else 40_000 + it }.also { it.sort() }
        expectThat(plan(listOf(target(1), target(2)), halves, slightlyUneven).balancingMoves()).isEmpty()
        val hot = IntArray(300) { 1_000 + it % 60 }.also { it.sort() }
        expectThat(plan(listOf(target(1), target(2)), halves, hot, busyLoad = 1_000.0).balancingMoves()).isEmpty()
    }

    /** Guards against a second change of keys whose first one is still under way. */
    @Test
    fun `does not balance while keys move`() {
        val moving = listOf(halves[0], halves[1].copy(isMoving = true))
        val hot = IntArray(300) { 1_000 + it % 60 }.also { it.sort() }
        expectThat(plan(listOf(target(1), target(2)), moving, hot).balancingMoves()).isEmpty()
    }

    /** Guards against generations that repeat, and against a former holder that is forgotten when a move is replaced by another. */
    @Test
    fun `a batch gives rising generations and keeps all former holders`() {
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

    /** Guards against keys that are given away while the holder may still hold them with the generation that it refused to renew. */
    @Test
    fun `a renewed generation keeps the one before as a former holder`() {
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
