package yuccaflow.standins

import kotlinx.serialization.Serializable
import java.util.BitSet

/** Work that one target ran for one key without a change of epoch. Times are in ms of the machine's monotonic clock. */
@Serializable
internal data class OwnedInterval(
    val target: String,
    val epoch: Long,
    val fromMs: Long,
    val toMs: Long,
)

/** Counts of one target. */
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

/** Compact record of what the targets of one process ran. Ids of non-idempotent work are `prefix-number`, listed as number ranges. */
@Serializable
internal data class RunSummary(
    val targets: Map<String, TargetCounts>,
    val ranIds: Map<String, String>,
    val doubledIds: List<String>,
)

/** Records every run of every target in the process. */
internal class RunBook {
    private val counts = HashMap<String, TargetCounts>()
    private val ran = HashMap<String, BitSet>()
    private val doubled = mutableListOf<String>()
    private val owned = HashMap<String, ArrayDeque<OwnedInterval>>()

    @Synchronized
    fun count(target: String, change: (TargetCounts) -> TargetCounts) {
        counts[target] = change(counts[target] ?: TargetCounts())
    }

    /** Records that non-idempotent work with [id] took effect. */
    @Synchronized
    fun ran(id: String) {
        val number = id.substringAfterLast('-').toIntOrNull()
        val bits = ran.getOrPut(if (number == null) id else id.substringBeforeLast('-', "")) { BitSet() }
        if (bits[number ?: 0]) doubled += id
        bits.set(number ?: 0)
    }

    /** Records that [target] ran work for [key] from [fromMs] to [toMs]. */
    @Synchronized
    fun owned(service: String, key: String, target: String, epoch: Long, fromMs: Long, toMs: Long) {
        val intervals = owned.getOrPut("$service/$key") { ArrayDeque() }
        val index = intervals.indexOfLast { it.target == target && it.epoch == epoch }
        if (index < 0) {
            intervals.addLast(OwnedInterval(target, epoch, fromMs, toMs))
        } else {
            val old = intervals[index]
            intervals[index] = old.copy(fromMs = minOf(old.fromMs, fromMs), toMs = maxOf(old.toMs, toMs))
        }
    }

    @Synchronized
    fun summary(): RunSummary = RunSummary(counts.toMap(), ran.mapValues { it.value.toRanges() }, doubled.toList())

    @Synchronized
    fun intervals(): Map<String, List<OwnedInterval>> = owned.mapValues { it.value.toList() }
}

/** Writes the set bits as `0-17,19,22-40`. */
internal fun BitSet.toRanges(): String = buildString {
    var from = nextSetBit(0)
    while (from >= 0) {
        val end = nextClearBit(from)
        if (isNotEmpty()) append(',')
        append(if (end - from == 1) "$from" else "$from-${end - 1}")
        from = nextSetBit(end)
    }
}
