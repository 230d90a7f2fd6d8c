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

/** Subtracted from the time given to a primary on another router, so that its answer arrives before this router's own timeout. */
private const val ANSWER_MARGIN_MS: Long = 5

/** Timeout of the message that tells a peer to cancel a request. */
private const val CANCEL_TIMEOUT_MS: Long = 200

/** Returns the primary of [target], the only router that may send requests to it, or null while there is none. */
internal fun ControlTable.primaryOf(target: TargetId): RouterEntry? =
    primaries[target]?.let { routers[it.router] }?.takeIf { it.stage != RouterStage.ENDED }

/** Makes a single attempt at a request, through this router's own gateway or through the router that is the target's primary. */
internal class Forwarder(
    private val identity: () -> RouterId,
    private val gateway: TargetGateway,
    private val peers: PeerClient,
    private val selector: TargetSelector,
    private val timer: TimerService,
    /** Scope of the cancel messages, which are sent after the coroutine of the request was cancelled. */
    private val scope: CoroutineScope,
) {
    /** Sends [inbound] to [target] through [primary]. The outcome covers this attempt only, not earlier ones. */
    suspend fun send(inbound: InboundRequest, target: TargetId, primary: RouterEntry): ForwardOutcome {
        val remainingMs = inbound.deadlineMs - timer.nowMs()
        if (remainingMs <= 0) return ForwardOutcome.NotRun("past its deadline", NotRunCause.TOO_LATE)
        selector.requestStarted(target)
        try {
            val local = primary.id == identity()
            return if (local) submit(inbound, target, remainingMs) else forward(inbound, target, primary, remainingMs)
        } finally {
            selector.requestEnded(target)
        }
    }

    private suspend fun submit(inbound: InboundRequest, target: TargetId, remainingMs: Long): ForwardOutcome {
        val answer = withTimeoutOrNull(remainingMs + ANSWER_MARGIN_MS) { gateway.submit(inbound.forwardTo(target, remainingMs)) }
        return answer?.let(::outcomeOf) ?: ForwardOutcome.Unknown("no answer before the deadline")
    }

    private suspend fun forward(inbound: InboundRequest, target: TargetId, primary: RouterEntry, remainingMs: Long): ForwardOutcome {
        val address = SocketAddress.parseOrNull(primary.peerAddress)
            ?: return ForwardOutcome.NotRun("router ${primary.id} has no valid address", NotRunCause.UNREACHABLE)
        val message = inbound.forwardTo(target, (remainingMs - ANSWER_MARGIN_MS).coerceAtLeast(1))
        val result = try {
            peers.call(address, message, remainingMs)
        } catch (e: CancellationException) {
            scope.launch { peers.call(address, PeerMessage.CancelForward(inbound.requestId, target), CANCEL_TIMEOUT_MS) }
            throw e
        }
        if (result !is PeerResult.Answered) selector.avoid(primary.id)
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
        answer.load?.let(selector::recordLoad)
        return answer.outcome
    }
}
