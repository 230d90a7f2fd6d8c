package yuccaflow.control

import kotlinx.serialization.Serializable

/** Stage of a router's life in the control table. */
@Serializable
enum class RouterStage { LIVE, LEAVING, ENDED }

/** An uncancelled suspicion against a router. */
@Serializable
data class Suspicion(
    val offset: Long,
    val by: RouterId,
    val readBy: Set<RouterId>,
)

/** A router as recorded. [epoch] is the offset of the record that last set its witnesses. */
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

/** The primary router of a target. */
@Serializable
data class PrimaryEntry(
    val target: TargetId,
    val router: RouterId,
    val epoch: Long,
)

/** A move under way. [epoch] is the offset of its record; a null [to] withdraws the range. */
@Serializable
data class MoveEntry(
    val to: TargetId?,
    val epoch: Long,
)

/** A range with its one owner. */
@Serializable
data class RangeEntry(
    val service: ServiceName,
    val range: KeyRange,
    val owner: TargetId,
    val epoch: Long,
    val move: MoveEntry?,
)

/** The state that the records of `control` up to and including [position] give; the same for every reader. */
interface ControlTable {
    /** Offset of the last record applied; 0 when there is none. */
    val position: Long

    /** All routers, including ended ones that have not been forgotten yet. */
    val routers: Map<RouterId, RouterEntry>

    /** The primary of each target that has one; it may name a router that has ended. */
    val primaries: Map<TargetId, PrimaryEntry>

    /** The ranges of [service] in key order. */
    fun ranges(service: ServiceName): List<RangeEntry>

    /** The services that have ranges. */
    val services: Set<ServiceName>

    /** The range that holds [key], or null. Takes time logarithmic in the number of ranges. */
    fun rangeOf(service: ServiceName, key: String): RangeEntry?

    /** Tells whether [router] is registered and its lease has not ended. */
    fun isLive(router: RouterId): Boolean = routers[router]?.let { it.stage != RouterStage.ENDED } ?: false

    /**
     * Applies the record at [offset], which must be [position] + 1. A null [record] stands for one that could not be read; it is void.
     * A checkpoint changes nothing and is not void.
     */
    fun apply(offset: Long, record: ControlRecord?): Applied
}

/** Result of applying one record. */
data class Applied(
    val table: ControlTable,
    /** Why the record had no effect, or null when it took effect. */
    val voidReason: String?,
)

/** Serializable form of the whole state, for checkpoints and for peers. */
@Serializable
data class Snapshot(
    val tablePosition: Long,
    val routers: List<RouterEntry>,
    val primaries: List<PrimaryEntry>,
    val ranges: List<RangeEntry>,
    val configPosition: Long,
    val config: ConfigState,
)
