package yuccaflow.entry.admission

import kotlin.math.exp

/**
 * The share that each priority has of the requests that a target got recently. All requests at a target wait about equally long, so that
 * the share of the requests is also the share of the queue.
 */
internal class PriorityShares {
    private val admitted = HashMap<Int, Double>()
    private var recordedAtMs = 0L

    /** Records an admitted request. */
    fun record(priority: Int, nowMs: Long) {
        val decay = exp(-(nowMs - recordedAtMs).coerceAtLeast(0) / DECAY_MS)
        recordedAtMs = nowMs
        admitted.replaceAll { _, count -> count * decay }
        admitted.values.removeIf { it < NEGLIGIBLE }
        admitted.merge(priority, 1.0, Double::plus)
    }

    /** Returns whether [priority] has had less than its floor. */
    fun isBelowFloor(priority: Int): Boolean = (admitted[priority] ?: 0.0) < admitted.values.sum() * AdmissionPolicy.PRIORITY_FLOOR

    private companion object {
        /** Some requests of each priority at the rate at which one router sends to one target. */
        const val DECAY_MS = 5_000.0
        const val NEGLIGIBLE = 0.01
    }
}
