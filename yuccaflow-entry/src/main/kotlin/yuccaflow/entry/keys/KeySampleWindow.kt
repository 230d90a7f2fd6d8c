package yuccaflow.entry.keys

import yuccaflow.base.TimerService

/** The keys of recent requests for one service. */
internal class KeySampleWindow(
    private val timer: TimerService,
) {
    private val keys = ArrayDeque<Int>()
    private val atMs = ArrayDeque<Long>()

    /** Counts one request. */
    fun recordRequest(key: Int) {
        keys.addLast(key)
        atMs.addLast(timer.nowMs())
        trim()
    }

    /** The sampled keys of the last [WINDOW_MS], sorted. */
    fun sortedKeys(): IntArray {
        trim()
        return keys.toIntArray().also { it.sort() }
    }

    private fun trim() {
        val oldestMs = timer.nowMs() - WINDOW_MS
        while (atMs.isNotEmpty() && (atMs.first() < oldestMs || keys.size > MAX_SAMPLES)) {
            atMs.removeFirst()
            keys.removeFirst()
        }
    }

    companion object {
        /** Long enough for some ten requests on a target, short enough to follow keys that turn hot. */
        const val WINDOW_MS = 1_500L
        private const val MAX_SAMPLES = 20_000
    }
}
