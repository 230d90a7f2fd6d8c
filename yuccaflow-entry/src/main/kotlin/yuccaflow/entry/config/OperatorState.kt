package yuccaflow.entry.config

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import yuccaflow.base.TimerService
import yuccaflow.entry.directory.OperatorRecord
import yuccaflow.entry.directory.RecordDecoder
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.store.StreamListener
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events

/** What the operators want, as far as this router has read it. A version that is in force never reverts to an older one. */
internal class OperatorState(
    private val decoder: RecordDecoder,
    private val timer: TimerService,
    private val events: EventLog,
) : StreamListener {
    /** The newest valid routing table, or null before the first one. */
    var table: RoutingTable? = null
        private set

    private var emptied: PersistentMap<String, Long> = persistentMapOf()
    private val returnedAtMs = HashMap<String, Long>()

    /** Tells whether [zone] must get no new work. */
    fun isEmptied(zone: String): Boolean = zone in emptied

    /** When this router read that [zone] is to be emptied, or null. */
    fun emptiedAtMs(zone: String): Long? = emptied[zone]

    /** When [zone] was taken back after it had been emptied, or null. */
    fun returnedAtMs(zone: String): Long? = returnedAtMs[zone]

    override fun onSnapshot(records: List<KeyedRecord>, endOffset: Long) {
        val present = records.mapNotNull { take(it) }.toSet()
        emptied.keys.filter { it !in present }.forEach(::returnZone)
    }

    override fun onRecords(records: List<KeyedRecord>, endOffset: Long) {
        records.forEach { take(it) }
    }

    /** Takes one record and returns the zone that it empties, if any. */
    private fun take(record: KeyedRecord): String? {
        when (val decoded = decoder.decodeOperatorRecord(record.key, record.value)) {
            is OperatorRecord.Table -> apply(decoded.table)
            is OperatorRecord.EmptiedZone -> {
                if (record.value == null) returnZone(decoded.zone) else emptyZone(decoded.zone, record.offset)
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

    private fun apply(newer: RoutingTable) {
        val inForce = table?.version
        if (inForce != null && newer.version <= inForce) return
        table = newer
        events.log(Events.CONFIG_APPLIED) {
            put("version", newer.version)
            put("previous_version", inForce)
            put("routes", newer.routes.size)
            put("services", newer.services.size)
        }
    }

    private fun emptyZone(zone: String, offset: Long) {
        if (zone in emptied) return
        emptied = emptied.put(zone, timer.nowMs())
        events.log(Events.ZONE_EMPTIED) {
            put("emptied_zone", zone)
            put("offset", offset)
        }
    }

    private fun returnZone(zone: String) {
        if (zone !in emptied) return
        emptied = emptied.remove(zone)
        returnedAtMs[zone] = timer.nowMs()
        events.log(Events.ZONE_RETURNED) { put("returned_zone", zone) }
    }
}
