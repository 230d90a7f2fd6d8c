package yuccaflow.standins

import kotlinx.serialization.Serializable
import java.util.BitSet

/** Time span in which a target executed requests for a key under one epoch, in ms of the machine's monotonic clock. */
@Serializable
internal data class OwnedInterval(
    val target: String,
    val epoch: Long,
    val fromMs: Long,
    val toMs: Long,
)

/** Request counters of one target. */
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

/**
 * What the targets of one process executed. Ids of non-idempotent requests have the form `prefix-number` and are listed by prefix as
 * ranges of numbers.
 */
@Serializable
internal data class RunSummary(
    val targets: Map<String, TargetCounts>,
    val ranIds: Map<String, String>,
    val doubledIds: List<String>,
)

/** Records the requests that the targets of this process execute. */
internal class RunRecorder {
    private val counts = HashMap<String, TargetCounts>()
    private val runNumbers = HashMap<String, BitSet>()
    private val duplicateIds = mutableListOf<String>()
    private val intervalsByKey = HashMap<String, ArrayDeque<OwnedInterval>>()

    @Synchronized
    fun updateCounts(target: String, change: (TargetCounts) -> TargetCounts) {
        counts[target] = change(counts[target] ?: TargetCounts())
    }

    /** Records that the non-idempotent request [id] took effect. */
    @Synchronized
    fun recordRun(id: String) {
        val number = id.substringAfterLast('-').toIntOrNull()
        val bits = runNumbers.getOrPut(if (number == null) id else id.substringBeforeLast('-', "")) { BitSet() }
        if (bits[number ?: 0]) duplicateIds += id
        bits.set(number ?: 0)
    }

    /** Records that [target] executed a request for [key] from [fromMs] to [toMs]. */
    @Synchronized
    fun recordOwnership(service: String, key: String, target: String, epoch: Long, fromMs: Long, toMs: Long) {
        val intervals = intervalsByKey.getOrPut("$service/$key") { ArrayDeque() }
        val index = intervals.indexOfLast { it.target == target && it.epoch == epoch }
        if (index < 0) {
            intervals.addLast(OwnedInterval(target, epoch, fromMs, toMs))
        } else {
            val old = intervals[index]
            intervals[index] = old.copy(fromMs = minOf(old.fromMs, fromMs), toMs = maxOf(old.toMs, toMs))
        }
    }

    @Synchronized
    fun summary(): RunSummary = RunSummary(counts.toMap(), runNumbers.mapValues { it.value.toRanges() }, duplicateIds.toList())

    @Synchronized
    fun intervals(): Map<String, List<OwnedInterval>> = intervalsByKey.mapValues { it.value.toList() }
}

/** Formats the set bits as ranges, for example `0-17,19,22-40`. */
internal fun BitSet.toRanges(): String = buildString {
    var from = nextSetBit(0)
    while (from >= 0) {
        val end = nextClearBit(from)
        if (isNotEmpty()) append(',')
        append(if (end - from == 1) "$from" else "$from-${end - 1}")
        from = nextSetBit(end)
    }
}
