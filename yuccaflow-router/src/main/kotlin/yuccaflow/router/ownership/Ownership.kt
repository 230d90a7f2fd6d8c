package yuccaflow.router.ownership

import yuccaflow.control.RouterId
import yuccaflow.router.peer.PeerMessage

/** Grants, moves and planning: keeps the targets of this router granted and brings the control table closer to the configuration. */
interface Ownership :
    WorkAuthority,
    TargetObserver {
    /** Answers load queries; null for other messages. */
    suspend fun handle(from: RouterId, message: PeerMessage): PeerMessage?

    /** Runs until cancelled. */
    suspend fun run()

    /** Hands every target of this router to another live router, after its running requests have finished; gives up after [timeoutMs]. */
    suspend fun handOver(timeoutMs: Long)
}
