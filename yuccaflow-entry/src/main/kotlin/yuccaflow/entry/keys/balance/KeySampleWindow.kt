package yuccaflow.entry.keys.balance

import yuccaflow.base.TimerService

/** A sliding window over the keys of the most recent requests for one service. */
internal class KeySampleWindow(
    private val timer: TimerService,
) {
    private val keys = ArrayDeque<Int>()
    private val atMs = ArrayDeque<Long>()

    /** Adds the key of one request. */
    fun recordRequest(key: Int) {
        keys.addLast(key)
        atMs.addLast(timer.nowMs())
        evictOld()
    }

    /** Returns the keys sampled in the last [WINDOW_MS], sorted. */
    fun sortedKeys(): IntArray {
        evictOld()
        return keys.toIntArray().also { it.sort() }
    }

    private fun evictOld() {
        val oldestMs = timer.nowMs() - WINDOW_MS
        while (atMs.isNotEmpty() && (atMs.first() < oldestMs || keys.size > MAX_SAMPLES)) {
            atMs.removeFirst()
            keys.removeFirst()
        }
    }

    companion object {
        /** Long enough to see about ten requests per target, short enough to react to keys that become hot. */
        const val WINDOW_MS = 1_500L
        private const val MAX_SAMPLES = 20_000
    }
}
