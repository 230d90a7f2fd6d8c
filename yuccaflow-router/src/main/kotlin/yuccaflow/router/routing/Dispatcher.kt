package yuccaflow.router.routing

import yuccaflow.router.peer.ForwardOutcome

/** Limits the retries of a service to a share of its requests. Retries because another router or target is responsible are not limited. */
internal fun interface RetryBudget {
    /** Takes one retry out of the budget. Returns false when the budget is used up. */
    fun tryWithdraw(): Boolean
}

/** Selects a target for a request, forwards the request to it and retries where that is safe. */
internal fun interface Dispatcher {
    /** Returns the outcome over all attempts. It is [ForwardOutcome.NotRun] only when no attempt can have run. */
    suspend fun dispatch(inbound: InboundRequest, retries: RetryBudget): ForwardOutcome
}

/** Returns this outcome of the last attempt, or [mayHaveRun] when this one says "not run" but that earlier attempt may have run. */
internal fun ForwardOutcome.combinedWith(mayHaveRun: ForwardOutcome.Unknown?): ForwardOutcome =
    if (this is ForwardOutcome.NotRun && mayHaveRun != null) mayHaveRun else this
