package yuccaflow.standins

import kotlinx.serialization.Serializable
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler

/** A request template. `{key}` in [path] stands for one of [keys] five-digit keys, spread evenly over 00000 to 99999. */
@Serializable
internal data class RequestTemplate(
    val service: String,
    val method: String = "GET",
    val path: String,
    val weight: Double = 1.0,
    val keys: Int = 1_000,
    /** Exponent of the Zipf distribution of keys; 0 is uniform. */
    val zipf: Double = 0.0,
)

internal data class GeneratedRequest(
    val service: String,
    val method: String,
    val target: String,
    /** `service/key`, the unit for which outages are counted. */
    val key: String,
)

private const val KEY_SPACE = 100_000
private const val KEY_DIGITS = 5

/** Coprime with the numbers of keys in use, so that distinct ranks map to distinct keys and hot keys lie apart from each other. */
private const val RANK_STRIDE = 7_919L

/** Generates requests: templates at random by weight, keys by the distribution of the template. */
internal class RequestGenerator(
    private val templates: List<RequestTemplate>,
    private val random: UniformRandomProvider,
) {
    private val zipfRanks = templates.map { if (it.zipf > 0) RejectionInversionZipfSampler.of(random, it.keys, it.zipf) else null }
    private val totalWeight = templates.sumOf { it.weight }

    fun next(): GeneratedRequest {
        var rest = random.nextDouble() * totalWeight
        var index = 0
        while (index < templates.lastIndex && rest >= templates[index].weight) rest -= templates[index++].weight
        val template = templates[index]
        val rank = zipfRanks[index]?.sample()?.minus(1) ?: random.nextInt(template.keys)
        val keyIndex = rank * RANK_STRIDE % template.keys
        val key = (keyIndex * KEY_SPACE / template.keys).toString().padStart(KEY_DIGITS, '0')
        return GeneratedRequest(template.service, template.method, template.path.replace("{key}", key), "${template.service}/$key")
    }
}
