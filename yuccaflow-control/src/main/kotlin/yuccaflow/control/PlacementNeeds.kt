package yuccaflow.control

/** Something that the table lacks, and the record that would bring it. [subject] stays the same while the need lasts. */
internal data class PlacementNeed(
    val service: ServiceName,
    val subject: String,
    val record: ControlRecord,
    /** This router alone can append the record, or is the first to know of the need, so that it need not wait for others. */
    val isOwnDuty: Boolean = false,
)

/** Remembers since when each need has been seen, and lets a need through when it is this router's turn to act on it. */
internal class NeedLedger(
    private val settings: PlacementSettings,
) {
    private class Seen(
        val sinceMs: Long,
        var returnedAtMs: Long?,
        var record: ControlRecord?,
    )

    private val seen = mutableMapOf<Pair<ServiceName, String>, Seen>()

    /** The records of [needs] that router [self] should append at [nowMs]. */
    fun due(nowMs: Long, needs: List<PlacementNeed>, rankOfSelf: (ServiceName) -> Int?): List<ControlRecord> {
        seen.keys.retainAll(needs.map { it.service to it.subject }.toSet())
        return needs.filter { need -> isDue(nowMs, need, rankOfSelf) }.map { it.record }
    }

    private fun isDue(nowMs: Long, need: PlacementNeed, rankOfSelf: (ServiceName) -> Int?): Boolean {
        val entry = seen.getOrPut(need.service to need.subject) { Seen(nowMs, returnedAtMs = null, record = null) }
        val rank = if (need.isOwnDuty) 0 else rankOfSelf(need.service) ?: return false
        val isTurn = nowMs - entry.sinceMs >= rank * settings.rankDelayMs
        val isRepeat = entry.record == need.record && entry.returnedAtMs?.let { nowMs - it < settings.repeatMs } == true
        if (!isTurn || isRepeat) return false
        entry.returnedAtMs = nowMs
        entry.record = need.record
        return true
    }
}
