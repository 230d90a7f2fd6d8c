package yuccaflow.bench

import kotlinx.serialization.Serializable
import java.util.BitSet

/** Requests that the targets of one process executed, as returned by `GET /runs`. */
@Serializable
internal data class RunSummary(
    val targets: Map<String, TargetCounts> = emptyMap(),
    val ranIds: Map<String, String> = emptyMap(),
    val doubledIds: List<String> = emptyList(),
)

@Serializable
internal data class TargetCounts(
    val runs: Long = 0,
    val shed: Long = 0,
    val fenced: Long = 0,
    val expired: Long = 0,
    val stopped: Long = 0,
    val cancelled: Long = 0,
    val mostInFlight: Int = 0,
)

@Serializable
internal data class OwnedInterval(
    val target: String,
    val epoch: Long,
    val fromMs: Long,
    val toMs: Long,
)

/** Discrepancies between the outcomes that callers saw for non-idempotent requests and what the targets recorded. */
internal data class Audit(
    /** Requests that were acknowledged but executed by no target. */
    val lost: Int,
    /** Requests that were executed more than once. */
    val doubled: Int,
    /** Requests that were refused as not run but executed by a target. */
    val falseRefusals: Int,
    /** Pairs of ownership intervals of different targets that overlap in time for the same key. */
    val overlaps: Int,
) {
    val isClean: Boolean get() = lost == 0 && doubled == 0 && falseRefusals == 0 && overlaps == 0

    companion object {
        fun of(runs: List<RunSummary>, owned: List<Map<String, List<OwnedInterval>>>, callers: List<RequestIdsByOutcome>): Audit {
            val doubledIds = runs.flatMap { it.doubledIds }.toMutableSet()
            var lost = 0
            var falseRefusals = 0
            callers.forEach { ids ->
                val ran = BitSet()
                runs.forEach { summary ->
                    val numbers = parseRanges(summary.ranIds[ids.prefix].orEmpty())
                    val repeated = (numbers.clone() as BitSet).apply { and(ran) }
                    repeated.stream().forEach { doubledIds += "${ids.prefix}-$it" }
                    ran.or(numbers)
                }
                lost += parseRanges(ids.answered).apply { andNot(ran) }.cardinality()
                falseRefusals += parseRanges(ids.notRun).apply { and(ran) }.cardinality()
            }
            return Audit(lost, doubledIds.size, falseRefusals, overlaps(owned))
        }

        private fun overlaps(owned: List<Map<String, List<OwnedInterval>>>): Int {
            val byKey = owned.flatMap { it.entries }.groupBy({ it.key }, { it.value }).mapValues { it.value.flatten() }
            return byKey.values.sumOf { intervals ->
                val sorted = intervals.sortedBy { it.fromMs }
                sorted.indices.sumOf { first ->
                    sorted.drop(first + 1).count { it.target != sorted[first].target && it.fromMs < sorted[first].toMs }
                }
            }
        }
    }
}

/** Parses ranges of numbers, for example `0-17,19`. */
internal fun parseRanges(text: String): BitSet = BitSet().also { bits ->
    text.split(',').filter { it.isNotEmpty() }.forEach { range ->
        val from = range.substringBefore('-').toInt()
        bits.set(from, range.substringAfter('-').toInt() + 1)
    }
}
