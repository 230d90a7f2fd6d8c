package yuccaflow.control

import kotlinx.collections.immutable.PersistentMap

/** [ControlTable] on persistent collections: each version shares with the one before it whatever the record did not change. */
internal data class PersistentControlTable(
    override val position: Long,
    override val routers: PersistentMap<RouterId, RouterEntry>,
    override val primaries: PersistentMap<TargetId, PrimaryEntry>,
    val rangesByService: PersistentMap<ServiceName, ServiceRanges>,
) : ControlTable {
    override val services: Set<ServiceName> get() = rangesByService.keys

    override fun ranges(service: ServiceName): List<RangeEntry> = rangesOf(service).entries

    override fun rangeOf(service: ServiceName, key: String): RangeEntry? = rangesOf(service).containing(key)

    override fun apply(offset: Long, record: ControlRecord?): ApplyResult {
        require(offset == position + 1) { "expected the record at offset ${position + 1}, found offset $offset" }
        val effect = if (record == null) Effect.Void("the record is unreadable or of an unknown kind") else effectOf(offset, record)
        return when (effect) {
            is Effect.Effective -> ApplyResult(effect.table.copy(position = offset), null)
            is Effect.Void -> ApplyResult(copy(position = offset), effect.reason)
        }
    }

    /** The ranges of [service]; empty if it has none. */
    fun rangesOf(service: ServiceName): ServiceRanges = rangesByService[service] ?: ServiceRanges.Empty

    /** Returns a table with [ranges] as the ranges of [service]. */
    fun withRanges(service: ServiceName, ranges: ServiceRanges): PersistentControlTable =
        copy(
            rangesByService = if (ranges.entries.isEmpty()) rangesByService.remove(service) else rangesByService.put(service, ranges),
        )

    /** Returns a table with [entry] in place of the router's earlier entry, if any. */
    fun withRouter(entry: RouterEntry): PersistentControlTable = copy(routers = routers.put(entry.id, entry))

    private fun effectOf(offset: Long, record: ControlRecord): Effect =
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
            is ControlRecord.Checkpoint -> Effect.Effective(this)
        }

    /** Applies each record of [batch] to the result of the ones before it; the batch is void only if all of its records are. */
    private fun applyBatch(offset: Long, batch: ControlRecord.Batch): Effect {
        var table = this
        val voidReasons = mutableListOf<String>()
        for (record in batch.records) {
            when (val effect = table.effectInBatch(offset, record)) {
                is Effect.Effective -> table = effect.table
                is Effect.Void -> voidReasons += effect.reason
            }
        }
        val isVoid = voidReasons.size == batch.records.size
        return if (isVoid) Effect.Void("no record of the batch holds: ${voidReasons.joinToString("; ")}") else Effect.Effective(table)
    }

    private fun effectInBatch(offset: Long, record: ControlRecord): Effect =
        when (record) {
            is ControlRecord.Batch, is ControlRecord.Checkpoint -> Effect.Void("a batch holds no batch and no checkpoint")
            else -> effectOf(offset, record)
        }
}

/** Effect of one record on the table. */
internal sealed interface Effect {
    /** The record takes effect; [table] is the table after it. */
    data class Effective(
        val table: PersistentControlTable,
    ) : Effect

    /** The record has no effect, for [reason]. */
    data class Void(
        val reason: String,
    ) : Effect
}
