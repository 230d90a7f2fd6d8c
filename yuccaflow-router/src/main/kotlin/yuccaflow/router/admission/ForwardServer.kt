package yuccaflow.router.admission

import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import yuccaflow.control.RouterId
import yuccaflow.control.TargetId
import yuccaflow.router.peer.PeerMessage
import java.util.concurrent.ConcurrentHashMap

/** Handles the requests that other routers forward to this one as a primary. */
class ForwardServer(
    private val gateway: TargetGateway,
) {
    private data class Forwarded(
        val from: RouterId,
        val requestId: String,
        val target: TargetId,
    )

    private val running = ConcurrentHashMap<Forwarded, Job>()

    /** Answers [PeerMessage.ForwardRequest] and [PeerMessage.CancelForward]; null for other messages. */
    suspend fun handle(from: RouterId, message: PeerMessage): PeerMessage? =
        when (message) {
            is PeerMessage.ForwardRequest -> submit(Forwarded(from, message.requestId, message.target), message)

            is PeerMessage.CancelForward -> message.also { running[Forwarded(from, message.requestId, message.target)]?.cancel() }

            else -> null
        }

    private suspend fun submit(id: Forwarded, request: PeerMessage.ForwardRequest): PeerMessage =
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
