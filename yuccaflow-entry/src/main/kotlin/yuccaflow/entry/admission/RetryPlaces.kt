package yuccaflow.entry.admission

import java.util.LinkedHashMap
import kotlin.math.max

/**
 * When a refused request may find capacity.
 *
 * @property drainMs time until the queue has drained far enough for one more request.
 * @property spacingMs time after which there is capacity for the next one.
 */
internal data class ExpectedCapacity(
    val drainMs: Double,
    val spacingMs: Double,
)

/**
 * Hands out the times at which refused callers are to return: one place after the other, so that the first refused is the first back and
 * the retries are spread over the expected capacity. Places in the past are free again.
 *
 * A caller that is refused once more before its place has come keeps that place, and reserves no other.
 *
 * @param capacity the largest number of queues, and of requests with a place, that are remembered. The least recently used are forgotten.
 */
internal class RetryPlaces(
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private val lastPlaceAtMs = boundedMap()
    private val placeOfRequestAtMs = boundedMap()

    /**
     * Reserves the next place in [queue] for [requestId], whose deadline is [remainingMs] away. Returns the time until then, at least
     * [MIN_RETRY_AFTER_MS] and otherwise at most a third of the remaining time, for which callers wait at most.
     */
    fun reserve(queue: String, requestId: String, expected: ExpectedCapacity, remainingMs: Long, nowMs: Long): Long {
        val latestAtMs = nowMs + max(remainingMs / MAX_RETRY_AFTER_DIVISOR, MIN_RETRY_AFTER_MS)
        // A hash in place of the id, which is as long as the caller likes.
        val place = "$queue ${requestId.hashCode()}"
        val ownAtMs = placeOfRequestAtMs[place]?.takeIf { it > nowMs }
        val placeAtMs = ownAtMs ?: nextPlaceAtMs(queue, expected, nowMs).coerceAtMost(latestAtMs)
        if (ownAtMs == null) {
            // A place that another caller got later, because its time is longer, stays the last one.
            lastPlaceAtMs[queue] = max(placeAtMs, lastPlaceAtMs[queue] ?: placeAtMs)
            placeOfRequestAtMs[place] = placeAtMs
        }
        return placeAtMs.coerceIn(nowMs + MIN_RETRY_AFTER_MS, latestAtMs) - nowMs
    }

    private fun nextPlaceAtMs(queue: String, expected: ExpectedCapacity, nowMs: Long): Long {
        val drainedAtMs = nowMs + expected.drainMs.toLong()
        val afterLastAtMs = lastPlaceAtMs[queue]?.let { it + expected.spacingMs.toLong().coerceAtLeast(1) } ?: drainedAtMs
        return maxOf(drainedAtMs, afterLastAtMs, nowMs + MIN_RETRY_AFTER_MS)
    }

    private fun boundedMap() = object : LinkedHashMap<String, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Long>) = size > capacity
    }

    private companion object {
        const val MIN_RETRY_AFTER_MS = 50L
        const val MAX_RETRY_AFTER_DIVISOR = 3
        const val DEFAULT_CAPACITY = 1_000
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
