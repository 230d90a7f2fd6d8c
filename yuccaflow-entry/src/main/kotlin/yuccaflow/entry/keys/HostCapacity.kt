package yuccaflow.entry.keys

import kotlin.math.min

/**
 * What a host can do for all routers.
 *
 * @property cores processing capacity, in cores, or 0 if it is not known.
 * @property linkMbps bandwidth of the network link, in Mbit/s, or 0 if it is not known.
 */
data class HostCapacity(
    val cores: Double,
    val linkMbps: Double,
) {
    /** Returns the scarcer of both as a fraction of [largest]. What nobody knows of [largest] does not count. */
    fun fractionOf(largest: HostCapacity): Double = min(fraction(cores, largest.cores), fraction(linkMbps, largest.linkMbps))

    private fun fraction(own: Double, largest: Double) = if (largest > 0) own / largest else 1.0

    companion object {
        /** Returns the largest values of [capacities], which may belong to different hosts. */
        fun largestOf(capacities: Collection<HostCapacity>) =
            HostCapacity(capacities.maxOfOrNull { it.cores } ?: 0.0, capacities.maxOfOrNull { it.linkMbps } ?: 0.0)
    }
}
