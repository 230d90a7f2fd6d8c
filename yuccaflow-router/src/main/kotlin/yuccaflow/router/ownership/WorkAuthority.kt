package yuccaflow.router.ownership

import yuccaflow.control.ServiceName
import yuccaflow.control.TargetId
import yuccaflow.external.TargetClock

/** Whether this router may send one request to a target now. */
sealed interface WorkPermit {
    /**
     * The request may be sent until the local monotonic time [validUntilMs]. [epoch] is the fencing token of the key's range, or 0 for a
     * service that is not keyed. [clock] is the target's latest clock reading, or null before its first answer.
     */
    data class Granted(
        val epoch: Long,
        val primaryEpoch: Long,
        val validUntilMs: Long,
        val clock: TargetClock?,
    ) : WorkPermit

    /** The request must not be sent. */
    data class Denied(
        val reason: DenialReason,
    ) : WorkPermit
}

/** Why a request must not be sent. With each of these the request has not run. */
enum class DenialReason { NOT_PRIMARY, NOT_OWNER, MOVING, NOT_GRANTED, NO_LEASE, LEAVING, UNKNOWN_TARGET, UNREACHABLE }

/** Decides what this router may send as a primary. Called directly before each send, so it must not block. */
fun interface WorkAuthority {
    /**
     * Returns whether a request for [key] of [service] may be sent to [target] now. [key] is null for a service that is not keyed.
     * Without a valid lease only [idempotent] requests of services that are not keyed are permitted.
     */
    fun permit(target: TargetId, service: ServiceName, key: String?, idempotent: Boolean): WorkPermit
}

/** Receives the clock readings and failures that the request path observes, so that grants and reachability are updated immediately. */
interface TargetObserver {
    /** [target] answered with this [clock] reading. A different instance than before means that the target has restarted. */
    fun answered(target: TargetId, clock: TargetClock)

    /** [target] could not be reached or did not answer in time, because of [reason]. */
    fun failed(target: TargetId, reason: String)
}
