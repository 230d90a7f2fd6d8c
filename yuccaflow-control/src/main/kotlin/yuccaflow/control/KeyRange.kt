package yuccaflow.control

import kotlinx.serialization.Serializable

/** A half-open interval of keys in unsigned UTF-8 byte order. A null [to] means unbounded. */
@Serializable
data class KeyRange(
    val from: String,
    val to: String?,
) {
    /** Tells whether [key] lies in the range. */
    operator fun contains(key: String): Boolean = compareKeys(key, from) >= 0 && (to == null || compareKeys(key, to) < 0)

    /** Tells whether the two ranges share a key. */
    fun overlaps(other: KeyRange): Boolean =
        (other.to == null || compareKeys(from, other.to) < 0) && (to == null || compareKeys(other.from, to) < 0)

    override fun toString(): String = "[$from, ${to ?: "unbounded"})"
}

/** Compares keys by their unsigned UTF-8 bytes, which is the order of their code points. */
fun compareKeys(left: String, right: String): Int {
    val length = minOf(left.length, right.length)
    val index = (0 until length).firstOrNull { left[it] != right[it] } ?: return left.length - right.length
    val leftChar = left[index]
    val rightChar = right[index]
    if (leftChar.isSurrogate() != rightChar.isSurrogate()) return if (leftChar.isSurrogate()) 1 else -1
    return leftChar.compareTo(rightChar)
}
