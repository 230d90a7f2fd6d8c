package yuccaflow.control

import com.google.common.hash.Hashing
import kotlin.math.ln

/** Separates the parts of the hash input, so that "a" and "bc" hash differently from "ab" and "c". */
private const val PART_SEPARATOR = '\u0000'

/** Number of hash bits used. With one more bit for the middle of the interval, every value is exact in a double. */
private const val UNIT_BITS = 52

/**
 * Ranks [nodes] for [key] by weighted rendezvous hashing, best first. Nodes are identified by their string form. The share of keys for
 * which a node ranks first is proportional to its [weight], which must not be negative. Removing a node affects only the keys for which
 * it ranked first.
 */
fun <T : Any> rendezvousRank(key: String, nodes: Collection<T>, weight: (T) -> Double = { 1.0 }): List<T> =
    nodes
        .map { it to rendezvousScore(key, it.toString(), weight(it)) }
        .sortedWith(compareByDescending<Pair<T, Double>> { it.second }.thenBy { it.first.toString() })
        .map { it.first }

/** Returns the first node of [rendezvousRank] in a single pass; null if no node has a positive weight. */
fun <T : Any> rendezvousChoice(key: String, nodes: Collection<T>, weight: (T) -> Double = { 1.0 }): T? =
    nodes
        .filter { weight(it) > 0 }
        .maxWithOrNull(compareBy<T> { rendezvousScore(key, it.toString(), weight(it)) }.thenByDescending { it.toString() })

/** Hashes [parts] to a number in (0, 1). */
internal fun unitHash(vararg parts: String): Double {
    val hasher = Hashing.murmur3_128().newHasher()
    parts.forEach { hasher.putUnencodedChars(it).putChar(PART_SEPARATOR) }
    val bits = hasher.hash().asLong() ushr (Long.SIZE_BITS - UNIT_BITS)
    return (2 * bits + 1).toDouble() / (1L shl UNIT_BITS + 1)
}

private fun rendezvousScore(key: String, node: String, weight: Double): Double = weight / -ln(unitHash(key, node))
