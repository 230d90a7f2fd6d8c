package yuccaflow.control

import kotlinx.collections.immutable.PersistentMap

/** [ControlTable] on persistent collections: applying a record shares everything that the record does not change. */
internal data class PersistentControlTable(
    override val position: Long,
    override val routers: PersistentMap<RouterId, RouterEntry>,
    override val primaries: PersistentMap<TargetId, PrimaryEntry>,
    val rangesByService: PersistentMap<ServiceName, ServiceRanges>,
) : ControlTable {
    override val services: Set<ServiceName> get() = rangesByService.keys

    override fun ranges(service: ServiceName): List<RangeEntry> = rangesOf(service).entries

    override fun rangeOf(service: ServiceName, key: String): RangeEntry? = rangesOf(service).holding(key)

    override fun apply(offset: Long, record: ControlRecord?): Applied {
        require(offset == position + 1) { "expected the record at offset ${position + 1}, found offset $offset" }
        val change = if (record == null) Change.Void("the record is unreadable or of an unknown kind") else changeBy(offset, record)
        return when (change) {
            is Change.Effective -> Applied(change.table.copy(position = offset), null)
            is Change.Void -> Applied(copy(position = offset), change.reason)
        }
    }

    /** The ranges of [service]; empty when it has none. */
    fun rangesOf(service: ServiceName): ServiceRanges = rangesByService[service] ?: ServiceRanges.Empty

    /** Replaces the ranges of [service]. */
    fun withRanges(service: ServiceName, ranges: ServiceRanges): PersistentControlTable =
        copy(
            rangesByService = if (ranges.entries.isEmpty()) rangesByService.remove(service) else rangesByService.put(service, ranges),
        )

    /** Replaces the entry of one router. */
    fun withRouter(entry: RouterEntry): PersistentControlTable = copy(routers = routers.put(entry.id, entry))

    private fun changeBy(offset: Long, record: ControlRecord): Change =
        when (record) {
            is ControlRecord.RouterRegistered -> register(offset, record)
            is ControlRecord.RouterLeaving -> leave(record)
            is ControlRecord.RouterStopped -> stop(record)
            is ControlRecord.WitnessesChanged -> changeWitnesses(offset, record)
            is ControlRecord.Suspected -> suspect(offset, record)
            is ControlRecord.SuspicionCancelled -> cancelSuspicion(record)
            is ControlRecord.SuspicionRead -> readSuspicion(record)
            is ControlRecord.LeaseEnded -> endLease(record)
            is ControlRecord.PrimaryAssigned -> assignPrimary(offset, record)
            is ControlRecord.RangeAssigned -> assignRange(offset, record)
            is ControlRecord.MoveStarted -> startMove(offset, record)
            is ControlRecord.RangeReleased -> releaseRange(offset, record)
            is ControlRecord.MoveCancelled -> cancelMove(offset, record)
            is ControlRecord.RangeSplit -> splitRange(offset, record)
            is ControlRecord.RangesMerged -> mergeRanges(offset, record)
            is ControlRecord.Batch -> applyBatch(offset, record)
            is ControlRecord.Checkpoint -> Change.Effective(this)
        }

    /** Applies each record to what the ones before it left; void only when all of them are. */
    private fun applyBatch(offset: Long, batch: ControlRecord.Batch): Change {
        var table = this
        val voidReasons = mutableListOf<String>()
        for (record in batch.records) {
            when (val change = table.batchedChange(offset, record)) {
                is Change.Effective -> table = change.table
                is Change.Void -> voidReasons += change.reason
            }
        }
        val isVoid = voidReasons.size == batch.records.size
        return if (isVoid) Change.Void("no record of the batch holds: ${voidReasons.joinToString("; ")}") else Change.Effective(table)
    }

    private fun batchedChange(offset: Long, record: ControlRecord): Change =
        when (record) {
            is ControlRecord.Batch, is ControlRecord.Checkpoint -> Change.Void("a batch holds no batch and no checkpoint")
            else -> changeBy(offset, record)
        }
}

/** What one record does to the table. */
internal sealed interface Change {
    /** The record takes effect and gives [table]. */
    data class Effective(
        val table: PersistentControlTable,
    ) : Change

    /** The record has no effect. */
    data class Void(
        val reason: String,
    ) : Change
}
