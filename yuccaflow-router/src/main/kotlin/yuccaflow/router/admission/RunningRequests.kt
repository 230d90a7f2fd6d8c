package yuccaflow.router.admission

import yuccaflow.control.KeyRange
import yuccaflow.control.ServiceName
import yuccaflow.control.TargetId
import yuccaflow.control.TargetLoad

/** The requests that this router has sent as a primary and that have not ended yet. */
interface RunningRequests {
    /**
     * Suspends until no request for [range] of [service] that was admitted before the call can still be running at [target]: each has
     * been answered or is past its deadline.
     */
    suspend fun awaitNoneRunning(target: TargetId, service: ServiceName, range: KeyRange)

    /** Suspends until no request at all can still be running at [target]. */
    suspend fun awaitNoneRunning(target: TargetId)

    /** Returns the load of each target that this router has recently sent requests to. */
    fun loads(): List<TargetLoad>

    /** Restarts the slow start of [target] with one slot, because it is new, has restarted or has become reachable again. */
    fun restartSlowStart(target: TargetId)
}
