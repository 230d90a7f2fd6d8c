package yuccaflow.entry.directory

import yuccaflow.http.SocketAddress

/**
 * Directory entry that a target writes about itself.
 *
 * @property id identifies the target. It may stay the same when the target restarts.
 * @property slots requests that the target processes concurrently.
 * @property coldRemainingMs how much longer the target is cold, from the time at which it wrote the entry.
 * @property bornMs Unix time of the target's start, which distinguishes incarnations with the same id, or null if not reported.
 */
data class TargetEntry(
    val id: String,
    val service: String,
    val address: SocketAddress,
    val zone: String,
    val slots: Int,
    val isDraining: Boolean,
    val coldRemainingMs: Long,
    val bornMs: Long?,
) {
    /** Returns whether [other] describes the same incarnation of the same target. */
    fun isSameIncarnation(other: TargetEntry): Boolean = id == other.id && bornMs == other.bornMs && address == other.address
}
