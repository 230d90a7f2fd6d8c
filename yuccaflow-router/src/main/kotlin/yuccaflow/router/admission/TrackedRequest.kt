package yuccaflow.router.admission

import kotlinx.coroutines.CompletableDeferred
import yuccaflow.control.ServiceName

/** Why a request got no slot. */
internal enum class Refusal { QUEUE_FULL, TOO_LATE }

/** One request in a [TargetLimiter]. */
internal class TrackedRequest(
    val service: ServiceName,
    val key: String?,
    /** Monotonic time after which its answer is of no use. */
    val deadlineMs: Long,
) {
    /** Completed with null when the request has a slot. */
    val turn = CompletableDeferred<Refusal?>()

    /** Completed when the request can no longer run at the target. */
    val over = CompletableDeferred<Unit>()

    /** Time until which the request can run at the target; known once its answer is lost. */
    @Volatile
    var lostUntilMs: Long? = null
}
