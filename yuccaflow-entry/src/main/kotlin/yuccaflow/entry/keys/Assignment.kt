package yuccaflow.entry.keys

import kotlinx.serialization.Serializable
import yuccaflow.entry.directory.TargetEntry

/** The smallest and the largest key of a service that is divided by key. */
const val FIRST_KEY = 0
const val LAST_KEY = 65_535

/**
 * One life of a target: its id and the time of its start.
 *
 * @property address where it takes orders. It is kept here because the target's own entry may be gone when the keys are to be taken back.
 */
@Serializable
internal data class TargetIncarnation(
    val target: String,
    val bornMs: Long?,
    val address: String,
    val zone: String,
) {
    /** Tells whether [entry] describes this life. */
    fun isIncarnationOf(entry: TargetEntry): Boolean = target == entry.id && bornMs == entry.bornMs && address == entry.address.toString()
}

/** The life that [entry] describes. */
internal fun incarnationOf(
    entry: TargetEntry,
): TargetIncarnation = TargetIncarnation(entry.id, entry.bornMs, entry.address.toString(), entry.zone)

/** The holder before a move and the generation that it had. */
@Serializable
internal data class FormerHolder(
    val holder: TargetIncarnation,
    val generation: Long,
)

/**
 * Who owns the keys [from]..[to] (both inclusive) of [service].
 *
 * @property generation the fencing token of the ownership. It comes from the offset of the record that set it, so it only rises.
 * @property formers those that may still hold the keys while the range moves: the new holder is granted them only afterwards.
 * @property isMoving the new holder has not confirmed its grant yet.
 */
@Serializable
internal data class Assignment(
    val service: String,
    val from: Int,
    val to: Int,
    val holder: TargetIncarnation,
    val generation: Long,
    val formers: List<FormerHolder> = emptyList(),
    val isMoving: Boolean = false,
) {
    /** The number of keys. */
    val width: Int get() = to - from + 1
}
