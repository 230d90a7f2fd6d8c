package yuccaflow.entry.keys.planner

import yuccaflow.entry.keys.Assignment
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.FormerHolder
import yuccaflow.entry.keys.balance.KeyMove
import yuccaflow.entry.keys.generationOf
import yuccaflow.entry.store.KeyedChange
import java.util.TreeMap

/** Collects changes to the assignments of [service] and converts them into the records of one conditional append in [era] of the store. */
internal class AssignmentBatch(
    private val service: String,
    current: List<Assignment>,
    private val era: Long = 0,
) {
    private val before = current.associateBy { it.from }
    private val after = TreeMap(before)

    /** Assigns the keys of [move] to their new holder. The rest of the range that contained them keeps its holder. */
    fun move(move: KeyMove) {
        val covering = after.floorEntry(move.from)?.value?.takeIf { move.from <= it.to }
        if (covering != null) cutOut(covering, move)
        after[move.from] = Assignment(
            service = service,
            from = move.from,
            to = move.to,
            holder = move.holder,
            generation = UNSET,
            formers = covering?.let(::holdersOf).orEmpty(),
            isMoving = true,
        )
    }

    /** Marks the move of [assignment] as complete, because its holder has confirmed the grant. */
    fun confirm(assignment: Assignment) {
        if (after[assignment.from] == assignment) after[assignment.from] = assignment.copy(formers = emptyList(), isMoving = false)
    }

    /**
     * Gives [assignment] a new generation and keeps its holder. The current generation stays among the former holders, because its grant
     * may be valid until it expires.
     */
    fun renewGeneration(assignment: Assignment) {
        if (after[assignment.from] != assignment) return
        after[assignment.from] = assignment.copy(generation = UNSET, formers = holdersOf(assignment), isMoving = true)
    }

    /** Returns the changed assignments with the generations that they get if the records are appended at [endOffset]. */
    fun changed(endOffset: Long): List<Assignment> =
        after.values.filter { before[it.from] != it }.mapIndexed { index, assignment ->
            // Each record has a higher offset, so no two changes share a generation.
            if (assignment.generation == UNSET) assignment.copy(generation = generationOf(era, endOffset + index)) else assignment
        }

    /** Returns the records to append at [endOffset]. */
    fun records(endOffset: Long): List<KeyedChange> {
        val removed = before.keys.filter { it !in after }.map { ClusterState.rangeRemoval(service, it, era) }
        return changed(endOffset).map { ClusterState.rangeChange(it, era) } + removed
    }

    /** Returns all holders that may have a grant on keys of [covering]: while it moves, its former holders as well as the new one. */
    private fun holdersOf(covering: Assignment): List<FormerHolder> =
        covering.formers + FormerHolder(covering.holder, covering.generation)

    private fun cutOut(covering: Assignment, move: KeyMove) {
        after -= covering.from
        if (covering.from < move.from) after[covering.from] = covering.copy(to = move.from - 1)
        if (covering.to > move.to) after[move.to + 1] = covering.copy(from = move.to + 1)
    }

    private companion object {
        const val UNSET = 0L
    }
}
