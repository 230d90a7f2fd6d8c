package yuccaflow.router.ownership

import yuccaflow.control.RouterId
import yuccaflow.control.TargetId
import yuccaflow.control.TargetLoad
import yuccaflow.router.peer.PeerMessage

/** Grants, moves and planning: keeps the targets of this router granted and brings the control table closer to the configuration. */
interface Ownership :
    WorkAuthority,
    TargetObserver {
    /** Answers load queries; null for other messages. */
    suspend fun handle(from: RouterId, message: PeerMessage): PeerMessage?

    /** The latest load of each target that this router is the primary of, or asks others for because it may have to plan for it. */
    fun loads(): Map<TargetId, TargetLoad>

    /** Runs until cancelled. */
    suspend fun run()

    /** Hands every target of this router to another live router, after its running requests have finished; gives up after [timeoutMs]. */
    suspend fun handOver(timeoutMs: Long)
}
