package yuccaflow.entry.view

import kotlinx.serialization.Serializable

/** A record of the store that cannot be used. */
@Serializable
data class RejectedRecord(
    val key: String,
    val offset: Long,
    val reason: String,
)

/** A service that a route sends requests to. */
@Serializable
data class DesiredShare(
    val service: String,
    val weight: Double,
)

/** A route as operators want it. */
@Serializable
data class DesiredRoute(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val isIdempotent: Boolean,
    val timeoutMs: Long,
    val objectiveMs: Long,
    val attempts: Int,
    val priority: Int,
    val shares: List<DesiredShare>,
)

/** A service as operators want it. */
@Serializable
data class DesiredService(
    val name: String,
    val isKeyed: Boolean,
    val connectionLimit: Int,
    val coldStartMs: Long,
    val coldPerS: Double,
)

/** What callers may send, and how long they may take. */
@Serializable
data class DesiredLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val requestTimeoutMs: Long,
    val idleTimeoutMs: Long,
)

/**
 * What operators want.
 *
 * @property version the version of the routing table, or null when the store has no valid one.
 * @property emptiedZones the zones that get no new work.
 */
@Serializable
data class DesiredState(
    val version: Long?,
    val emptiedZones: List<String>,
    val routes: List<DesiredRoute>,
    val services: List<DesiredService>,
    val limits: DesiredLimits?,
    val rejected: List<RejectedRecord>,
)

/**
 * A target as it reports itself.
 *
 * @property isZoneEmptied the operators want its zone to get no new work.
 * @property coldRemainingMs how much longer the target is cold, counted from when it wrote its entry.
 * @property bornMs Unix time of the target's start.
 */
@Serializable
data class ListedTarget(
    val target: String,
    val service: String,
    val zone: String,
    val address: String,
    val slots: Int,
    val isDraining: Boolean,
    val isZoneEmptied: Boolean,
    val coldRemainingMs: Long,
    val bornMs: Long?,
)

/** All targets, in the order of services and names. */
@Serializable
data class TargetList(
    val targets: List<ListedTarget>,
    val rejected: List<RejectedRecord>,
)

/** A target that may still hold keys which are moving away from it. */
@Serializable
data class ListedFormerHolder(
    val target: String,
    val generation: Long,
)

/**
 * The holder of the keys [from]..[to], both inclusive.
 *
 * @property holderBornMs Unix time of the holder's start.
 * @property ageRecords records that routers have appended since the holder was given this generation. The store keeps no times.
 * @property isMoving the holder has not confirmed the grant yet.
 */
@Serializable
data class ListedRange(
    val service: String,
    val from: Int,
    val to: Int,
    val holder: String,
    val zone: String,
    val address: String,
    val holderBornMs: Long?,
    val generation: Long,
    val ageRecords: Long,
    val isMoving: Boolean,
    val formers: List<ListedFormerHolder>,
)

/** All key ranges, in the order of services and keys. [endOffset] is where the routers' stream ended. */
@Serializable
data class RangeList(
    val endOffset: Long,
    val ranges: List<ListedRange>,
    val rejected: List<RejectedRecord>,
)

/** The router that plans. [life] tells two lives of the same node apart, and [term] rises with each change of the planner. */
@Serializable
data class ListedPlanner(
    val node: String,
    val life: String,
    val term: Long,
)

/** A router that has started since the first start of the system. [relay] is its address for other routers' calls. */
@Serializable
data class ListedRouter(
    val node: String,
    val zone: String,
    val relay: String,
)

/**
 * All routers, in the order of zones and names. Routers that were taken away for good are still listed.
 *
 * @property planner null when no router plans.
 * @property candidates the members that the platform's group has dealt work, as NODE/LIFE, or null when the group cannot be read.
 */
@Serializable
data class RouterList(
    val planner: ListedPlanner?,
    val candidates: List<String>?,
    val routers: List<ListedRouter>,
    val rejected: List<RejectedRecord>,
)
