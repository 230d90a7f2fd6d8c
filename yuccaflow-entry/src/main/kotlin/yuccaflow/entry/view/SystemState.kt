package yuccaflow.entry.view

import kotlinx.serialization.Serializable

/** A record of the store that cannot be decoded or has an unknown kind, with the reason. */
@Serializable
data class RejectedRecord(
    val key: String,
    val offset: Long,
    val reason: String,
)

/** A service that a route sends requests to, and the weight of its share. */
@Serializable
data class DesiredShare(
    val service: String,
    val weight: Double,
)

/** The desired state of a route. */
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

/** The desired state of a service. */
@Serializable
data class DesiredService(
    val name: String,
    val isKeyed: Boolean,
    val connectionLimit: Int,
    val coldStartMs: Long,
    val coldPerS: Double,
)

/** The desired limits on the size and duration of requests. */
@Serializable
data class DesiredLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val requestTimeoutMs: Long,
    val idleTimeoutMs: Long,
)

/**
 * The state that operators want.
 *
 * @property version the version of the routing table, or null if the store has no valid one.
 * @property emptiedZones the zones that the operators evacuate, whose targets receive no new work.
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
 * A target by its own entry.
 *
 * @property isZoneEmptied whether the operators evacuate its zone, so that it receives no new work.
 * @property coldRemainingMs how much longer the target was cold when it wrote its entry.
 * @property bornMs Unix time at which the target started, or null if it did not report it.
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

/** All targets, ordered by service and name. */
@Serializable
data class TargetList(
    val targets: List<ListedTarget>,
    val rejected: List<RejectedRecord>,
)

/** A target that may still have a grant of [generation] on keys that are moving away from it. */
@Serializable
data class ListedFormerHolder(
    val target: String,
    val generation: Long,
)

/**
 * The holder of the keys [from]..[to], both inclusive.
 *
 * @property holderBornMs Unix time at which the holder started, or null if it did not report it.
 * @property generation the fencing token of the holder's grant.
 * @property ageRecords the number of records that routers have appended since the holder was given this generation. It stands for the age,
 * because the store keeps no times.
 * @property isMoving whether the holder has yet to confirm its grant.
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

/** All key ranges, ordered by service and key. [endOffset] is the end of the routers' stream. */
@Serializable
data class RangeList(
    val endOffset: Long,
    val ranges: List<ListedRange>,
    val rejected: List<RejectedRecord>,
)

/** The planner. [life] identifies the incarnation of the router [node], and [term] increases with each change of the planner. */
@Serializable
data class ListedPlanner(
    val node: String,
    val life: String,
    val term: Long,
)

/** A router that has ever joined the system. [relay] is its address for calls from other routers. */
@Serializable
data class ListedRouter(
    val node: String,
    val zone: String,
    val relay: String,
)

/**
 * All routers, ordered by zone and name, including those that were removed for good.
 *
 * @property planner the planner, or null if there is none.
 * @property candidates the members that have a share of the work of the platform's group, as NODE/LIFE, or null if they are not known.
 */
@Serializable
data class RouterList(
    val planner: ListedPlanner?,
    val candidates: List<String>?,
    val routers: List<ListedRouter>,
    val rejected: List<RejectedRecord>,
)
