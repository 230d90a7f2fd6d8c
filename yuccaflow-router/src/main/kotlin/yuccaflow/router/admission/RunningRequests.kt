package yuccaflow.router.admission

import kotlinx.serialization.Serializable
import yuccaflow.control.KeyRange
import yuccaflow.control.ServiceName
import yuccaflow.control.TargetId

/** A key and its share of a target's recent requests. */
@Serializable
data class HotKey(
    val key: String,
    val requestsPerSecond: Double,
)

/** Recent load of one range. */
@Serializable
data class RangeLoad(
    val range: KeyRange,
    val requestsPerSecond: Double,
    /** The most requested keys, most requested first, at most 16. */
    val hotKeys: List<HotKey>,
    /** A key that splits the range into halves of about equal load, or null when there is none. */
    val medianKey: String?,
)

/** What a primary knows of one of its targets. */
@Serializable
data class TargetLoad(
    val target: TargetId,
    val service: ServiceName,
    val inFlight: Int,
    val queued: Int,
    /** Slots that the target has been seen to bear; at least 1. */
    val capacity: Double,
    /** Smoothed time that the target takes for one request. */
    val serviceTimeMs: Double,
    val requestsPerSecond: Double,
    val reachable: Boolean,
    val ranges: List<RangeLoad>,
)

/** The requests that this router, as a primary, has sent and not finished. */
interface RunningRequests {
    /**
     * Suspends until no request for [range] of [service] that was admitted before the call can still run at [target]: each is answered
     * or past its deadline.
     */
    suspend fun awaitNoneRunning(target: TargetId, service: ServiceName, range: KeyRange)

    /** Suspends until no request at all can still run at [target]. */
    suspend fun awaitNoneRunning(target: TargetId)

    /** The load of each target that this router has sent work to recently. */
    fun loads(): List<TargetLoad>

    /** Starts [target] over with one slot, because it is new, restarted or has just come back. */
    fun restartRamp(target: TargetId)
}
