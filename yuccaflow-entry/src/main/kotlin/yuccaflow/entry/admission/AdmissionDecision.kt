package yuccaflow.entry.admission

import kotlin.math.max

/**
 * Whether a request is admitted to a target, and why. The names in lower case are the values of a metric's tag and of a log field.
 *
 * @property refusalReason why the request is refused, or null if it is admitted.
 */
internal enum class AdmissionResult(
    val refusalReason: String?,
) {
    ADMITTED(null),

    /** The queue is beyond the limit of the request's priority, but the priority has had less than its floor. */
    ADMITTED_BY_FLOOR(null),

    /** The answer is expected after the deadline, but only because of old answers. */
    ADMITTED_AS_PROBE(null),

    /** The answer is expected after the deadline. */
    TOO_LATE("the target is not expected to answer in time"),

    /** The target is overloaded, and the answer is expected after the latency objective. */
    MISSES_OBJECTIVE("the target is overloaded"),

    /** The queue is longer than the limit of the request's priority. */
    QUEUE_TOO_LONG("the queue is too long for the priority of the request"),

    /** The target itself turned the request away. */
    FULL_AT_TARGET("the target has no free slot and turned the request away"),
    ;

    val isAdmitted: Boolean get() = refusalReason == null

    val tag: String = name.lowercase()
}

/**
 * A decision with its inputs.
 *
 * @property limitMs the longest queueing delay with which the request would have been admitted. Negative if no queue is short enough.
 */
internal class AdmissionDecision(
    val result: AdmissionResult,
    val estimate: AnswerEstimate,
    val limitMs: Double,
) {
    /** Time until the queue has drained to the point at which the request would be admitted, if no other request joins it. */
    val drainMs: Double get() = max(0.0, estimate.queueMs - limitMs)
}
