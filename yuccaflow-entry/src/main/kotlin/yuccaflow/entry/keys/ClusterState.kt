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
 * The router that plans who owns which keys.
 *
 * @property node the router, or empty after the planner has resigned.
 * @property life tells two lives of the router [node] apart.
 * @property term rises with each change of the planner.
 * @property haveFormersEnded whether no planner before the one that resigned can give an order any more. Set by a resignation only.
 */
@Serializable
internal data class PlannerTerm(
    val node: String,
    val life: String,
    val term: Long,
    val haveFormersEnded: Boolean = false,
) {
    /** Whether the former planner has resigned and none has followed yet. */
    val isVacant: Boolean get() = node.isEmpty()
}

/** One router that has started. [relay] is the address at which it passes calls on to the store. */
@Serializable
internal data class RouterMember(
    val node: String,
    val zone: String,
    val relay: String,
)

/** The routers' own stream as read so far: the planner, the members and the owners of all key ranges. */
internal class ClusterState(
    private val timer: TimerService,
    private val events: EventLog,
) : StreamListener {
    private val ranges = HashMap<String, TreeMap<Int, Assignment>>()
    private val members = HashMap<String, RouterMember>()
    private val changedAtMs = HashMap<Pair<String, Int>, Long>()
    private val listeners = ArrayList<() -> Unit>()
    private val recent = ArrayDeque<KeyedRecord>()
    private val readTo = MutableStateFlow<Long?>(null)

    /** The latest planner, or null before the first one. */
    var planner: PlannerTerm? = null
        private set

    /** Where the stream ended when it was read last; null before the first snapshot. */
    val endOffset: Long? get() = readTo.value

    /** Routers that have started since the first start of the system. Routers that were taken away for good still count. */
    val memberCount: Int get() = members.size.coerceAtLeast(1)

    /** The names of these routers. */
    val nodes: Set<String> get() = members.keys

    /** Returns whether the records have [member] as it is. */
    fun hasMember(member: RouterMember): Boolean = members[member.node] == member

    /** The relay address of the planner, or null when it is [exceptNode] or not known. */
    fun plannerRelay(exceptNode: String): SocketAddress? = planner?.node?.takeIf { it != exceptNode }?.let(::relayOf)

    /** The relay address of [node], or null. */
    fun relayOf(node: String): SocketAddress? = members[node]?.let { SocketAddress.parseOrNull(it.relay) }

    /** The relay addresses of the routers in [zone], other than [exceptNode]. */
    fun relaysIn(zone: String, exceptNode: String): List<SocketAddress> =
        members.values.filter { it.zone == zone && it.node != exceptNode }.mapNotNull { SocketAddress.parseOrNull(it.relay) }

    /** The addresses at which other routers than [node] pass calls on to the store. */
    fun relaysExcept(node: String): List<SocketAddress> =
        members.values.filter { it.node != node }.mapNotNull { SocketAddress.parseOrNull(it.relay) }

    /** Calls [listener] after each change. */
    fun onChange(listener: () -> Unit) {
        listeners += listener
    }

    /** Returns the assignment that covers [key], or null. */
    fun find(service: String, key: Int): Assignment? = ranges[service]?.floorEntry(key)?.value?.takeIf { key <= it.to }

    /** All assignments of [service] in the order of their keys. */
    fun ofService(service: String): List<Assignment> = ranges[service]?.values?.toList().orEmpty()

    /** The services that have assignments. */
    fun services(): Set<String> = ranges.keys.toSet()

    /** When this router read the present record of the range, or null. */
    fun readAtMs(assignment: Assignment): Long? = changedAtMs[assignment.service to assignment.from]

    override fun onSnapshot(records: List<KeyedRecord>, endOffset: Long) {
        ranges.clear()
        members.clear()
        planner = null
        records.forEach(::take)
        recent.clear()
        readTo.value = endOffset
        changed()
    }

    override fun onRecords(records: List<KeyedRecord>, endOffset: Long) {
        records.forEach(::take)
        recent += records
        while (recent.size > MOST_RECENT) recent.removeFirst()
        readTo.value = endOffset
        if (records.isNotEmpty()) changed()
    }

    /** The records from [offset] on, or null when this router does not have all of them any more. */
    fun recordsFrom(offset: Long): List<KeyedRecord>? {
        val end = endOffset ?: return null
        if (offset >= end) return emptyList()
        if (recent.isEmpty() || recent.first().offset > offset) return null
        return recent.filter { it.offset >= offset }
    }

    /** Waits until the stream has been read past [offset], for [waitMs] at most. */
    suspend fun awaitEndAfter(offset: Long, waitMs: Long) {
        withTimeoutOrNull(waitMs) { readTo.first { it != null && it > offset } }
    }

    private fun changed() = listeners.forEach { it() }

    private fun take(record: KeyedRecord) {
        val kind = record.key.substringBefore('/')
        when (kind) {
            PLANNER -> decode(record, PlannerTerm.serializer())?.let(::takePlanner)
            MEMBER -> decode(record, RouterMember.serializer())?.let { members[it.node] = it }
            RANGE -> takeRange(record)
            else -> reject(record, "the key is of no known kind")
        }
    }

    private fun takePlanner(newer: PlannerTerm) {
        if (planner == newer) return
        planner = newer
        events.log(Events.PLANNER_SEEN) {
            put("planner", newer.node)
            put("term", newer.term)
        }
    }

    private fun takeRange(record: KeyedRecord) {
        val service = record.key.substringAfter('/').substringBeforeLast('/')
        val from = record.key.substringAfterLast('/').toIntOrNull() ?: return reject(record, "the key names no range")
        changedAtMs[service to from] = timer.nowMs()
        if (record.value == null) {
            ranges[service]?.remove(from)
            return
        }
        val assignment = decode(record, Assignment.serializer()) ?: return
        ranges.getOrPut(service) { TreeMap() }[from] = assignment
    }

    private fun <T> decode(record: KeyedRecord, shape: KSerializer<T>): T? {
        val value = record.value ?: return null
        return try {
            JSON.decodeFromString(shape, value.decodeToString())
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
        private const val PLANNER = "planner"
        private const val MEMBER = "member"
        private const val RANGE = "range"
        private const val KEY_DIGITS = 5

        /** Records kept for routers that ask for them. */
        private const val MOST_RECENT = 300
        private val JSON = Json { ignoreUnknownKeys = true }

        /** The record that makes [term] the planner's term. */
        fun plannerChange(term: PlannerTerm) = KeyedChange(PLANNER, encode(PlannerTerm.serializer(), term))

        /** The record that announces [member]. */
        fun memberChange(member: RouterMember) = KeyedChange("$MEMBER/${member.node}", encode(RouterMember.serializer(), member))

        /** The record that sets [assignment]. */
        fun rangeChange(assignment: Assignment) =
            KeyedChange(rangeKey(assignment.service, assignment.from), encode(Assignment.serializer(), assignment))

        /** The record that removes the range that begins at [from]. */
        fun rangeRemoval(service: String, from: Int) = KeyedChange(rangeKey(service, from), null)

        private fun rangeKey(service: String, from: Int) = "$RANGE/$service/${from.toString().padStart(KEY_DIGITS, '0')}"

        private fun <T> encode(shape: KSerializer<T>, value: T) = JSON.encodeToString(shape, value).toByteArray()
    }
}
