package yuccaflow.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A frequently requested key and its request rate. */
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
    /** A key that splits the range into two parts of about equal load, or null if there is none. */
    val medianKey: String?,
)

/** Load and reachability of a target as its primary reports them. */
@Serializable
data class TargetLoad(
    val target: TargetId,
    val service: ServiceName,
    val inFlight: Int,
    val queued: Int,
    /** Estimated number of requests that the target can run concurrently; at least 1. */
    val capacity: Double,
    /** Smoothed service time of one request. */
    val serviceTimeMs: Double,
    val requestsPerSecond: Double,
    @SerialName("reachable")
    val isReachable: Boolean,
    val ranges: List<RangeLoad>,
)
