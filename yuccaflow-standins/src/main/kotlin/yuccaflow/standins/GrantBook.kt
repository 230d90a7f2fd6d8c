package yuccaflow.standins

import kotlinx.serialization.Serializable

/** A range in a grant. */
@Serializable
internal data class RangeBody(
    val service: String,
    val from: String = "",
    val to: String? = null,
    val epoch: Long = 0,
) {
    fun overlaps(other: RangeBody): Boolean =
        service == other.service && (other.to == null || from < other.to) && (to == null || other.from < to)

    fun covers(other: RangeBody): Boolean =
        service == other.service && from <= other.from && (to == null || (other.to != null && other.to <= to))

    operator fun contains(key: String): Boolean = key >= from && (to == null || key < to)
}

/** The body of a grant or a revocation. */
@Serializable
internal data class GrantBody(
    val ranges: List<RangeBody> = emptyList(),
    val primaryEpoch: Long = 0,
    val expiresAtClockMs: Long = 0,
    val instance: String = "",
)

/** What a target that checks fences remembers of its grants. Methods return the reason of a refusal, or null. */
internal class GrantBook {
    private var grant: GrantBody? = null
    private var highestPrimaryEpoch = 0L

    // Ranges that a newer grant covers are dropped, so the list stays about as long as the target has ranges.
    private var seen = listOf<RangeBody>()

    @Synchronized
    fun grant(order: GrantBody, clockMs: Long): String? {
        if (order.expiresAtClockMs <= clockMs) return "expired on arrival"
        if (order.primaryEpoch < highestPrimaryEpoch) return "primary epoch below $highestPrimaryEpoch"
        order.ranges.forEach { range ->
            val newer = seen.firstOrNull { it.epoch > range.epoch && it.overlaps(range) }
            if (newer != null) return "epoch ${range.epoch} below ${newer.epoch}"
        }
        grant = order
        highestPrimaryEpoch = order.primaryEpoch
        seen = seen.filterNot { old -> order.ranges.any { it.covers(old) } } + order.ranges
        return null
    }

    @Synchronized
    fun revoke(ranges: List<RangeBody>) {
        grant = grant?.let { held -> held.copy(ranges = held.ranges.filterNot { range -> ranges.any { it.overlaps(range) } }) }
    }

    /** Checks work for [key] of [service]; a null key belongs to a service that is not divided. */
    @Synchronized
    fun check(service: String, key: String?, epoch: Long, primaryEpoch: Long, clockMs: Long): String? {
        val held = grant ?: return "no grant"
        if (held.expiresAtClockMs <= clockMs) return "grant expired"
        if (held.primaryEpoch != primaryEpoch) return "primary epoch $primaryEpoch, expected ${held.primaryEpoch}"
        if (key == null) return null
        val range = held.ranges.firstOrNull { it.service == service && key in it } ?: return "no grant for key"
        return if (range.epoch == epoch) null else "epoch $epoch, expected ${range.epoch}"
    }
}
