package yuccaflow.entry.routing

import yuccaflow.http.REQUEST_ID_HEADER

/**
 * Names of the headers that the router reads and sets.
 *
 * @property deadlineMs how much longer the caller waits, in milliseconds.
 * @property key key of a request to a service whose targets own key ranges.
 * @property expectedInstance id of the target for which the request is meant; other targets must not run it.
 * @property signature proves that a response comes from a target.
 * @property notRun set by a target that did not run the request.
 * @property instance id of the target that answers.
 * @property leaving set to `1` by a target that leaves, in all of its answers.
 * @property load the target's load as comma-separated integers: running, waiting, slots and, optionally, the slowdown in percent.
 */
data class HeaderNames(
    val requestId: String = REQUEST_ID_HEADER,
    val deadlineMs: String = "X-Deadline-Ms",
    val key: String = "Yuccaflow-Key",
    val expectedInstance: String = "Yuccaflow-Instance-Expected",
    val signature: String = "Yuccaflow-Signature",
    val notRun: String = "Yuccaflow-Not-Run",
    val instance: String = "Yuccaflow-Instance",
    val leaving: String = "Yuccaflow-Leaving",
    val load: String = "Yuccaflow-Load",
)
