package yuccaflow.entry.keys

import kotlinx.serialization.Serializable
import yuccaflow.entry.balance.TargetState
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.directory.TargetEntry

/** The bounds of the key space of a service that is sharded by key, both inclusive. */
const val FIRST_KEY = 0
const val LAST_KEY = 65_535

/**
 * One incarnation of a target, that is, one run of its process: the target id and the start time.
 *
 * @property bornMs Unix time at which the incarnation started, or null if the target did not report it.
 * @property address where the target accepts grants and releases. It is stored here because the target's own entry may be gone by the time
 * that its keys are reclaimed.
 */
@Serializable
internal data class TargetIncarnation(
    val target: String,
    val bornMs: Long?,
    val address: String,
    val zone: String,
) {
    /** Returns whether [entry] was written by this incarnation. */
    fun isIncarnationOf(entry: TargetEntry): Boolean = target == entry.id && bornMs == entry.bornMs && address == entry.address.toString()
}

/** Returns the incarnation that wrote [entry]. */
internal fun incarnationOf(entry: TargetEntry): TargetIncarnation =
    TargetIncarnation(entry.id, entry.bornMs, entry.address.toString(), entry.zone)

/** Returns the state of [holder] in this directory, or null if it is not known or another incarnation has taken its place. */
internal fun TargetDirectory.find(
    holder: TargetIncarnation,
): TargetState? = find(holder.target)?.takeIf { holder.isIncarnationOf(it.entry) }

/** A previous holder of a key range that may still have a valid grant, which it was given with [generation]. */
@Serializable
internal data class FormerHolder(
    val holder: TargetIncarnation,
    val generation: Long,
)

/**
 * The ownership record of the key range [from]..[to] (both inclusive) of [service].
 *
 * @property generation the fencing token of the ownership. It is derived from the offset of the record that set it, so it only increases.
 * @property formers the holders that may still have a grant on the keys while the range moves. [holder] is granted the keys only after all
 * of these grants have ended.
 * @property isMoving whether [holder] has yet to confirm its grant.
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
    /** The number of keys in the range. */
    val width: Int get() = to - from + 1
}
