package yuccaflow.standins

import kotlinx.serialization.Serializable
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler

/** One kind of request. `{key}` in [path] stands for a five-digit key; [keys] of them lie evenly over 00000 to 99999. */
@Serializable
internal data class MixEntry(
    val service: String,
    val method: String = "GET",
    val path: String,
    val weight: Double = 1.0,
    val keys: Int = 1_000,
    /** Exponent of the Zipf distribution of keys; 0 is uniform. */
    val zipf: Double = 0.0,
)

/** A request as drawn. */
internal data class DrawnRequest(
    val service: String,
    val method: String,
    val target: String,
    /** `service/key`, the unit for which unavailable time is counted. */
    val key: String,
)

private const val KEY_SPACE = 100_000
private const val KEY_DIGITS = 5

/** Coprime with the numbers of keys in use, so that hot keys lie apart from each other. */
private const val RANK_STRIDE = 7_919L

/** Draws requests by weight, and keys by the distribution of each kind. */
internal class CallerMix(
    private val entries: List<MixEntry>,
    private val random: UniformRandomProvider,
) {
    private val zipfRanks = entries.map { if (it.zipf > 0) RejectionInversionZipfSampler.of(random, it.keys, it.zipf) else null }
    private val totalWeight = entries.sumOf { it.weight }

    fun draw(): DrawnRequest {
        var rest = random.nextDouble() * totalWeight
        var index = 0
        while (index < entries.lastIndex && rest >= entries[index].weight) rest -= entries[index++].weight
        val entry = entries[index]
        val rank = zipfRanks[index]?.sample()?.minus(1) ?: random.nextInt(entry.keys)
        val spread = rank * RANK_STRIDE % entry.keys
        val key = (spread * KEY_SPACE / entry.keys).toString().padStart(KEY_DIGITS, '0')
        return DrawnRequest(entry.service, entry.method, entry.path.replace("{key}", key), "${entry.service}/$key")
    }
}
