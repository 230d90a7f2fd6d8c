package yuccaflow.entry.keys

/**
 * The kind and the era in the key of a record of the routers' stream, such as `planner@2` or `range@2/SERVICE/00000`. Keys of era 0 name no
 * era.
 *
 * Each era has its own keys, because an append of an older era may be executed late, after the store was restored, and must not replace a
 * record of the newer one. A snapshot contains only the newest record of each key, so nobody could tell what was replaced.
 */
internal data class RecordKey(
    val kind: String,
    val era: Long,
) {
    /** The first segment of the record key. */
    override fun toString(): String = if (era == 0L) kind else "$kind$ERA_MARK$era"

    companion object {
        const val PLANNER = "planner"
        const val MEMBER = "member"
        const val RANGE = "range"
        private const val ERA_MARK = '@'

        /** Returns the kind and the era of the record with [key]. The kind is the whole first segment if the era is not a number. */
        fun of(key: String): RecordKey {
            val segment = key.substringBefore('/')
            val era = segment.substringAfter(ERA_MARK, "").toLongOrNull()?.takeIf { it > 0 } ?: return RecordKey(segment, 0)
            return RecordKey(segment.substringBefore(ERA_MARK), era)
        }
    }
}
