package yuccaflow.entry.directory

import yuccaflow.base.TimerService
import yuccaflow.entry.balance.Announcement
import yuccaflow.entry.balance.RampUpFactory
import yuccaflow.entry.balance.TargetState
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.store.StreamListener
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events

/**
 * The targets that this router knows from the targets' stream.
 *
 * If an entry is removed while the store is unreachable, or shortly after, it may have expired although its target is running. So the
 * target stays in use for [REMOVAL_GRACE_MS], in which a running target writes its entry again. The same holds for an entry that is missing
 * in a new era of the store.
 *
 * @property storeFailedAtMs returns when the store was last found unreachable, or null if it never was.
 */
internal class TargetDirectory(
    private val decoder: RecordDecoder,
    private val operators: OperatorState,
    private val timer: TimerService,
    private val events: EventLog,
    private val storeFailedAtMs: () -> Long?,
) : StreamListener {
    private val states = HashMap<String, TargetState>()
    private val removedStates = HashMap<String, TargetState>()
    private val rampUpFactory = RampUpFactory(operators, timer, events, ::ofService)
    private var eraBeganAtMs: Long? = null

    /** Returns the state of target [id] if its entry is present or in the grace period after its removal. */
    fun find(id: String): TargetState? = states[id]?.takeUnless { isExpired(it) }

    /** Returns the state of a target that [find] does not return any more, if its entry was removed a few seconds ago. */
    fun findRemoved(id: String): TargetState? = removedStates[id]

    /** Returns the state of the target that the latest entry with the id of [state] describes. It may be that of a later incarnation. */
    fun latestOf(state: TargetState): TargetState = states[state.entry.id] ?: removedStates[state.entry.id] ?: state

    /** Returns the targets of [service], including draining ones and those in emptied zones. */
    fun ofService(service: String): List<TargetState> = states.values.filter { it.entry.service == service && !isExpired(it) }

    /** Returns whether the target may get requests or keys that it does not own already: it is not draining and its zone is not emptied. */
    fun acceptsNewWork(state: TargetState): Boolean = state.draining == null && !operators.isEmptied(state.entry.zone)

    /** Returns the entries of the targets that have said in an answer that they leave. */
    fun saidToLeave(): List<TargetEntry> = states.values.filter { it.saysItLeaves }.map { it.entry }

    /**
     * Records that [state] has said that it leaves in an answer to request [requestId], or to a call of another kind if that is null. The
     * answer was made after [saidAfterMs], or at any time if that is null.
     */
    fun recordLeaving(state: TargetState, saidAfterMs: Long?, requestId: String? = null) {
        if (state.saysItLeaves) return
        val nowMs = timer.nowMs()
        state.recordLeavingAnswer(Announcement.read(saidAfterMs, nowMs))
        events.log(Events.TARGET_DRAINING) {
            put("target", state.entry.id)
            put("request", requestId)
            put("written_within_ms", saidAfterMs?.let { nowMs - it })
        }
    }

    /** Returns the number of targets whose requests are being ramped up. */
    fun rampingCount(): Int = states.values.count { it.rampUp?.isRamping ?: false }

    /** Returns whether no target is known. */
    fun isEmpty(): Boolean = states.isEmpty()

    override fun onNewEra(era: Long) {
        eraBeganAtMs = timer.nowMs()
    }

    override fun onSnapshot(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) {
        val present = records.filter { it.value != null }.map { it.key }.toSet()
        records.forEach { applyRecord(it, writtenAfterMs) }
        states.keys.filter { it !in present }.forEach { markRemoved(it, writtenAfterMs) }
    }

    override fun onRecords(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) =
        records.forEach { applyRecord(it, writtenAfterMs) }

    private fun applyRecord(record: KeyedRecord, writtenAfterMs: Long?) {
        val value = record.value ?: return markRemoved(record.key, writtenAfterMs)
        when (val decoded = decoder.decodeTargetRecord(record.key, value)) {
            is TargetRecord.Valid -> update(decoded.entry, writtenAfterMs)
            // An earlier entry of the key may have been valid, but it is out of date now.
            is TargetRecord.Rejected -> {
                events.log(Events.TARGET_REJECTED) {
                    put("target", record.key)
                    put("offset", record.offset)
                    put("reason", decoded.reason)
                }
                markRemoved(record.key, writtenAfterMs)
            }
        }
    }

    private fun update(entry: TargetEntry, writtenAfterMs: Long?) {
        val nowMs = timer.nowMs()
        val known = states[entry.id] ?: removedStates[entry.id]
        removedStates -= entry.id
        if (known == null || !known.entry.isSameIncarnation(entry)) {
            states[entry.id] = TargetState(entry, nowMs, writtenAfterMs, rampUpFactory).also { keepPause(known, it, nowMs) }
            logSeen(entry, known)
            return
        }
        states[entry.id] = known
        if (entry.isDraining && known.draining == null) {
            events.log(Events.TARGET_DRAINING) {
                put("target", entry.id)
                put("written_within_ms", writtenAfterMs?.let { nowMs - it })
            }
        }
        known.update(withKnownDraining(entry, known), nowMs, writtenAfterMs)
    }

    /** The [next] incarnation may be the one that has asked for the pause of [known]: its entry is read some time after its start. */
    private fun keepPause(known: TargetState?, next: TargetState, nowMs: Long) {
        val restMs = known?.takeIf { it.entry.address == next.entry.address }?.pauseRestMs(nowMs) ?: 0
        if (restMs > 0) next.pauseUntil(nowMs + restMs)
    }

    /** Keeps the announcement that a target drains if [entry] may be an older one that a new era of the store has brought back. */
    private fun withKnownDraining(entry: TargetEntry, known: TargetState): TargetEntry {
        val mayBeOlder = eraBeganAtMs?.let { timer.nowMs() - it < OUTAGE_EFFECT_MS } ?: false
        return if (mayBeOlder && known.draining != null) entry.copy(isDraining = true) else entry
    }

    private fun logSeen(entry: TargetEntry, previous: TargetState?) = events.log(Events.TARGET_SEEN) {
        put("target", entry.id)
        put("service", entry.service)
        put("address", entry.address.toString())
        put("target_zone", entry.zone)
        put("born_ms", entry.bornMs)
        put("previous_born_ms", previous?.entry?.bornMs)
        put("cold_for_ms", entry.coldRemainingMs)
        put("draining", entry.isDraining)
    }

    private fun markRemoved(id: String, writtenAfterMs: Long?) {
        val state = states[id] ?: return
        if (state.removal != null) return
        val nowMs = timer.nowMs()
        val mayBeDueToOutage = mayBeDueToOutage(nowMs)
        state.removal = if (mayBeDueToOutage) removalInOutage(writtenAfterMs, nowMs) else Announcement.read(writtenAfterMs, nowMs)
        events.log(Events.TARGET_GONE) {
            put("target", id)
            put("service", state.entry.service)
            put("kept_for_ms", if (mayBeDueToOutage) REMOVAL_GRACE_MS else 0L)
            put("written_within_ms", writtenAfterMs?.let { nowMs - it })
        }
        if (!mayBeDueToOutage) remove(id, state)
    }

    /**
     * An entry that expired in an outage announces nothing. Its target is kept until it has had time to write another one, counted from the
     * removal where that was recent, and else from now, because the target may be able to write only since.
     */
    private fun removalInOutage(writtenAfterMs: Long?, nowMs: Long): Announcement {
        val removedAtMs = writtenAfterMs?.takeIf { nowMs - it < REMOVAL_GRACE_MS } ?: nowMs
        return Announcement(removedAtMs, removedAtMs)
    }

    private fun isExpired(state: TargetState): Boolean {
        val removal = state.removal ?: return false
        return timer.nowMs() - removal.readAtMs >= REMOVAL_GRACE_MS
    }

    /** Removes the targets whose grace period has ended. */
    fun removeExpired() {
        states.filterValues(::isExpired).forEach { (id, state) -> remove(id, state) }
        val nowMs = timer.nowMs()
        removedStates.values.removeIf { state -> state.removal?.let { nowMs - it.readAtMs > REMOVED_RETENTION_MS } ?: true }
    }

    private fun remove(id: String, state: TargetState) {
        states -= id
        removedStates[id] = state
    }

    private fun mayBeDueToOutage(nowMs: Long): Boolean =
        listOfNotNull(storeFailedAtMs(), eraBeganAtMs).any { nowMs - it < OUTAGE_EFFECT_MS }

    internal companion object {
        /**
         * A running target writes its entry again soon after the store has recovered. A target that has stopped must get no requests later
         * than 2 s after its entry was removed.
         */
        const val REMOVAL_GRACE_MS = 1_700L

        /** How long after a failed call entries may still expire because of the outage. */
        const val OUTAGE_EFFECT_MS = 3_000L

        private const val REMOVED_RETENTION_MS = 10_000L
    }
}
