package yuccaflow.entry.keys

import yuccaflow.entry.store.KeyedChange
import java.util.TreeMap

/** Turns moves and confirmations into the records of one conditional append. */
internal class AssignmentBatch(
    private val service: String,
    present: List<Assignment>,
) {
    private val before = present.associateBy { it.from }
    private val after = TreeMap(before)

    /** Gives the keys of [move] to their new holder and leaves the rest of the former range where it is. */
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

    /** Notes that the holder has confirmed [assignment]. */
    fun confirm(assignment: Assignment) {
        if (after[assignment.from] == assignment) after[assignment.from] = assignment.copy(formers = emptyList(), isMoving = false)
    }

    /** Gives [assignment] a new generation with the same holder, which may hold the keys with the present one until that grant ends. */
    fun renewGeneration(assignment: Assignment) {
        if (after[assignment.from] != assignment) return
        after[assignment.from] = assignment.copy(generation = UNSET, formers = holdersOf(assignment), isMoving = true)
    }

    /** The assignments that change, with their generations, if the records are appended at [endOffset]. */
    fun changed(endOffset: Long): List<Assignment> =
        after.values.filter { before[it.from] != it }.mapIndexed { index, assignment ->
            // The record's own offset rises with each record, so no two changes ever share a generation; 0 is left out.
            if (assignment.generation == UNSET) assignment.copy(generation = endOffset + index + 1) else assignment
        }

    /** The records to append at [endOffset]. */
    fun records(endOffset: Long): List<KeyedChange> {
        val removed = before.keys.filter { it !in after }.map { ClusterState.rangeRemoval(service, it) }
        return changed(endOffset).map(ClusterState::rangeChange) + removed
    }

    /** All that may hold keys of [covering]: while it moves, the former holders and the new one. */
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
