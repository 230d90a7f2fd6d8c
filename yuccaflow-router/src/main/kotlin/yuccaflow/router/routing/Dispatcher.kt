package yuccaflow.router.routing

import yuccaflow.router.peer.ForwardOutcome

/** Allows one more attempt at a request after an outcome that may be repeated only within the budget. */
internal fun interface RetryPermits {
    fun tryWithdraw(): Boolean
}

/** Brings a request to a target, with as many attempts as are allowed. */
internal fun interface Dispatcher {
    /** Returns the outcome over all attempts: "not run" only when no attempt can have run. */
    suspend fun dispatch(inbound: Inbound, retries: RetryPermits): ForwardOutcome
}

/** This outcome of the last attempt, unless it says "not run" while the earlier attempt [mayHaveRun] may have run. */
internal fun ForwardOutcome.after(mayHaveRun: ForwardOutcome.Unknown?): ForwardOutcome =
    if (this is ForwardOutcome.NotRun && mayHaveRun != null) mayHaveRun else this
