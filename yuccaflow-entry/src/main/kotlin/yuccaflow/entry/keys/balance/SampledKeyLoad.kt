package yuccaflow.entry.keys.balance

import yuccaflow.entry.keys.LAST_KEY

/** The load of key ranges, measured in the requests of a [sample] of keys, which is sorted. */
internal class SampledKeyLoad(
    private val sample: IntArray,
) {
    /** Returns the load of the keys [from]..[to]: the sampled requests, and a baseline in proportion to the width of the range. */
    fun of(from: Int, to: Int): Double {
        val sampled = samplesUpTo(to) - samplesUpTo(from - 1)
        return sampled + (to - from + 1) * BASELINE_REQUESTS / (LAST_KEY + 1)
    }

    /** Returns the sampled keys in [from]..[to] in ascending order, each with its number of requests. */
    fun countsIn(from: Int, to: Int): List<KeyCount> {
        val counts = ArrayList<KeyCount>()
        var index = samplesUpTo(from - 1)
        while (index < sample.size && sample[index] <= to) {
            val key = sample[index]
            val start = index
            while (index < sample.size && sample[index] == key) index++
            counts += KeyCount(key, index - start)
        }
        return counts
    }

    /** Returns the number of samples with a key of at most [key]. */
    private fun samplesUpTo(key: Int): Int {
        var low = 0
        var high = sample.size
        while (low < high) {
            val mid = (low + high) / 2
            if (sample[mid] <= key) low = mid + 1 else high = mid
        }
        return low
    }

    private companion object {
        /** Requests that are assumed in addition to the sampled ones, spread evenly over the key space. */
        const val BASELINE_REQUESTS = 10.0
    }
}

/** A [key] with the number of its sampled requests. */
internal class KeyCount(
    val key: Int,
    val count: Int,
)
