package yuccaflow.entry.store

/** Result of joining the group of routers or of staying in it. */
sealed interface JoinResult {
    /** The router is a member. [isCandidate] tells that the group has chosen it as the one to plan if no other router does. */
    data class Joined(
        val generation: Long,
        val isCandidate: Boolean,
    ) : JoinResult

    /** The router could not reach the group. */
    data class Failed(
        val reason: String,
    ) : JoinResult
}

/** The platform's list of live routers. A member that sends nothing for its time to live is dropped. */
interface RouterGroup {
    /** Joins as [member], or stays in. [generation] is that of the last answer, or 0. */
    suspend fun join(member: String, generation: Long, ttlMs: Long): JoinResult

    /** Lists the members that hold a part of the group's work, or null when the group cannot be reached. */
    suspend fun members(): Set<String>?

    /** Leaves the group. Best effort: a member that cannot leave is dropped after its time to live. */
    suspend fun leave(member: String)
}
