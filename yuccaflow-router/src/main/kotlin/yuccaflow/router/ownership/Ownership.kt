package yuccaflow.router.ownership

import yuccaflow.control.RouterId
import yuccaflow.control.TargetId
import yuccaflow.control.TargetLoad
import yuccaflow.router.peer.PeerMessage

/**
 * The ownership side of a router: renews the grants of the targets that this router is the primary of, moves key ranges, and plans the
 * changes that bring the control table in line with the configuration.
 */
interface Ownership :
    WorkAuthority,
    TargetObserver {
    /** Answers load queries; returns null for other messages. */
    suspend fun handle(from: RouterId, message: PeerMessage): PeerMessage?

    /** Returns the latest load of the targets that this router is the primary of, and of those whose placement it may have to plan. */
    fun loads(): Map<TargetId, TargetLoad>

    /** Runs until cancelled. */
    suspend fun run()

    /** Hands every target of this router over to another live router once its running requests have ended. Gives up after [timeoutMs]. */
    suspend fun handOver(timeoutMs: Long)
}
