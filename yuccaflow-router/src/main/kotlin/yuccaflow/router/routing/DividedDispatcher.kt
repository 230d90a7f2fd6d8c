package yuccaflow.router.routing

import yuccaflow.base.TimerService
import yuccaflow.control.RouterEntry
import yuccaflow.control.TargetId
import yuccaflow.router.RouterState
import yuccaflow.router.StateSource
import yuccaflow.router.peer.ForwardOutcome
import yuccaflow.router.peer.NotRunCause

/** First wait after a primary was not yet or no longer responsible; doubles up to [MAX_RETRY_WAIT_MS]. */
internal const val FIRST_RETRY_WAIT_MS: Long = 5
internal const val MAX_RETRY_WAIT_MS: Long = 80

/** Sends a request for a key to the one owner of the key, and holds it while the key has none. */
internal class DividedDispatcher(
    private val state: StateSource,
    private val forwarder: Forwarder,
    private val holding: Holding,
    private val timer: TimerService,
) : Dispatcher {
    private class Route(
        val owner: TargetId,
        val primary: RouterEntry,
    )

    override suspend fun dispatch(inbound: Inbound, retries: RetryPermits): ForwardOutcome {
        var waitMs = FIRST_RETRY_WAIT_MS
        var last: ForwardOutcome = ForwardOutcome.NotRun("the key has no owner that can serve it", NotRunCause.NOT_RESPONSIBLE)
        var mayHaveRun: ForwardOutcome.Unknown? = null
        while (timer.nowMs() < inbound.deadlineMs) {
            val seen = state.state().value
            val route = routeOf(seen, inbound)
            if (route == null) {
                if (!holding.awaitChange(seen, inbound.deadlineMs)) return mayHaveRun ?: tooManyHeld()
                continue
            }
            last = forwarder.send(inbound, route.owner, route.primary)
            if (last is ForwardOutcome.Unknown) mayHaveRun = last
            if (!mayTryAgain(last, inbound, retries)) break
            val untilMs = minOf(inbound.deadlineMs, timer.nowMs() + waitMs)
            if (!holding.awaitChange(seen, untilMs)) break
            waitMs = (waitMs * 2).coerceAtMost(MAX_RETRY_WAIT_MS)
        }
        return last.after(mayHaveRun)
    }

    private fun mayTryAgain(outcome: ForwardOutcome, inbound: Inbound, retries: RetryPermits): Boolean =
        when (outcome) {
            is ForwardOutcome.Answered -> false
            is ForwardOutcome.Unknown -> inbound.isIdempotent && retries.tryWithdraw()
            is ForwardOutcome.NotRun -> outcome.cause == NotRunCause.NOT_RESPONSIBLE || outcome.cause == NotRunCause.UNREACHABLE
        }

    /** The owner of the key with its primary, or null while the range moves or either is missing. */
    private fun routeOf(seen: RouterState, inbound: Inbound): Route? {
        val range = seen.table.rangeOf(inbound.service.name, inbound.key!!)?.takeIf { it.move == null } ?: return null
        return seen.table.primaryOf(range.owner)?.let { Route(range.owner, it) }
    }

    private fun tooManyHeld() = ForwardOutcome.NotRun("too many requests wait for a change of ownership", NotRunCause.OVERLOADED)
}
