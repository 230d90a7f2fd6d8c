package yuccaflow.control

import kotlinx.serialization.Serializable

/** Lifecycle stage of a router in the control table. */
@Serializable
enum class RouterStage { LIVE, LEAVING, ENDED }

/** An uncancelled suspicion that a router has failed. [offset] is that of its record; [readBy] are the witnesses that have read it. */
@Serializable
data class Suspicion(
    val offset: Long,
    val by: RouterId,
    val readBy: Set<RouterId>,
)

/** A router in the control table. [epoch] is the offset of the record that last set its witnesses. */
@Serializable
data class RouterEntry(
    val id: RouterId,
    val zone: ZoneName,
    val host: String,
    val peerAddress: String,
    val adminAddress: String,
    val callerAddress: String,
    val witnesses: List<RouterId>,
    val epoch: Long,
    val stage: RouterStage,
    val suspicion: Suspicion?,
)

/** The primary of a target, which is the one router that sends requests to it. [epoch] is the offset of the record that assigned it. */
@Serializable
data class PrimaryEntry(
    val target: TargetId,
    val router: RouterId,
    val epoch: Long,
)

/** A move of a range in progress. [epoch] is the offset of its record; a null [to] withdraws the range. */
@Serializable
data class MoveEntry(
    val to: TargetId?,
    val epoch: Long,
)

/** A range with its single owner. [epoch] is the offset of the record that last changed the owner or the bounds, or cancelled a move. */
@Serializable
data class RangeEntry(
    val service: ServiceName,
    val range: KeyRange,
    val owner: TargetId,
    val epoch: Long,
    val move: MoveEntry?,
)

/** Immutable state after all records of the `control` stream up to and including [position]. Every reader derives the same state. */
interface ControlTable {
    /** Offset of the last applied record; 0 before the first one. */
    val position: Long

    /** All known routers. Ended routers stay for a while; the oldest are removed once there are too many. */
    val routers: Map<RouterId, RouterEntry>

    /** The primary of each target that has one. The primary may be a router that has ended. */
    val primaries: Map<TargetId, PrimaryEntry>

    /** The ranges of [service] in key order. */
    fun ranges(service: ServiceName): List<RangeEntry>

    /** The services that have ranges. */
    val services: Set<ServiceName>

    /** The range that contains [key], or null. Takes logarithmic time in the number of ranges. */
    fun rangeOf(service: ServiceName, key: String): RangeEntry?

    /** Tells whether [router] is registered and its lease has not ended. */
    fun isLive(router: RouterId): Boolean = routers[router]?.let { it.stage != RouterStage.ENDED } ?: false

    /**
     * Returns the table after the record at [offset], which must be [position] + 1. A null [record] stands for one that could not be
     * decoded and is void. A checkpoint is not void, but changes nothing besides the position.
     */
    fun apply(offset: Long, record: ControlRecord?): ApplyResult
}

/** Result of applying one record to a [ControlTable]. */
data class ApplyResult(
    val table: ControlTable,
    /** Why the record is void; null if it took effect. */
    val voidReason: String?,
)

/** Serializable copy of the control table and the configuration, for checkpoints and for peers that catch up. */
@Serializable
data class Snapshot(
    val tablePosition: Long,
    val routers: List<RouterEntry>,
    val primaries: List<PrimaryEntry>,
    val ranges: List<RangeEntry>,
    val configPosition: Long,
    val config: ConfigState,
)
