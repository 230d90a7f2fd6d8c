package yuccaflow.entry.admission

/**
 * When a target is expected to answer one more request.
 *
 * @property serviceMs time that the request takes without queueing.
 * @property queueMs time for which it waits for a slot.
 */
internal data class AnswerEstimate(
    val serviceMs: Double,
    val queueMs: Double,
) {
    val expectedMs: Double get() = serviceMs + queueMs
}
