package yuccaflow.router.admission

import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import yuccaflow.control.RouterId
import yuccaflow.control.TargetId
import yuccaflow.router.peer.PeerMessage
import java.util.concurrent.ConcurrentHashMap

/** Runs the requests that other routers forward to this router as the primary of their target. */
class ForwardServer(
    private val gateway: TargetGateway,
) {
    private data class ForwardId(
        val from: RouterId,
        val requestId: String,
        val target: TargetId,
    )

    private val running = ConcurrentHashMap<ForwardId, Job>()

    /** Answers [PeerMessage.ForwardRequest] and [PeerMessage.CancelForward]; returns null for other messages. */
    suspend fun handle(from: RouterId, message: PeerMessage): PeerMessage? =
        when (message) {
            is PeerMessage.ForwardRequest -> submit(ForwardId(from, message.requestId, message.target), message)

            is PeerMessage.CancelForward -> message.also { running[ForwardId(from, message.requestId, message.target)]?.cancel() }

            else -> null
        }

    private suspend fun submit(id: ForwardId, request: PeerMessage.ForwardRequest): PeerMessage =
        coroutineScope {
            val work = async { gateway.submit(request) }
            running[id] = work
            try {
                work.await()
            } finally {
                running.remove(id, work)
            }
        }
}
