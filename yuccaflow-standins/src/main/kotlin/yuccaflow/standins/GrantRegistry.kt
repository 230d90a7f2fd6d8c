package yuccaflow.standins

import kotlinx.serialization.Serializable

/** A key range of a grant: [from] inclusive, [to] exclusive; a null [to] is unbounded. */
@Serializable
internal data class GrantedRange(
    val service: String,
    val from: String = "",
    val to: String? = null,
    val epoch: Long = 0,
) {
    fun overlaps(other: GrantedRange): Boolean =
        service == other.service && (other.to == null || from < other.to) && (to == null || other.from < to)

    fun covers(other: GrantedRange): Boolean =
        service == other.service && from <= other.from && (to == null || (other.to != null && other.to <= to))

    operator fun contains(key: String): Boolean = key >= from && (to == null || key < to)
}

/** The request body of a grant or a revocation. */
@Serializable
internal data class GrantRequest(
    val ranges: List<GrantedRange> = emptyList(),
    val primaryEpoch: Long = 0,
    val expiresAtClockMs: Long = 0,
    val instance: String = "",
)

/**
 * The grants of a target that checks fencing tokens: the current grant and the highest epochs seen. [accept] and [check] return the reason
 * of a refusal, or null.
 */
internal class GrantRegistry {
    private var currentGrant: GrantRequest? = null
    private var highestPrimaryEpoch = 0L

    // Ranges that a newer grant covers are dropped, so the size of the list stays close to the number of ranges of the target.
    private var seenRanges = listOf<GrantedRange>()

    @Synchronized
    fun accept(request: GrantRequest, clockMs: Long): String? {
        if (request.expiresAtClockMs <= clockMs) return "expired on arrival"
        if (request.primaryEpoch < highestPrimaryEpoch) return "primary epoch below $highestPrimaryEpoch"
        request.ranges.forEach { range ->
            val newer = seenRanges.firstOrNull { it.epoch > range.epoch && it.overlaps(range) }
            if (newer != null) return "epoch ${range.epoch} below ${newer.epoch}"
        }
        currentGrant = request
        highestPrimaryEpoch = request.primaryEpoch
        seenRanges = seenRanges.filterNot { old -> request.ranges.any { it.covers(old) } } + request.ranges
        return null
    }

    @Synchronized
    fun revoke(ranges: List<GrantedRange>) {
        currentGrant =
            currentGrant?.let { grant -> grant.copy(ranges = grant.ranges.filterNot { range -> ranges.any { it.overlaps(range) } }) }
    }

    /** Checks whether the current grant allows work on [key] of [service]; a null key belongs to a service that is not sharded by key. */
    @Synchronized
    fun check(service: String, key: String?, epoch: Long, primaryEpoch: Long, clockMs: Long): String? {
        val grant = currentGrant ?: return "no grant"
        if (grant.expiresAtClockMs <= clockMs) return "grant expired"
        if (grant.primaryEpoch != primaryEpoch) return "primary epoch $primaryEpoch, expected ${grant.primaryEpoch}"
        if (key == null) return null
        val range = grant.ranges.firstOrNull { it.service == service && key in it } ?: return "no grant for key"
        return if (range.epoch == epoch) null else "epoch $epoch, expected ${range.epoch}"
    }
}
