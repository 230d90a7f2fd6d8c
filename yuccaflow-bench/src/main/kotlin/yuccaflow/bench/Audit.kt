package yuccaflow.bench

import kotlinx.serialization.Serializable
import java.util.BitSet

/** What the targets of one process ran, as `GET /runs` gives it. */
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

/** The callers' view of non-idempotent requests compared with the targets' records. */
internal data class Audit(
    /** Acknowledged, but run by no target. */
    val lost: Int,
    /** Run more than once. */
    val doubled: Int,
    /** Refused as not run, but run. */
    val falseRefusals: Int,
    /** Pairs of targets that ran work for the same key at the same time. */
    val overlaps: Int,
) {
    val isClean: Boolean get() = lost == 0 && doubled == 0 && falseRefusals == 0 && overlaps == 0

    companion object {
        fun of(runs: List<RunSummary>, owned: List<Map<String, List<OwnedInterval>>>, callers: List<CallerIds>): Audit {
            val doubledIds = runs.flatMap { it.doubledIds }.toMutableSet()
            var lost = 0
            var falseRefusals = 0
            callers.forEach { ids ->
                val ran = BitSet()
                runs.forEach { summary ->
                    val here = parseRanges(summary.ranIds[ids.prefix].orEmpty())
                    val both = (here.clone() as BitSet).apply { and(ran) }
                    both.stream().forEach { doubledIds += "${ids.prefix}-$it" }
                    ran.or(here)
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

/** Reads `0-17,19`. */
internal fun parseRanges(text: String): BitSet = BitSet().also { bits ->
    text.split(',').filter { it.isNotEmpty() }.forEach { part ->
        val from = part.substringBefore('-').toInt()
        bits.set(from, part.substringAfter('-').toInt() + 1)
    }
}
