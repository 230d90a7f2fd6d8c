package yuccaflow.router.routing

import yuccaflow.base.TimerService
import yuccaflow.control.RouterEntry
import yuccaflow.control.TargetId
import yuccaflow.router.RouterState
import yuccaflow.router.StateSource
import yuccaflow.router.peer.ForwardOutcome
import yuccaflow.router.peer.NotRunCause

/** First backoff after a primary was not yet or no longer responsible; doubles with each retry up to [MAX_RETRY_BACKOFF_MS]. */
internal const val INITIAL_RETRY_BACKOFF_MS: Long = 5
internal const val MAX_RETRY_BACKOFF_MS: Long = 80

/** Dispatches requests of services that are sharded by key: each goes to the owner of its key and is held while the key has none. */
internal class KeyedDispatcher(
    private val state: StateSource,
    private val forwarder: Forwarder,
    private val heldRequests: HeldRequests,
    private val timer: TimerService,
) : Dispatcher {
    private class Route(
        val owner: TargetId,
        val primary: RouterEntry,
    )

    override suspend fun dispatch(inbound: InboundRequest, retries: RetryBudget): ForwardOutcome {
        var waitMs = INITIAL_RETRY_BACKOFF_MS
        var last: ForwardOutcome = ForwardOutcome.NotRun("the key has no owner that can serve it", NotRunCause.NOT_RESPONSIBLE)
        var mayHaveRun: ForwardOutcome.Unknown? = null
        while (timer.nowMs() < inbound.deadlineMs) {
            val seen = state.state().value
            val route = routeOf(seen, inbound)
            if (route == null) {
                if (!heldRequests.awaitChange(seen, inbound.deadlineMs)) return mayHaveRun ?: tooManyHeld()
                continue
            }
            last = forwarder.send(inbound, route.owner, route.primary)
            if (last is ForwardOutcome.Unknown) mayHaveRun = last
            if (!mayRetry(last, inbound, retries)) break
            val untilMs = minOf(inbound.deadlineMs, timer.nowMs() + waitMs)
            if (!heldRequests.awaitChange(seen, untilMs)) break
            waitMs = (waitMs * 2).coerceAtMost(MAX_RETRY_BACKOFF_MS)
        }
        return last.combinedWith(mayHaveRun)
    }

    private fun mayRetry(outcome: ForwardOutcome, inbound: InboundRequest, retries: RetryBudget): Boolean =
        when (outcome) {
            is ForwardOutcome.Answered -> false
            is ForwardOutcome.Unknown -> inbound.isIdempotent && retries.tryWithdraw()
            is ForwardOutcome.NotRun -> outcome.cause == NotRunCause.NOT_RESPONSIBLE || outcome.cause == NotRunCause.UNREACHABLE
        }

    /** Returns the owner of the key and its primary, or null while the key range is moving or has no owner or no live primary. */
    private fun routeOf(seen: RouterState, inbound: InboundRequest): Route? {
        val range = seen.table.rangeOf(inbound.service.name, inbound.key!!)?.takeIf { it.move == null } ?: return null
        return seen.table.primaryOf(range.owner)?.let { Route(range.owner, it) }
    }

    private fun tooManyHeld() = ForwardOutcome.NotRun("too many requests wait for a change of ownership", NotRunCause.OVERLOADED)
}
