package yuccaflow.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A key and the rate of requests for it. */
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
    @SerialName("reachable")
    val isReachable: Boolean,
    val ranges: List<RangeLoad>,
)
