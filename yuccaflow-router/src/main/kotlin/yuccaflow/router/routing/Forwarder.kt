package yuccaflow.router.routing

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.base.TimerService
import yuccaflow.control.ControlTable
import yuccaflow.control.RouterEntry
import yuccaflow.control.RouterId
import yuccaflow.control.RouterStage
import yuccaflow.control.TargetId
import yuccaflow.http.SocketAddress
import yuccaflow.router.admission.TargetGateway
import yuccaflow.router.peer.ForwardOutcome
import yuccaflow.router.peer.NotRunCause
import yuccaflow.router.peer.PeerClient
import yuccaflow.router.peer.PeerMessage
import yuccaflow.router.peer.PeerMessage.ForwardAnswer
import yuccaflow.router.peer.PeerResult

/** Kept back from the time that a primary in another router gets, so that its answer arrives before this router gives up. */
private const val ANSWER_MARGIN_MS: Long = 5

/** Time for a peer to take note that an answer is not needed. */
private const val CANCEL_TIMEOUT_MS: Long = 200

/** The router that may send work to [target], or null while there is none. */
internal fun ControlTable.primaryOf(target: TargetId): RouterEntry? =
    primaries[target]?.let { routers[it.router] }?.takeIf { it.stage != RouterStage.ENDED }

/** Makes one attempt at a request: through this router's own gateway, or through the primary of the target. */
internal class Forwarder(
    private val identity: () -> RouterId,
    private val gateway: TargetGateway,
    private val peers: PeerClient,
    private val book: TargetBook,
    private val timer: TimerService,
    /** Cancellations of requests whose caller has gone run here. */
    private val scope: CoroutineScope,
) {
    /** Sends [inbound] to [target] through [primary]. The outcome is the truth about this attempt alone. */
    suspend fun send(inbound: Inbound, target: TargetId, primary: RouterEntry): ForwardOutcome {
        val remainingMs = inbound.deadlineMs - timer.nowMs()
        if (remainingMs <= 0) return ForwardOutcome.NotRun("past its deadline", NotRunCause.TOO_LATE)
        book.began(target)
        try {
            val local = primary.id == identity()
            return if (local) submit(inbound, target, remainingMs) else forward(inbound, target, primary, remainingMs)
        } finally {
            book.ended(target)
        }
    }

    private suspend fun submit(inbound: Inbound, target: TargetId, remainingMs: Long): ForwardOutcome {
        val answer = withTimeoutOrNull(remainingMs + ANSWER_MARGIN_MS) { gateway.submit(inbound.forwardTo(target, remainingMs)) }
        return answer?.let(::outcomeOf) ?: ForwardOutcome.Unknown("no answer before the deadline")
    }

    private suspend fun forward(inbound: Inbound, target: TargetId, primary: RouterEntry, remainingMs: Long): ForwardOutcome {
        val address = SocketAddress.parseOrNull(primary.peerAddress)
            ?: return ForwardOutcome.NotRun("router ${primary.id} has no valid address", NotRunCause.UNREACHABLE)
        val message = inbound.forwardTo(target, (remainingMs - ANSWER_MARGIN_MS).coerceAtLeast(1))
        val result = try {
            peers.call(address, message, remainingMs)
        } catch (e: CancellationException) {
            scope.launch { peers.call(address, PeerMessage.CancelForward(inbound.requestId, target), CANCEL_TIMEOUT_MS) }
            throw e
        }
        if (result !is PeerResult.Answered) book.avoid(primary.id)
        return when (result) {
            is PeerResult.NotSent -> ForwardOutcome.NotRun(
                "router ${primary.id} cannot be reached: ${result.reason}",
                NotRunCause.UNREACHABLE,
            )

            is PeerResult.NoAnswer -> ForwardOutcome.Unknown("router ${primary.id} did not answer: ${result.reason}")

            is PeerResult.Answered -> when (val answer = result.message) {
                is ForwardAnswer -> outcomeOf(answer)
                is PeerMessage.Failure -> ForwardOutcome.Unknown("router ${primary.id} failed: ${answer.reason}")
                else -> ForwardOutcome.Unknown("router ${primary.id} sent an unexpected answer")
            }
        }
    }

    private fun outcomeOf(answer: ForwardAnswer): ForwardOutcome {
        answer.load?.let(book::report)
        return answer.outcome
    }
}
