package yuccaflow.router.admission

import yuccaflow.router.peer.PeerMessage

/** The primary's side of the request path: admits requests to targets by slots, queue and deadline, and sends them. */
interface TargetGateway : RunningRequests {
    /** Runs one request at its target, or says that it did not run. Cancelling it cancels the request at the target. */
    suspend fun submit(request: PeerMessage.ForwardRequest): PeerMessage.ForwardAnswer
}
