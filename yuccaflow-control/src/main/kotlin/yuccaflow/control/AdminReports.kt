package yuccaflow.control

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

/** JSON of the reports that a router's admin server gives. Unknown fields are ignored, so that newer routers can add some. */
@OptIn(ExperimentalSerializationApi::class)
val AdminJson: Json = Json {
    namingStrategy = JsonNamingStrategy.SnakeCase
    encodeDefaults = true
    ignoreUnknownKeys = true
}

/** A live router as another one knows it. */
@Serializable
data class LiveRouterReport(
    val router: RouterId,
    val zone: ZoneName,
    val host: String,
    val adminAddress: String,
    val callerAddress: String,
)

/** State of one router. [leaseRemainingMs] is 0 when it holds no lease. */
@Serializable
data class StatusReport(
    val router: RouterId,
    val host: String,
    val zone: ZoneName,
    val stage: String,
    val leaseRemainingMs: Long,
    val controlPosition: Long,
    val configPosition: Long,
    val configVersion: Long,
    val liveRouters: List<LiveRouterReport>,
)

/** A range with its owner. [movingTo] names the destination of a move; [isMoving] is also true while the range is withdrawn. */
@Serializable
data class RangeReport(
    val service: ServiceName,
    val from: String,
    val to: String?,
    val owner: TargetId,
    val epoch: Long,
    @SerialName("moving")
    val isMoving: Boolean,
    val movingTo: TargetId?,
)

/** All ranges, in the order of services and keys. */
@Serializable
data class OwnersReport(
    val controlPosition: Long,
    val ranges: List<RangeReport>,
)

/** A target with its primary and what is known of its load; nulls are unknown. */
@Serializable
data class TargetReport(
    val target: TargetId,
    val service: ServiceName,
    val zone: ZoneName,
    val address: String,
    val primary: RouterId?,
    @SerialName("inService")
    val isInService: Boolean,
    @SerialName("reachable")
    val isReachable: Boolean?,
    val capacity: Double?,
    val inFlight: Int?,
    val queued: Int?,
    val requestsPerSecond: Double?,
)

/** All targets in force. */
@Serializable
data class TargetsReport(
    val targets: List<TargetReport>,
)

/** One hop of a request. Times are of the wall clock of the host. */
@Serializable
data class SpanReport(
    val name: String,
    val traceId: String,
    val spanId: String,
    val parentId: String?,
    val host: String,
    val startedAtMicros: Long,
    val durationMicros: Long,
    val tags: Map<String, String>,
)

/** The spans that a router recorded for a request, in the order of their end. */
@Serializable
data class TraceReport(
    val requestId: String,
    val spans: List<SpanReport>,
)

/** The report of the ranges in this table. */
fun ControlTable.ownersReport(): OwnersReport =
    OwnersReport(
        controlPosition = position,
        ranges = services.sortedBy { it.value }.flatMap { service ->
            ranges(service).map { entry ->
                RangeReport(service, entry.range.from, entry.range.to, entry.owner, entry.epoch, entry.move != null, entry.move?.to)
            }
        },
    )

/** The report of the targets in this configuration, with the loads and primaries known to a router. */
fun targetsReport(config: ConfigState, table: ControlTable, loads: Map<TargetId, TargetLoad>): TargetsReport =
    TargetsReport(
        config.targets.values.sortedBy { it.id.value }.map { target ->
            val load = loads[target.id]
            TargetReport(
                target = target.id,
                service = target.service,
                zone = target.zone,
                address = target.address,
                primary = table.primaries[target.id]?.router,
                isInService = config.isInService(target),
                isReachable = load?.isReachable,
                capacity = load?.capacity,
                inFlight = load?.inFlight,
                queued = load?.queued,
                requestsPerSecond = load?.requestsPerSecond,
            )
        },
    )
