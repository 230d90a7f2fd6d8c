package yuccaflow.entry.view

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import yuccaflow.entry.keys.Assignment
import yuccaflow.entry.keys.PlannerTerm
import yuccaflow.entry.keys.RecordKey
import yuccaflow.entry.keys.RouterMember
import yuccaflow.entry.keys.offsetOf
import yuccaflow.entry.store.KeyedRecord
import java.util.TreeMap

/** The contents of the routers' stream up to [endOffset]: the planner, the member routers and the assignments of key ranges. */
internal class ClusterSnapshot(
    private val endOffset: Long,
    private val planner: PlannerTerm?,
    private val members: List<RouterMember>,
    private val assignments: List<Assignment>,
    private val rejected: List<RejectedRecord>,
) {
    /** Returns the report on the key ranges. */
    fun rangeList() = RangeList(endOffset, assignments.sortedWith(compareBy({ it.service }, { it.from })).map(::listed), rejected)

    /** Returns the report on the routers. [candidates] are the members that the group lists, or null if they are not known. */
    fun routerList(candidates: Set<String>?) = RouterList(
        planner = planner?.takeUnless { it.isVacant }?.let { ListedPlanner(it.node, it.life, it.term) },
        candidates = candidates?.sorted(),
        routers = members.sortedWith(compareBy({ it.zone }, { it.node })).map { ListedRouter(it.node, it.zone, it.relay) },
        rejected = rejected,
    )

    private fun listed(assignment: Assignment) = ListedRange(
        service = assignment.service,
        from = assignment.from,
        to = assignment.to,
        holder = assignment.holder.target,
        zone = assignment.holder.zone,
        address = assignment.holder.address,
        holderBornMs = assignment.holder.bornMs,
        generation = assignment.generation,
        ageRecords = (endOffset - 1 - offsetOf(assignment.generation)).coerceAtLeast(0),
        isMoving = assignment.isMoving,
        formers = assignment.formers.map { ListedFormerHolder(it.holder.target, it.generation) },
    )
}

/** Decodes records of the formats that [yuccaflow.entry.keys.ClusterState] writes. */
internal fun clusterSnapshotOf(newest: NewestRecords): ClusterSnapshot = ClusterSnapshotDecoder().decode(newest)

private class ClusterSnapshotDecoder {
    private val planners = TreeMap<Long, PlannerTerm>()
    private val members = ArrayList<RouterMember>()
    private val assignmentsByEra = HashMap<Long, ArrayList<Assignment>>()
    private val rejected = ArrayList<RejectedRecord>()

    fun decode(newest: NewestRecords): ClusterSnapshot {
        newest.records.forEach(::decodeRecord)
        val assignmentsEra = planners
            .descendingMap()
            .values
            .firstOrNull { it.isRestored }
            ?.era ?: 0
        val planner = planners.lastEntry()?.value
        return ClusterSnapshot(newest.endOffset, planner, members, assignmentsByEra[assignmentsEra].orEmpty(), rejected)
    }

    private fun decodeRecord(record: KeyedRecord) {
        val key = RecordKey.of(record.key)
        when (key.kind) {
            RecordKey.PLANNER -> decode(record, PlannerTerm.serializer())?.let { planners[key.era] = it }
            RecordKey.MEMBER -> decode(record, RouterMember.serializer())?.let(members::add)
            RecordKey.RANGE -> decode(record, Assignment.serializer())?.let { assignmentsByEra.getOrPut(key.era) { ArrayList() } += it }
            else -> rejected += rejectedRecord(record, "expected a key of a planner, member or range record")
        }
    }

    private fun <T> decode(record: KeyedRecord, serializer: KSerializer<T>): T? {
        val value = record.value ?: return null
        return try {
            JSON.decodeFromString(serializer, value.decodeToString())
        } catch (invalid: SerializationException) {
            rejected += rejectedRecord(record, invalid.message.orEmpty())
            null
        }
    }

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
