package yuccaflow.router.admission

import kotlinx.coroutines.CompletableDeferred
import yuccaflow.control.ServiceName

/** Why a request got no slot of a [TargetLimiter]. */
internal enum class RefusalReason { QUEUE_FULL, TOO_LATE }

/** A request that waits for or holds a slot of a [TargetLimiter]. */
internal class TrackedRequest(
    val service: ServiceName,
    val key: String?,
    /** Local monotonic time after which the answer is of no use. */
    val deadlineMs: Long,
) {
    /** Completes with null when the request gets a slot, or with the reason why it is refused. */
    val admission = CompletableDeferred<RefusalReason?>()

    /** Completes when the request can no longer be running at the target. */
    val ended = CompletableDeferred<Unit>()

    /** Local monotonic time until which the request may be running at the target; set once its answer is lost. */
    @Volatile
    var mayRunUntilMs: Long? = null
}
