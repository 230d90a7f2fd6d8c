package yuccaflow.standins

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import java.util.BitSet

/** What became of one request. */
internal enum class Outcome { ANSWERED, NOT_RUN, UNKNOWN, FAILED }

/** Counts and latencies of a set of requests. Latencies run from the intended send time and cover answered requests only. */
@Serializable
internal data class ResultBody(
    val second: Long? = null,
    val sent: Long,
    val answered: Long,
    val notRun: Long,
    val unknown: Long,
    val failed: Long,
    val p50Ms: Double,
    val p99Ms: Double,
    val p999Ms: Double,
    val maxMs: Double,
)

/** Time for which one key got no answers within [SLOW_ANSWER_MS]. */
@Serializable
internal data class Outage(
    val longestMs: Long,
    val totalMs: Long,
    val count: Int,
)

/** Ids of non-idempotent requests by outcome, as number ranges. */
@Serializable
internal data class AcknowledgedIds(
    val prefix: String,
    val answered: String,
    val notRun: String,
    val unknown: String,
)

/** An answer later than this counts as time without service for its key. */
private const val SLOW_ANSWER_MS = 250L
private const val HIGHEST_LATENCY_US = 60_000_000L
private const val DIGITS = 3
private const val MICROS_PER_MS = 1_000.0
private const val P50 = 50.0
private const val P99 = 99.0
private const val P999 = 99.9

/** Collects outcomes; all times are in microseconds of one monotonic clock. */
internal class CallerResults(
    private val prefix: String,
) {
    private class Tally {
        val outcomes = LongArray(Outcome.entries.size)
        val latency = Histogram(HIGHEST_LATENCY_US, DIGITS)

        fun body(second: Long? = null) = ResultBody(
            second = second,
            sent = outcomes.sum(),
            answered = outcomes[Outcome.ANSWERED.ordinal],
            notRun = outcomes[Outcome.NOT_RUN.ordinal],
            unknown = outcomes[Outcome.UNKNOWN.ordinal],
            failed = outcomes[Outcome.FAILED.ordinal],
            p50Ms = latency.getValueAtPercentile(P50) / MICROS_PER_MS,
            p99Ms = latency.getValueAtPercentile(P99) / MICROS_PER_MS,
            p999Ms = latency.getValueAtPercentile(P999) / MICROS_PER_MS,
            maxMs = latency.maxValue / MICROS_PER_MS,
        )
    }

    private var second = Tally()
    private var total = Tally()
    private var services = HashMap<String, Tally>()
    private val ids = Outcome.entries.associateWith { BitSet() }
    private val unservedSinceUs = HashMap<String, Long>()
    private var lastEndedUs = 0L
    private val outages = HashMap<String, Outage>()
    private val reasons = HashMap<String, Long>()

    @Synchronized
    fun record(request: DrawnRequest, number: Int, outcome: Outcome, intendedUs: Long, endedUs: Long) {
        listOf(second, total, services.getOrPut(request.service) { Tally() }).forEach {
            it.outcomes[outcome.ordinal]++
            if (outcome == Outcome.ANSWERED) it.latency.recordValue((endedUs - intendedUs).coerceIn(1, HIGHEST_LATENCY_US))
        }
        if (request.method == "POST") ids.getValue(outcome).set(number)
        lastEndedUs = maxOf(lastEndedUs, endedUs)
        noteService(request.key, outcome, intendedUs, endedUs)
    }

    @Synchronized
    fun reason(text: String) {
        reasons.merge(text, 1, Long::plus)
    }

    private fun noteService(key: String, outcome: Outcome, intendedUs: Long, endedUs: Long) {
        val since = minOf(unservedSinceUs[key] ?: Long.MAX_VALUE, intendedUs)
        if (outcome != Outcome.ANSWERED) {
            unservedSinceUs[key] = since
            return
        }
        unservedSinceUs.remove(key)
        val gapMs = (endedUs - since) / MICROS_PER_MS.toLong()
        if (gapMs <= SLOW_ANSWER_MS && since == intendedUs) return
        outages[key] = extended(key, gapMs)
    }

    /** The results since the last call. */
    @Synchronized
    fun nextSecond(number: Long): ResultBody = second.body(number).also { second = Tally() }

    @Synchronized
    fun totals(): Map<String, ResultBody> = mapOf("all" to total.body()) + services.mapValues { it.value.body() }

    /** Outages by key; one that has not ended yet counts up to the last result of any key. */
    @Synchronized
    fun outages(): Map<String, Outage> {
        val open = unservedSinceUs.mapValues { (key, since) -> extended(key, (lastEndedUs - since) / MICROS_PER_MS.toLong()) }
        return outages + open
    }

    private fun extended(key: String, gapMs: Long): Outage {
        val old = outages[key] ?: Outage(0, 0, 0)
        return Outage(maxOf(old.longestMs, gapMs), old.totalMs + gapMs, old.count + 1)
    }

    /** Counts of refusals and failures by reason. */
    @Synchronized
    fun reasons(): Map<String, Long> = reasons.toMap()

    @Synchronized
    fun ids(): AcknowledgedIds = AcknowledgedIds(
        prefix,
        ids.getValue(Outcome.ANSWERED).toRanges(),
        ids.getValue(Outcome.NOT_RUN).toRanges(),
        ids.getValue(Outcome.UNKNOWN).toRanges(),
    )

    /** Forgets counts, latencies and outages, but not the ids. */
    @Synchronized
    fun reset() {
        second = Tally()
        total = Tally()
        services = HashMap()
        outages.clear()
        unservedSinceUs.clear()
        reasons.clear()
    }
}
