package yuccaflow.control

/** Upper bound of the suspicion timeout for a router that cancels each suspicion but whose heartbeats do not arrive at this witness. */
private const val MAX_SUSPECT_AFTER_MS = 2_400L

/** Delay between the witnesses of one router before each of them ends its lease, so that usually only one of them appends the record. */
private const val END_STAGGER_MS = 100L

/**
 * Decides which suspicion and lease records router [self] appends.
 *
 * As a witness it suspects routers whose heartbeats stay away and acknowledges the suspicions that it has read. As a suspected router it
 * cancels the suspicion. Once a majority of the witnesses have read a suspicion and [LeaseTiming.endWaitMs] has passed, it ends the lease
 * of the suspected router. The class does no I/O and is not thread-safe; all times are local monotonic time.
 */
class FailureDetector(
    private val self: RouterId,
    private val timing: LeaseTiming = LeaseTiming(),
) {
    private class WatchedRouter(
        var silentSinceMs: Long,
        var suspectAfterMs: Long,
        var epoch: Long,
        var suspicionOffset: Long? = null,
        var majorityReadAtMs: Long? = null,
    )

    private val watched = mutableMapOf<RouterId, WatchedRouter>()
    private val returnedAtMs = mutableMapOf<ControlRecord, Long>()
    private var lastCalledAtMs: Long? = null

    /** Reports that a heartbeat of [router] arrived at [nowMs]. */
    fun heartbeatReceived(router: RouterId, nowMs: Long) {
        watched[router]?.let {
            it.silentSinceMs = nowMs
            it.suspectAfterMs = timing.suspectAfterMs
        }
    }

    /** Takes in [table], in which this router has applied all records up to its position. Must precede the next [recordsToAppend]. */
    fun tableUpdated(nowMs: Long, table: ControlTable) {
        watched.keys.retainAll { table.isLive(it) }
        for (entry in table.routers.values) {
            if (entry.stage == RouterStage.ENDED) continue
            val router = watched.getOrPut(entry.id) { WatchedRouter(nowMs, timing.suspectAfterMs, entry.epoch) }
            if (router.epoch != entry.epoch) {
                // The witnesses were replaced; a new witness cannot have received a heartbeat yet.
                router.epoch = entry.epoch
                router.silentSinceMs = nowMs
            }
            val offset = entry.suspicion?.offset
            if (router.suspicionOffset != null && offset != router.suspicionOffset) suspicionCancelled(router, nowMs)
            router.suspicionOffset = offset
            if (router.majorityReadAtMs == null && table.isSuspicionRead(entry)) router.majorityReadAtMs = nowMs
        }
    }

    /** Returns the records to append at [nowMs]. A record that is still due after [LeaseTiming.retryAfterMs] is returned again. */
    fun recordsToAppend(nowMs: Long, table: ControlTable): List<ControlRecord> {
        resetAfterPause(nowMs)
        val due =
            if (!table.isLive(self)) {
                emptyList()
            } else {
                table.routers.values.mapNotNull { if (it.stage == RouterStage.ENDED) null else dueRecord(nowMs, table, it) }
            }
        returnedAtMs.keys.retainAll(due.toSet())
        return due.filter { record ->
            val isDue = returnedAtMs[record]?.let { nowMs - it >= timing.retryAfterMs } ?: true
            if (isDue) returnedAtMs[record] = nowMs
            isDue
        }
    }

    private fun dueRecord(nowMs: Long, table: ControlTable, entry: RouterEntry): ControlRecord? {
        val suspicion = entry.suspicion
        return when {
            entry.id == self -> suspicion?.let { ControlRecord.SuspicionCancelled(self, it.offset) }
            suspicion == null ->
                ControlRecord.Suspected(entry.id, self).takeIf { table.maySuspect(self, entry) && isSilent(nowMs, table, entry) }
            self in entry.witnesses && self !in suspicion.readBy -> ControlRecord.SuspicionRead(entry.id, suspicion.offset, self)
            else -> ControlRecord.LeaseEnded(entry.id, suspicion.offset).takeIf { mayEndLease(nowMs, table, entry, suspicion) }
        }
    }

    private fun isSilent(nowMs: Long, table: ControlTable, entry: RouterEntry): Boolean {
        val router = watched[entry.id] ?: return false
        // A router without a live witness sends no heartbeats; if it is running, it appoints new witnesses within this time.
        val silenceMs = if (entry.witnesses.none { table.isLive(it) }) MAX_SUSPECT_AFTER_MS else router.suspectAfterMs
        val overdueMs = nowMs - router.silentSinceMs - silenceMs
        return overdueMs >= 0 && overdueMs >= unitHash(self.value, entry.id.value, router.silentSinceMs.toString()) * timing.suspectJitterMs
    }

    private fun mayEndLease(nowMs: Long, table: ControlTable, entry: RouterEntry, suspicion: Suspicion): Boolean {
        val majorityReadAtMs = watched[entry.id]?.majorityReadAtMs ?: return false
        val candidates = (listOf(suspicion.by) + entry.witnesses).distinct().filter { table.isLive(it) }
        val rank = candidates.indexOf(self)
        // Routers that are no witnesses act last, in case all witnesses were lost after they had read the suspicion.
        val staggerMs = END_STAGGER_MS * if (rank >= 0) rank else candidates.size + 1
        return nowMs - majorityReadAtMs >= timing.endWaitMs + staggerMs
    }

    /** Doubles the suspicion timeout: the cancellation shows that the router is running although its heartbeats do not arrive here. */
    private fun suspicionCancelled(router: WatchedRouter, nowMs: Long) {
        router.majorityReadAtMs = null
        router.silentSinceMs = nowMs
        router.suspectAfterMs = minOf(router.suspectAfterMs * 2, MAX_SUSPECT_AFTER_MS)
    }

    /** Restarts all suspicion timeouts after a pause of this process, during which it may have missed heartbeats that were sent. */
    private fun resetAfterPause(nowMs: Long) {
        val pauseMs = nowMs - (lastCalledAtMs ?: nowMs)
        lastCalledAtMs = nowMs
        if (pauseMs >= timing.suspectAfterMs / 2) watched.values.forEach { it.silentSinceMs = nowMs }
    }
}
