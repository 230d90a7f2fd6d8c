package yuccaflow.standins

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import java.util.BitSet

/** Outcome of a request as the caller sees it. */
internal enum class Outcome { ANSWERED, NOT_RUN, UNKNOWN, FAILED }

/** Counts and latencies of a set of requests. Latency is measured from the intended send time, for answered requests only. */
@Serializable
internal data class LoadSummary(
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

/** Periods in which a key got no answer within [SLOW_ANSWER_MS]. */
@Serializable
internal data class Outage(
    val longestMs: Long,
    val totalMs: Long,
    val count: Int,
)

/** Ids of non-idempotent requests by outcome, as ranges of numbers. */
@Serializable
internal data class RequestIdsByOutcome(
    val prefix: String,
    val answered: String,
    val notRun: String,
    val unknown: String,
)

/** A slower answer counts as an outage of its key. */
private const val SLOW_ANSWER_MS = 250L
private const val MAX_LATENCY_US = 60_000_000L
private const val SIGNIFICANT_DIGITS = 3
private const val MICROS_PER_MS = 1_000.0
private const val P50 = 50.0
private const val P99 = 99.0
private const val P999 = 99.9

/** Aggregates outcomes and latencies. All times are microseconds of the same monotonic clock. */
internal class LoadStatistics(
    private val prefix: String,
) {
    private class Tally {
        val outcomes = LongArray(Outcome.entries.size)
        val latency = Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS)

        fun summary(second: Long? = null) = LoadSummary(
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
    private val unavailableSinceUs = HashMap<String, Long>()
    private var lastEndedUs = 0L
    private val outages = HashMap<String, Outage>()
    private val reasons = HashMap<String, Long>()

    @Synchronized
    fun record(request: GeneratedRequest, number: Int, outcome: Outcome, intendedUs: Long, endedUs: Long) {
        listOf(second, total, services.getOrPut(request.service) { Tally() }).forEach {
            it.outcomes[outcome.ordinal]++
            if (outcome == Outcome.ANSWERED) it.latency.recordValue((endedUs - intendedUs).coerceIn(1, MAX_LATENCY_US))
        }
        if (request.method == "POST") ids.getValue(outcome).set(number)
        lastEndedUs = maxOf(lastEndedUs, endedUs)
        updateOutage(request.key, outcome, intendedUs, endedUs)
    }

    @Synchronized
    fun countReason(text: String) {
        reasons.merge(text, 1, Long::plus)
    }

    private fun updateOutage(key: String, outcome: Outcome, intendedUs: Long, endedUs: Long) {
        val since = minOf(unavailableSinceUs[key] ?: Long.MAX_VALUE, intendedUs)
        if (outcome != Outcome.ANSWERED) {
            unavailableSinceUs[key] = since
            return
        }
        unavailableSinceUs.remove(key)
        val gapMs = (endedUs - since) / MICROS_PER_MS.toLong()
        if (gapMs <= SLOW_ANSWER_MS && since == intendedUs) return
        outages[key] = extendedOutage(key, gapMs)
    }

    /** Returns the results since the last call and starts a new second. */
    @Synchronized
    fun nextSecond(number: Long): LoadSummary = second.summary(number).also { second = Tally() }

    @Synchronized
    fun totals(): Map<String, LoadSummary> = mapOf("all" to total.summary()) + services.mapValues { it.value.summary() }

    /** Outages by key. An ongoing outage counts up to the latest result of any key. */
    @Synchronized
    fun outages(): Map<String, Outage> {
        val ongoing = unavailableSinceUs.mapValues { (key, since) -> extendedOutage(key, (lastEndedUs - since) / MICROS_PER_MS.toLong()) }
        return outages + ongoing
    }

    private fun extendedOutage(key: String, gapMs: Long): Outage {
        val previous = outages[key] ?: Outage(0, 0, 0)
        return Outage(maxOf(previous.longestMs, gapMs), previous.totalMs + gapMs, previous.count + 1)
    }

    /** Number of unsuccessful requests by reason. */
    @Synchronized
    fun reasons(): Map<String, Long> = reasons.toMap()

    @Synchronized
    fun ids(): RequestIdsByOutcome = RequestIdsByOutcome(
        prefix,
        ids.getValue(Outcome.ANSWERED).toRanges(),
        ids.getValue(Outcome.NOT_RUN).toRanges(),
        ids.getValue(Outcome.UNKNOWN).toRanges(),
    )

    /** Clears counts, latencies and outages, but keeps the ids. */
    @Synchronized
    fun reset() {
        second = Tally()
        total = Tally()
        services = HashMap()
        outages.clear()
        unavailableSinceUs.clear()
        reasons.clear()
    }
}
