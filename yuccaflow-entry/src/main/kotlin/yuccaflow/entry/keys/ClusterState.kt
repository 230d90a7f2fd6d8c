package yuccaflow.entry.keys

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import yuccaflow.base.TimerService
import yuccaflow.entry.store.KeyedChange
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.store.StreamListener
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events
import yuccaflow.http.SocketAddress
import java.util.TreeMap

/**
 * The planner record. It names the planner, the elected router that assigns key ranges to targets.
 *
 * @property node the name of the router, or empty if the planner has resigned.
 * @property life identifies the incarnation of the router, that is, one run of its process.
 * @property term increases with each change of the planner.
 * @property haveFormersEnded whether none of the planners before this one, or before the one that resigned, can still call targets.
 * @property era the era of the store in which the append of this record was decided.
 * @property isRestored whether the assignments of [era] have been written. Until then, those of an older era are the latest known ones, and
 * moves may be missing from them. Has no meaning in era 0.
 * @property isSettled whether all grants of older eras that the assignments do not show have ended. Has no meaning in era 0.
 */
@Serializable
internal data class PlannerTerm(
    val node: String,
    val life: String,
    val term: Long,
    val haveFormersEnded: Boolean = false,
    val era: Long = 0,
    val isRestored: Boolean = false,
    val isSettled: Boolean = false,
) {
    /** Whether the planner has resigned and has no successor yet. */
    val isVacant: Boolean get() = node.isEmpty()

    /** Whether the assignments that are read with this record are those of its era. */
    val hasAssignments: Boolean get() = era == 0L || isRestored

    /** Whether no grant can be valid that neither the assignments nor the planner knows. */
    val hasNoUnknownGrants: Boolean get() = era == 0L || isSettled
}

/**
 * The membership record of a router.
 *
 * @property relay the address at which the router forwards other routers' calls to the store.
 * @property capacityCores processing capacity of the host, in cores, or 0 if the router did not report it.
 * @property linkMbps bandwidth of the host's link, in Mbit/s, or 0 if the router did not report it.
 */
@Serializable
internal data class RouterMember(
    val node: String,
    val zone: String,
    val relay: String,
    val capacityCores: Double = 0.0,
    val linkMbps: Double = 0.0,
) {
    /** The capacity of the host. */
    val capacity: HostCapacity get() = HostCapacity(capacityCores, linkMbps)
}

/**
 * The state read from the routers' stream: the planner, the member routers and the assignments of all key ranges.
 *
 * A new era of the store has no planner until a router claims in it. The assignments are those of the latest era in which they have been
 * written completely.
 */
internal class ClusterState(
    private val timer: TimerService,
    private val events: EventLog,
) : StreamListener {
    private val rangesByEra = TreeMap<Long, HashMap<String, TreeMap<Int, Assignment>>>()
    private val planners = TreeMap<Long, PlannerTerm>()
    private val members = HashMap<String, RouterMember>()

    /** The nodes whose membership records were read in this era. */
    private val recordedMembers = HashSet<String>()
    private val ranges: Map<String, TreeMap<Int, Assignment>> get() = rangesByEra[assignmentsEra].orEmpty()
    private var plannerBeforeEra: PlannerTerm? = null
    private var isFirstSnapshotOfEra = false
    private val eraListeners = ArrayList<() -> Unit>()
    private val changedAtMs = HashMap<Pair<String, Int>, Long>()
    private val listeners = ArrayList<() -> Unit>()
    private val recentRecords = ArrayDeque<KeyedRecord>()
    private val readOffset = MutableStateFlow<Long?>(null)

    /** The era of the store in which the stream was read up to [endOffset]. */
    var era = 0L
        private set

    /** The latest planner record of [era], or null before the first one. */
    val planner: PlannerTerm? get() = planners[era]

    /** The planners of older eras that may still act: the last one that is recorded, and the one that this router knew before [era]. */
    val plannersOfOlderEras: List<PlannerTerm>
        get() = listOfNotNull(planners.lowerEntry(era)?.value, plannerBeforeEra).filterNot { it.isVacant }.distinct()

    /** Whether any planner has been recorded, in this era or an older one. */
    val hasHadPlanner: Boolean get() = planners.isNotEmpty() || plannerBeforeEra != null

    /** The latest era in which the assignments have been written. */
    private val assignmentsEra: Long get() = planners
        .descendingMap()
        .values
        .firstOrNull { it.isRestored }
        ?.era ?: 0

    /** When this router read the latest planner record, or null before the first one. */
    var plannerReadAtMs: Long? = null
        private set

    /** The offset up to which the stream has been read, or null before the first snapshot. */
    val endOffset: Long? get() = readOffset.value

    /** The number of routers that have ever been members, including those that were removed for good, but at least 1. */
    val memberCount: Int get() = members.size.coerceAtLeast(1)

    /** The capacities of the hosts of all routers that have ever been members. */
    val capacities: List<HostCapacity> get() = members.values.map { it.capacity }

    /** The names of the routers that have ever been members. */
    val nodes: Set<String> get() = members.keys

    /** Returns whether the stream contains a record equal to [member] in this era of the store. */
    fun hasMember(member: RouterMember): Boolean = member.node in recordedMembers && members[member.node] == member

    /** Returns the relay address of the planner, or null if it is not known or the planner is [exceptNode]. */
    fun plannerRelay(exceptNode: String): SocketAddress? = planner?.node?.takeIf { it != exceptNode }?.let(::relayOf)

    /** Returns the relay address of [node], or null if it is not known. */
    fun relayOf(node: String): SocketAddress? = members[node]?.let { SocketAddress.parseOrNull(it.relay) }

    /** Returns the relay addresses of the routers in [zone] except [exceptNode]. */
    fun relaysIn(zone: String, exceptNode: String): List<SocketAddress> =
        members.values.filter { it.zone == zone && it.node != exceptNode }.mapNotNull { SocketAddress.parseOrNull(it.relay) }

    /** Returns the relay addresses of all routers except [node]. */
    fun relaysExcept(node: String): List<SocketAddress> =
        members.values.filter { it.node != node }.mapNotNull { SocketAddress.parseOrNull(it.relay) }

    /** Registers [listener] to be called after each change. */
    fun onChange(listener: () -> Unit) {
        listeners += listener
    }

    /** Registers [listener] to be called when a new era begins, while the state is still that of the former one. */
    fun onEraEnding(listener: () -> Unit) {
        eraListeners += listener
    }

    /** Returns the records that remove the assignments and planners of older eras from the stream. */
    fun removalsOfOlderEras(): List<KeyedChange> {
        val ranges = rangesByEra.headMap(era).flatMap { (olderEra, services) ->
            services.flatMap { (service, assignments) -> assignments.keys.map { rangeRemoval(service, it, olderEra) } }
        }
        return ranges + planners.headMap(era).keys.map { KeyedChange(RecordKey(RecordKey.PLANNER, it).toString(), null) }
    }

    /** Returns the assignment of [service] that contains [key], or null. */
    fun find(service: String, key: Int): Assignment? = ranges[service]?.floorEntry(key)?.value?.takeIf { key <= it.to }

    /** Returns all assignments of [service], ordered by key. */
    fun ofService(service: String): List<Assignment> = ranges[service]?.values?.toList().orEmpty()

    /** Returns the services that have assignments. */
    fun services(): Set<String> = ranges.keys.toSet()

    /** Returns when this router read the current record of the range of [assignment], or null. */
    fun readAtMs(assignment: Assignment): Long? = changedAtMs[assignment.service to assignment.from]

    override fun onNewEra(era: Long) {
        eraListeners.forEach { it() }
        plannerBeforeEra = planner ?: plannerBeforeEra
        this.era = era
        isFirstSnapshotOfEra = true
    }

    override fun onSnapshot(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) {
        rangesByEra.clear()
        planners.clear()
        recordedMembers.clear()
        // Routers whose membership records were lost are still running. They must be found, and have their part of the shared limits.
        if (!isFirstSnapshotOfEra) members.clear()
        isFirstSnapshotOfEra = false
        records.forEach(::applyRecord)
        recentRecords.clear()
        readOffset.value = endOffset
        notifyListeners()
    }

    override fun onRecords(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long?) {
        records.forEach(::applyRecord)
        recentRecords += records
        while (recentRecords.size > MAX_RECENT_RECORDS) recentRecords.removeFirst()
        readOffset.value = endOffset
        if (records.isNotEmpty()) notifyListeners()
    }

    /** Returns the records from [offset] on, or null if this router no longer has all of them. */
    fun recordsFrom(offset: Long): List<KeyedRecord>? {
        val end = endOffset ?: return null
        if (offset >= end) return emptyList()
        if (recentRecords.isEmpty() || recentRecords.first().offset > offset) return null
        return recentRecords.filter { it.offset >= offset }
    }

    /** Waits until the stream has been read past [offset], but at most [waitMs]. */
    suspend fun awaitEndAfter(offset: Long, waitMs: Long) {
        withTimeoutOrNull(waitMs) { readOffset.first { it != null && it > offset } }
    }

    private fun notifyListeners() = listeners.forEach { it() }

    private fun applyRecord(record: KeyedRecord) {
        val key = RecordKey.of(record.key)
        when (key.kind) {
            RecordKey.PLANNER -> applyPlannerRecord(record, key.era)
            RecordKey.MEMBER -> decode(record, RouterMember.serializer())?.let {
                members[it.node] = it
                recordedMembers += it.node
            }
            RecordKey.RANGE -> applyRange(record, key.era)
            else -> reject(record, "expected a key of a planner, member or range record")
        }
    }

    private fun applyPlannerRecord(record: KeyedRecord, recordEra: Long) {
        if (record.value == null) planners -= recordEra
        val newer = decode(record, PlannerTerm.serializer()) ?: return
        if (newer.era != recordEra) return reject(record, "expected the era of the record key, found ${newer.era}")
        val previous = planners.put(recordEra, newer)
        if (previous == newer || recordEra != era) return
        plannerReadAtMs = timer.nowMs()
        events.log(Events.PLANNER_SEEN) {
            put("planner", newer.node)
            put("term", newer.term)
            if (newer.era > 0) put("era", newer.era)
        }
    }

    private fun applyRange(record: KeyedRecord, recordEra: Long) {
        if (recordEra < assignmentsEra && record.value != null) logVoid(record, recordEra)
        val service = record.key.substringAfter('/').substringBeforeLast('/')
        val from = record.key.substringAfterLast('/').toIntOrNull()
            ?: return reject(record, "expected the first key of the range after the last slash of the record key")
        changedAtMs[service to from] = timer.nowMs()
        if (record.value == null) {
            rangesByEra[recordEra]?.get(service)?.remove(from)
            return
        }
        val assignment = decode(record, Assignment.serializer()) ?: return
        if (!isValid(assignment, service, from)) return reject(record, "expected a range of keys in order with holders that have addresses")
        rangesByEra.getOrPut(recordEra) { HashMap() }.getOrPut(service) { TreeMap() }[from] = assignment
    }

    private fun logVoid(record: KeyedRecord, recordEra: Long) = events.log(Events.RANGE_VOID) {
        put("key", record.key)
        put("offset", record.offset)
        put("era", recordEra)
        put("assignments_era", assignmentsEra)
    }

    private fun isValid(assignment: Assignment, service: String, from: Int): Boolean {
        val holders = assignment.formers.map { it.holder } + assignment.holder
        return assignment.service == service &&
            assignment.from == from &&
            from in FIRST_KEY..LAST_KEY &&
            assignment.to in from..LAST_KEY &&
            holders.all { SocketAddress.parseOrNull(it.address) != null }
    }

    private fun <T> decode(record: KeyedRecord, serializer: KSerializer<T>): T? {
        val value = record.value ?: return null
        return try {
            JSON.decodeFromString(serializer, value.decodeToString())
        } catch (invalid: SerializationException) {
            reject(record, invalid.message.orEmpty())
            null
        }
    }

    private fun reject(record: KeyedRecord, reason: String) = events.log(Events.RECORD_REJECTED) {
        put("key", record.key)
        put("offset", record.offset)
        put("reason", reason)
    }

    companion object {
        private const val KEY_DIGITS = 5

        /** Records that are kept for other routers to read. */
        private const val MAX_RECENT_RECORDS = 300
        private val JSON = Json { ignoreUnknownKeys = true }

        /** Returns the planner record for [term]. */
        fun plannerChange(
            term: PlannerTerm,
        ) = KeyedChange(RecordKey(RecordKey.PLANNER, term.era).toString(), encode(PlannerTerm.serializer(), term))

        /** Returns the membership record for [member]. */
        fun memberChange(
            member: RouterMember,
        ) = KeyedChange("${RecordKey.MEMBER}/${member.node}", encode(RouterMember.serializer(), member))

        /** Returns the record that sets [assignment] in [era] of the store. */
        fun rangeChange(assignment: Assignment, era: Long = 0) =
            KeyedChange(rangeKey(assignment.service, assignment.from, era), encode(Assignment.serializer(), assignment))

        /** Returns the record that removes the range of [service] that starts at [from] in [era] of the store. */
        fun rangeRemoval(service: String, from: Int, era: Long = 0) = KeyedChange(rangeKey(service, from, era), null)

        private fun rangeKey(service: String, from: Int, era: Long) =
            "${RecordKey(RecordKey.RANGE, era)}/$service/${from.toString().padStart(KEY_DIGITS, '0')}"

        private fun <T> encode(serializer: KSerializer<T>, value: T) = JSON.encodeToString(serializer, value).toByteArray()
    }
}
