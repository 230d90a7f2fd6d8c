package yuccaflow.entry.directory

import yuccaflow.base.TimerService
import yuccaflow.entry.balance.TargetState
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.store.StreamListener
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events

/**
 * The targets that this router knows, from the targets' stream.
 *
 * An entry that disappears while the store is unreachable, or shortly after, may only have lapsed: its target stays in use for
 * [LAPSE_GRACE_MS], in which a living target writes its entry again.
 */
internal class TargetDirectory(
    private val decoder: RecordDecoder,
    private val operators: OperatorState,
    private val timer: TimerService,
    private val events: EventLog,
    private val storeFailedAtMs: () -> Long?,
) : StreamListener {
    private val states = HashMap<String, TargetState>()
    private val departed = HashMap<String, TargetState>()

    /** Returns the state of target [id] if its entry stands, or has lapsed only just now. */
    fun find(id: String): TargetState? = states[id]?.takeUnless { isGone(it) }

    /** Returns the state of target [id], also when its entry disappeared up to [withinMs] ago. */
    fun findDeparted(id: String, withinMs: Long): TargetState? =
        departed[id]?.takeIf { timer.nowMs() - (it.entryRemovedAtMs ?: 0L) < withinMs }

    /** All targets of [service] that are not gone, those that drain or lie in emptied zones too. */
    fun ofService(service: String): List<TargetState> = states.values.filter { it.entry.service == service && !isGone(it) }

    /** Tells whether the target may get new work that is not bound to it. */
    fun acceptsNewWork(state: TargetState): Boolean = !state.entry.isDraining && !operators.isEmptied(state.entry.zone)

    /** Tells whether any target is known. */
    fun isEmpty(): Boolean = states.isEmpty()

    override fun onSnapshot(records: List<KeyedRecord>, endOffset: Long) {
        val present = records.filter { it.value != null }.map { it.key }.toSet()
        records.forEach(::take)
        states.keys.filter { it !in present }.forEach(::lapse)
    }

    override fun onRecords(records: List<KeyedRecord>, endOffset: Long) = records.forEach(::take)

    private fun take(record: KeyedRecord) {
        val value = record.value ?: return lapse(record.key)
        when (val decoded = decoder.decodeTargetRecord(record.key, value)) {
            is TargetRecord.Valid -> update(decoded.entry)
            // The key may have named a target before; nothing valid is known of it now.
            is TargetRecord.Rejected -> {
                events.log(Events.TARGET_REJECTED) {
                    put("target", record.key)
                    put("offset", record.offset)
                    put("reason", decoded.reason)
                }
                lapse(record.key)
            }
        }
    }

    private fun update(entry: TargetEntry) {
        val nowMs = timer.nowMs()
        val known = states[entry.id]
        if (known == null || !known.entry.isSameLife(entry)) {
            states[entry.id] = TargetState(entry, nowMs)
            departed -= entry.id
            logSeen(entry, known)
            return
        }
        if (entry.isDraining && !known.entry.isDraining) events.log(Events.TARGET_DRAINING) { put("target", entry.id) }
        known.update(entry, nowMs)
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

    private fun lapse(id: String) {
        val state = states[id] ?: return
        if (state.entryRemovedAtMs != null) return
        val nowMs = timer.nowMs()
        state.entryRemovedAtMs = nowMs
        events.log(Events.TARGET_GONE) {
            put("target", id)
            put("service", state.entry.service)
            put("kept_for_ms", if (mayHaveLapsed(nowMs)) LAPSE_GRACE_MS else 0L)
        }
        if (!mayHaveLapsed(nowMs)) remove(id, state)
    }

    private fun isGone(state: TargetState): Boolean {
        val entryRemovedAtMs = state.entryRemovedAtMs ?: return false
        return timer.nowMs() - entryRemovedAtMs >= LAPSE_GRACE_MS
    }

    /** Drops the targets whose grace has ended. */
    fun removeExpired() {
        states.filterValues(::isGone).forEach { (id, state) -> remove(id, state) }
        val nowMs = timer.nowMs()
        departed.values.removeIf { nowMs - (it.entryRemovedAtMs ?: 0L) > DEPARTED_KEPT_MS }
    }

    private fun remove(id: String, state: TargetState) {
        states -= id
        departed[id] = state
    }

    private fun mayHaveLapsed(nowMs: Long): Boolean = storeFailedAtMs()?.let { nowMs - it < STORE_TROUBLE_MS } ?: false

    internal companion object {
        /** A living target writes its entry again soon after the store has returned; a target that is gone must get no work after 2 s. */
        const val LAPSE_GRACE_MS = 1_700L

        /** How long after a failed call entries may still disappear because of the outage. */
        const val STORE_TROUBLE_MS = 3_000L

        private const val DEPARTED_KEPT_MS = 10_000L
    }
}
