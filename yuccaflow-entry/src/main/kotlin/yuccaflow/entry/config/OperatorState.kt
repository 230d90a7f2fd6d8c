package yuccaflow.entry.config

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import yuccaflow.base.TimerService
import yuccaflow.entry.balance.Announcement
import yuccaflow.entry.directory.OperatorRecord
import yuccaflow.entry.directory.RecordDecoder
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.store.StreamListener
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events

/**
 * The operators' routing table and the zones that they have emptied, as far as this router has read them.
 *
 * Operators empty a zone to evacuate it: its targets get no new requests. The routing table never reverts to an older version. A zone whose
 * record is missing in a new era of the store stays emptied for [LOST_RECORD_GRACE_MS], in which the operators write the record again.
 */
internal class OperatorState(
    private val decoder: RecordDecoder,
    private val timer: TimerService,
    private val events: EventLog,
) : StreamListener {
    /** The valid routing table with the highest version, or null if none has been read. */
    var table: RoutingTable? = null
        private set

    private var emptiedZones: PersistentMap<String, Announcement> = persistentMapOf()
    private val returnedAtMsByZone = HashMap<String, Long>()

    /** Until when the zones whose records a new era of the store lacks stay emptied. */
    private val keptUntilMsByZone = HashMap<String, Long>()
    private var eraBeganAtMs: Long? = null

    /** Returns whether the operators have emptied [zone], so that its targets must get no new requests. */
    fun isEmptied(zone: String): Boolean = emptied(zone) != null

    /** The announcement that [zone] was emptied, or null if it is not emptied. */
    fun emptied(zone: String): Announcement? {
        if (keptUntilMsByZone[zone]?.let { timer.nowMs() >= it } == true) returnZone(zone)
        return emptiedZones[zone]
    }

    /** When this router read that [zone] was last returned to service, or null if it never was. */
    fun returnedAtMs(zone: String): Long? = returnedAtMsByZone[zone]

    override fun onNewEra(era: Long) {
        eraBeganAtMs = timer.nowMs()
    }

    override fun onSnapshot(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) {
        val zonesInSnapshot = records.mapNotNull { applyRecord(it, writtenAfterMs) }.toSet()
        emptiedZones.keys.filter { it !in zonesInSnapshot }.forEach(::returnOrKeepZone)
    }

    override fun onRecords(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) {
        records.forEach { applyRecord(it, writtenAfterMs) }
    }

    /** Applies one record. Returns the zone that it empties or returns to service, if any. */
    private fun applyRecord(record: KeyedRecord, writtenAfterMs: Long?): String? {
        when (val decoded = decoder.decodeOperatorRecord(record.key, record.value)) {
            is OperatorRecord.Table -> applyTable(decoded.table, writtenAfterMs)
            is OperatorRecord.EmptiedZone -> {
                if (record.value == null) returnZone(decoded.zone) else emptyZone(decoded.zone, record.offset, writtenAfterMs)
                return decoded.zone
            }
            is OperatorRecord.Rejected -> events.log(Events.CONFIG_REJECTED) {
                put("key", record.key)
                put("offset", record.offset)
                put("reason", decoded.reason)
                put("version_in_force", table?.version)
            }
        }
        return null
    }

    private fun applyTable(candidate: RoutingTable, writtenAfterMs: Long?) {
        val currentVersion = table?.version
        if (currentVersion != null && candidate.version <= currentVersion) return
        table = candidate
        events.log(Events.CONFIG_APPLIED) {
            put("version", candidate.version)
            put("previous_version", currentVersion)
            put("routes", candidate.routes.size)
            put("services", candidate.services.size)
            put("rejected_entries", candidate.rejected.size)
            put("written_within_ms", writtenAfterMs?.let { timer.nowMs() - it })
        }
        candidate.rejected.take(MAX_LOGGED_REJECTIONS).forEach { logRejected(candidate.version, it) }
    }

    private fun logRejected(version: Long, entry: RejectedEntry) {
        val event = when (entry) {
            is RejectedEntry.OfRoute -> Events.ROUTE_REJECTED
            is RejectedEntry.OfService -> Events.SERVICE_REJECTED
        }
        events.log(event) {
            put("version", version)
            put("name", entry.name)
            put("reason", entry.reason)
        }
    }

    /** Returns [zone] to service, or keeps it emptied for a while if its record may have been lost in a new era of the store. */
    private fun returnOrKeepZone(zone: String) {
        val keptUntilMs = eraBeganAtMs?.let { it + LOST_RECORD_GRACE_MS } ?: Long.MIN_VALUE
        if (timer.nowMs() >= keptUntilMs) return returnZone(zone)
        keptUntilMsByZone[zone] = keptUntilMs
    }

    private fun emptyZone(zone: String, offset: Long, writtenAfterMs: Long?) {
        keptUntilMsByZone -= zone
        if (zone in emptiedZones) return
        emptiedZones = emptiedZones.put(zone, Announcement.read(writtenAfterMs, timer.nowMs()))
        events.log(Events.ZONE_EMPTIED) {
            put("emptied_zone", zone)
            put("offset", offset)
            put("written_within_ms", writtenAfterMs?.let { timer.nowMs() - it })
        }
    }

    private fun returnZone(zone: String) {
        keptUntilMsByZone -= zone
        if (zone !in emptiedZones) return
        emptiedZones = emptiedZones.remove(zone)
        returnedAtMsByZone[zone] = timer.nowMs()
        events.log(Events.ZONE_RETURNED) { put("returned_zone", zone) }
    }

    private companion object {
        /** Operators write again what a new era lacks, soon but not at once. */
        const val LOST_RECORD_GRACE_MS = 5_000L

        /** Bounds the log of a table in which many entries are invalid. The total is in the line of the table. */
        const val MAX_LOGGED_REJECTIONS = 20
    }
}
