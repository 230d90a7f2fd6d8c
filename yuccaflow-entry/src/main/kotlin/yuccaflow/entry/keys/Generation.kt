package yuccaflow.entry.keys

private const val OFFSET_BITS = 40

/**
 * Returns the generation of an ownership that the record at [offset] sets in [era] of the store. Generations rise with the offset, and
 * those of a newer era are higher than all older ones, although the store issues offsets again. Adding 1 leaves out 0, which means unset.
 */
internal fun generationOf(era: Long, offset: Long): Long = (era shl OFFSET_BITS) + offset + 1

/** Returns the offset of the record that set [generation], in the era in which it did. */
internal fun offsetOf(generation: Long): Long = (generation and ((1L shl OFFSET_BITS) - 1)) - 1
