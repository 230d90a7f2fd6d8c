package yuccaflow.control

import com.google.common.hash.Hashing
import kotlin.math.ln

/** Separates the parts of a hashed text, so that "a" with "bc" differs from "ab" with "c". */
private const val PART_SEPARATOR = '\u0000'

/** Bits of the hash that are used; with one more bit for the middle of the step, every value is exact in a double. */
private const val UNIT_BITS = 52

/**
 * Ranks [nodes] for [key] by weighted rendezvous hashing, best first; nodes are told apart by their text. A node's share of first places
 * is proportional to its [weight], which must not be negative, and taking a node away changes nothing for the keys that it was not the
 * best for.
 */
fun <T : Any> rendezvousRank(key: String, nodes: Collection<T>, weight: (T) -> Double = { 1.0 }): List<T> =
    nodes
        .map { it to rendezvousScore(key, it.toString(), weight(it)) }
        .sortedWith(compareByDescending<Pair<T, Double>> { it.second }.thenBy { it.first.toString() })
        .map { it.first }

/** The first of [rendezvousRank], in one pass; null when there is no node with a positive weight. */
fun <T : Any> rendezvousChoice(key: String, nodes: Collection<T>, weight: (T) -> Double = { 1.0 }): T? =
    nodes
        .filter { weight(it) > 0 }
        .maxWithOrNull(compareBy<T> { rendezvousScore(key, it.toString(), weight(it)) }.thenByDescending { it.toString() })

/** A number in (0, 1) that depends on [parts] only. */
internal fun unitHash(vararg parts: String): Double {
    val hasher = Hashing.murmur3_128().newHasher()
    parts.forEach { hasher.putUnencodedChars(it).putChar(PART_SEPARATOR) }
    val bits = hasher.hash().asLong() ushr (Long.SIZE_BITS - UNIT_BITS)
    return (2 * bits + 1).toDouble() / (1L shl UNIT_BITS + 1)
}

private fun rendezvousScore(key: String, node: String, weight: Double): Double = weight / -ln(unitHash(key, node))
