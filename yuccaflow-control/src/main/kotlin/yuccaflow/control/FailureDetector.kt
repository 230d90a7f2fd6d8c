package yuccaflow.control

/** Longest delay before a witness suspects again a router that keeps cancelling its suspicions but sends it no heartbeats. */
private const val MAX_SUSPECT_AFTER_MS = 2_400L

/** Delay between witnesses of one router before each of them ends its lease, so that usually only one record is written. */
private const val END_STAGGER_MS = 100L

/**
 * What router [self] appends about suspicions: as a witness it suspects silent routers and records which suspicions it has read, as a
 * suspected router it cancels, and it ends leases once the wait is over.
 */
class FailureDetector(
    private val self: RouterId,
    private val timing: LeaseTiming = LeaseTiming(),
) {
    private class Watch(
        var heardAtMs: Long,
        var suspectAfterMs: Long,
        var epoch: Long,
        var suspicionOffset: Long? = null,
        var readyAtMs: Long? = null,
    )

    private val watches = mutableMapOf<RouterId, Watch>()
    private val appendedAtMs = mutableMapOf<ControlRecord, Long>()
    private var lastDecisionMs: Long? = null

    /** A heartbeat of [router] arrived. */
    fun heartbeatReceived(router: RouterId, nowMs: Long) {
        watches[router]?.let {
            it.heardAtMs = nowMs
            it.suspectAfterMs = timing.suspectAfterMs
        }
    }

    /** This router has applied all records up to the position of [table]. Must be called before the next [recordsToAppend]. */
    fun tableUpdated(nowMs: Long, table: ControlTable) {
        watches.keys.retainAll { table.isLive(it) }
        for (entry in table.routers.values) {
            if (entry.stage == RouterStage.ENDED) continue
            val watch = watches.getOrPut(entry.id) { Watch(nowMs, timing.suspectAfterMs, entry.epoch) }
            if (watch.epoch != entry.epoch) {
                // Whoever has just been named as a witness cannot have heard a heartbeat yet.
                watch.epoch = entry.epoch
                watch.heardAtMs = nowMs
            }
            val offset = entry.suspicion?.offset
            if (watch.suspicionOffset != null && offset != watch.suspicionOffset) cancelled(watch, nowMs)
            watch.suspicionOffset = offset
            if (watch.readyAtMs == null && table.isSuspicionRead(entry)) watch.readyAtMs = nowMs
        }
    }

    /** The records to append at [nowMs]. A record is returned again when it was not read back for a while. */
    fun recordsToAppend(nowMs: Long, table: ControlTable): List<ControlRecord> {
        forgivePause(nowMs)
        val due =
            if (!table.isLive(self)) {
                emptyList()
            } else {
                table.routers.values.mapNotNull { if (it.stage == RouterStage.ENDED) null else duty(nowMs, table, it) }
            }
        appendedAtMs.keys.retainAll(due.toSet())
        return due.filter { record ->
            val isDue = appendedAtMs[record]?.let { nowMs - it >= timing.repeatMs } ?: true
            if (isDue) appendedAtMs[record] = nowMs
            isDue
        }
    }

    private fun duty(nowMs: Long, table: ControlTable, entry: RouterEntry): ControlRecord? {
        val suspicion = entry.suspicion
        return when {
            entry.id == self -> suspicion?.let { ControlRecord.SuspicionCancelled(self, it.offset) }
            suspicion == null ->
                ControlRecord.Suspected(entry.id, self).takeIf { table.maySuspect(self, entry) && isSilent(nowMs, table, entry) }
            self in entry.witnesses && self !in suspicion.readBy -> ControlRecord.SuspicionRead(entry.id, suspicion.offset, self)
            else -> ControlRecord.LeaseEnded(entry.id, suspicion.offset).takeIf { mayEnd(nowMs, table, entry, suspicion) }
        }
    }

    private fun isSilent(nowMs: Long, table: ControlTable, entry: RouterEntry): Boolean {
        val watch = watches[entry.id] ?: return false
        // A router without a live witness sends no heartbeats; if it lives, it names new witnesses within this time.
        val silenceMs = if (entry.witnesses.none { table.isLive(it) }) MAX_SUSPECT_AFTER_MS else watch.suspectAfterMs
        val overdueMs = nowMs - watch.heardAtMs - silenceMs
        return overdueMs >= 0 && overdueMs >= unitHash(self.value, entry.id.value, watch.heardAtMs.toString()) * timing.suspectSpreadMs
    }

    private fun mayEnd(nowMs: Long, table: ControlTable, entry: RouterEntry, suspicion: Suspicion): Boolean {
        val readyAtMs = watches[entry.id]?.readyAtMs ?: return false
        val candidates = (listOf(suspicion.by) + entry.witnesses).distinct().filter { table.isLive(it) }
        val rank = candidates.indexOf(self)
        // A router outside the witnesses steps in last, for the case that all of them were lost after reading the suspicion.
        val staggerMs = END_STAGGER_MS * if (rank >= 0) rank else candidates.size + 1
        return nowMs - readyAtMs >= timing.endWaitMs + staggerMs
    }

    /** A cancellation shows that the router lives although no heartbeat of it arrives here; the next suspicion waits longer. */
    private fun cancelled(watch: Watch, nowMs: Long) {
        watch.readyAtMs = null
        watch.heardAtMs = nowMs
        watch.suspectAfterMs = minOf(watch.suspectAfterMs * 2, MAX_SUSPECT_AFTER_MS)
    }

    /** After a pause of its own this router has missed heartbeats that were sent, so it starts to listen afresh. */
    private fun forgivePause(nowMs: Long) {
        val pauseMs = nowMs - (lastDecisionMs ?: nowMs)
        lastDecisionMs = nowMs
        if (pauseMs >= timing.suspectAfterMs / 2) watches.values.forEach { it.heardAtMs = nowMs }
    }
}
