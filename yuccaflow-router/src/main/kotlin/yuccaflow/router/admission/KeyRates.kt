package yuccaflow.router.admission

import yuccaflow.base.TimerService
import yuccaflow.control.HotKey
import yuccaflow.control.KeyRange
import yuccaflow.control.RangeLoad
import yuccaflow.control.compareKeys
import kotlin.math.exp

/** Time constant of the exponential decay: longer than bursts, and shorter than the minutes over which hot keys change. */
private const val DECAY_MS = 5_000.0

/** Counts are rescaled after this time, before the growing weight of new requests exceeds the precision of a double. */
private const val RESCALE_AFTER_MS = 100_000L

private const val MS_PER_SECOND = 1_000.0

/** Number of keys counted at a time. A key that gets more than 1/64 of the requests is always among them. */
private const val COUNTED_KEYS = 64

/** Maximum number of hot keys reported per range; see [RangeLoad]. */
private const val REPORTED_KEYS = 16

/** Number of recent keys sampled per range to estimate the median key. */
private const val SAMPLED_KEYS = 64

/**
 * Measures the request rates of one target, per key range and for its hottest keys. Thread-safe.
 *
 * Memory is bounded: a Space-Saving sketch of [COUNTED_KEYS] keys, and [SAMPLED_KEYS] recent keys for each range.
 */
internal class KeyRates(
    private val timer: TimerService,
) {
    private class Counter(
        var count: Double = 0.0,
        /** Part of [count] that may belong to keys that were evicted from the sketch. */
        var error: Double = 0.0,
    )

    private class RangeCounter(
        val counter: Counter = Counter(),
        val samples: Array<String?> = arrayOfNulls(SAMPLED_KEYS),
        var sampleCount: Int = 0,
    )

    private val keys = HashMap<String, Counter>()
    private val ranges = HashMap<KeyRange, RangeCounter>()
    private val total = Counter()
    private var baseMs = timer.nowMs()

    /** Counts one request; [key] and [range] are null for a service that is not keyed. */
    @Synchronized
    fun record(range: KeyRange?, key: String?) {
        val weight = weightNow()
        total.count += weight
        if (key == null || range == null) return
        val counter = ranges.getOrPut(range) { RangeCounter() }
        counter.counter.count += weight
        counter.samples[counter.sampleCount++ % SAMPLED_KEYS] = key
        counterOf(key).count += weight
    }

    /** Returns the request rate over all keys. */
    @Synchronized
    fun totalRequestsPerSecond(): Double {
        val weight = weightNow()
        return rate(total.count, weight)
    }

    /** Returns the load of the [current] ranges and discards the counts of all others. */
    @Synchronized
    fun report(current: List<KeyRange>): List<RangeLoad> {
        val weight = weightNow()
        ranges.keys.retainAll(current.toSet())
        return current.map { range ->
            val counter = ranges[range]
            RangeLoad(range, rate(counter?.counter?.count ?: 0.0, weight), hotKeys(range, weight), counter?.let { median(range, it) })
        }
    }

    private fun hotKeys(range: KeyRange, weight: Double): List<HotKey> =
        keys.entries
            .filter { it.key in range && it.value.count > it.value.error }
            .map { HotKey(it.key, rate(it.value.count - it.value.error, weight)) }
            .sortedByDescending { it.requestsPerSecond }
            .take(REPORTED_KEYS)

    private fun median(range: KeyRange, counter: RangeCounter): String? {
        val sorted = counter.samples.filterNotNull().sortedWith(::compareKeys)
        val middle = sorted.getOrNull(sorted.size / 2) ?: return null
        return middle.takeIf { it != range.from && it != sorted.first() }
    }

    private fun counterOf(key: String): Counter {
        keys[key]?.let { return it }
        if (keys.size < COUNTED_KEYS) return Counter().also { keys[key] = it }
        val smallest = keys.minBy { it.value.count }
        keys.remove(smallest.key)
        return Counter(smallest.value.count, smallest.value.count).also { keys[key] = it }
    }

    private fun weightNow(): Double {
        val ageMs = timer.nowMs() - baseMs
        if (ageMs < RESCALE_AFTER_MS) return exp(ageMs / DECAY_MS)
        val factor = exp(-ageMs / DECAY_MS)
        (keys.values + ranges.values.map { it.counter } + total).forEach {
            it.count *= factor
            it.error *= factor
        }
        baseMs += ageMs
        return 1.0
    }

    private fun rate(count: Double, weight: Double): Double = count / weight / DECAY_MS * MS_PER_SECOND
}
