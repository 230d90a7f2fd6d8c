package yuccaflow.router.admission

import yuccaflow.control.KeyRange
import yuccaflow.control.ServiceName
import yuccaflow.control.TargetId
import yuccaflow.control.TargetLoad

/** The requests that this router, as a primary, has sent and not finished. */
interface RunningRequests {
    /**
     * Suspends until no request for [range] of [service] that was admitted before the call can still run at [target]: each is answered
     * or past its deadline.
     */
    suspend fun awaitNoneRunning(target: TargetId, service: ServiceName, range: KeyRange)

    /** Suspends until no request at all can still run at [target]. */
    suspend fun awaitNoneRunning(target: TargetId)

    /** The load of each target that this router has sent work to recently. */
    fun loads(): List<TargetLoad>

    /** Starts [target] over with one slot, because it is new, restarted or has just come back. */
    fun restartSlowStart(target: TargetId)
}
