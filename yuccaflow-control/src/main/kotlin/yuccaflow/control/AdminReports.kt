package yuccaflow.control

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

/** JSON format of the reports of a router's admin server. Unknown fields are ignored, so that newer routers can add fields. */
@OptIn(ExperimentalSerializationApi::class)
val AdminJson: Json = Json {
    namingStrategy = JsonNamingStrategy.SnakeCase
    encodeDefaults = true
    ignoreUnknownKeys = true
}

/** A live router, as the reporting router knows it. */
@Serializable
data class LiveRouterReport(
    val router: RouterId,
    val zone: ZoneName,
    val host: String,
    val adminAddress: String,
    val callerAddress: String,
)

/** State of one router. [leaseRemainingMs] is 0 if it holds no valid lease. */
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

/** A range with its owner. [movingTo] is the destination of a move; [isMoving] is also true while the range is being withdrawn. */
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

/** All ranges, ordered by service and key. */
@Serializable
data class OwnersReport(
    val controlPosition: Long,
    val ranges: List<RangeReport>,
)

/** A target with its primary and its load. A null property is unknown. */
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

/** All targets of the current configuration. */
@Serializable
data class TargetsReport(
    val targets: List<TargetReport>,
)

/** One hop of a request. [startedAtMicros] is the host's wall-clock time in microseconds since the epoch. */
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

/** The spans that a router recorded for a request, in the order in which they ended. */
@Serializable
data class TraceReport(
    val requestId: String,
    val spans: List<SpanReport>,
)

/** Creates the report of all ranges in this table. */
fun ControlTable.ownersReport(): OwnersReport =
    OwnersReport(
        controlPosition = position,
        ranges = services.sortedBy { it.value }.flatMap { service ->
            ranges(service).map { entry ->
                RangeReport(service, entry.range.from, entry.range.to, entry.owner, entry.epoch, entry.move != null, entry.move?.to)
            }
        },
    )

/** Creates the report of all targets in [config], with their primaries in [table] and their known [loads]. */
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
