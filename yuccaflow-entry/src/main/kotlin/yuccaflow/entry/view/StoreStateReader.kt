package yuccaflow.entry.view

import yuccaflow.entry.config.RequestKind
import yuccaflow.entry.config.Route
import yuccaflow.entry.config.RoutingTable
import yuccaflow.entry.config.ServiceConfig
import yuccaflow.entry.directory.OperatorRecord
import yuccaflow.entry.directory.RecordDecoder
import yuccaflow.entry.directory.TargetEntry
import yuccaflow.entry.directory.TargetRecord
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.RouterGroup

/** [StateReader] backed by a [KeyedStore] and the router group. */
internal class StoreStateReader(
    private val store: KeyedStore,
    private val group: RouterGroup,
    private val decoder: RecordDecoder,
) : StateReader {
    override suspend fun desiredState(): StateResult<DesiredState> = store.readNewest(KeyedStream.OPERATORS).map(::desiredStateOf)

    override suspend fun targets(): StateResult<TargetList> {
        val desired = when (val result = desiredState()) {
            is StateResult.Known -> result.state
            is StateResult.Unreadable -> return result
        }
        return store.readNewest(KeyedStream.TARGETS).map { targetListOf(it, desired.emptiedZones) }
    }

    override suspend fun ranges(): StateResult<RangeList> = store.readNewest(KeyedStream.ROUTERS).map { clusterSnapshotOf(it).rangeList() }

    override suspend fun routers(): StateResult<RouterList> {
        val snapshot = when (val result = store.readNewest(KeyedStream.ROUTERS)) {
            is StateResult.Known -> clusterSnapshotOf(result.state)
            is StateResult.Unreadable -> return result
        }
        return StateResult.Known(snapshot.routerList(group.members()))
    }

    private fun desiredStateOf(newest: NewestRecords): DesiredState {
        var table: RoutingTable? = null
        val emptiedZones = ArrayList<String>()
        val rejected = ArrayList<RejectedRecord>()
        for (record in newest.records) {
            when (val decoded = decoder.decodeOperatorRecord(record.key, record.value)) {
                is OperatorRecord.Table -> table = decoded.table
                is OperatorRecord.EmptiedZone -> emptiedZones += decoded.zone
                is OperatorRecord.Rejected -> rejected += rejectedRecord(record, decoded.reason)
            }
        }
        return DesiredState(
            version = table?.version,
            emptiedZones = emptiedZones.sorted(),
            routes = table
                ?.routes
                ?.sortedBy { it.name }
                ?.map(::desired)
                .orEmpty(),
            services = table
                ?.services
                ?.values
                ?.sortedBy { it.name }
                ?.map(::desired)
                .orEmpty(),
            limits = table?.callerLimits?.let { DesiredLimits(it.headerBytes, it.bodyBytes, it.requestTimeoutMs, it.idleTimeoutMs) },
            rejected = rejected,
        )
    }

    private fun desired(route: Route) = DesiredRoute(
        name = route.name,
        host = route.host,
        pathPrefix = route.pathPrefix,
        isIdempotent = route.kind == RequestKind.IDEMPOTENT,
        timeoutMs = route.timeoutMs,
        objectiveMs = route.objectiveMs,
        attempts = route.attempts,
        priority = route.priority,
        shares = route.shares.map { DesiredShare(it.service, it.weight) },
    )

    private fun desired(service: ServiceConfig) =
        DesiredService(service.name, service.isKeyed, service.connectionLimit, service.coldStartMs, service.coldPerS)

    private fun targetListOf(newest: NewestRecords, emptiedZones: List<String>): TargetList {
        val targets = ArrayList<ListedTarget>()
        val rejected = ArrayList<RejectedRecord>()
        for (record in newest.records) {
            when (val decoded = decoder.decodeTargetRecord(record.key, record.value ?: continue)) {
                is TargetRecord.Valid -> targets += listed(decoded.entry, decoded.entry.zone in emptiedZones)
                is TargetRecord.Rejected -> rejected += rejectedRecord(record, decoded.reason)
            }
        }
        return TargetList(targets.sortedWith(compareBy({ it.service }, { it.target })), rejected)
    }

    private fun listed(entry: TargetEntry, isZoneEmptied: Boolean) = ListedTarget(
        target = entry.id,
        service = entry.service,
        zone = entry.zone,
        address = entry.address.toString(),
        slots = entry.slots,
        isDraining = entry.isDraining,
        isZoneEmptied = isZoneEmptied,
        coldRemainingMs = entry.coldRemainingMs,
        bornMs = entry.bornMs,
    )
}

/** Describes why [record] was rejected, by the first line of [reason] only, because decoders quote their entire input in the next lines. */
internal fun rejectedRecord(record: KeyedRecord, reason: String) =
    RejectedRecord(record.key, record.offset, reason.lineSequence().first())

private inline fun <T, R> StateResult<T>.map(transform: (T) -> R): StateResult<R> = when (this) {
    is StateResult.Known -> StateResult.Known(transform(state))
    is StateResult.Unreadable -> this
}
