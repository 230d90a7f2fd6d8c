package yuccaflow.entry.store

/** Result of joining the router group or of renewing the membership. */
sealed interface JoinResult {
    /**
     * The router is a member.
     *
     * @property generation the generation of the group, to be passed to the next [RouterGroup.join].
     * @property isCandidate whether the group has chosen this router to become the planner if there is none.
     */
    data class Joined(
        val generation: Long,
        val isCandidate: Boolean,
    ) : JoinResult

    /** The router could not reach the group. */
    data class Failed(
        val reason: String,
    ) : JoinResult
}

/** The platform's group membership service for routers. A member that does not renew its membership within its TTL is removed. */
interface RouterGroup {
    /** Joins the group as [member], or renews the membership for [ttlMs]. [generation] is that of the last answer, or 0 for none. */
    suspend fun join(member: String, generation: Long, ttlMs: Long): JoinResult

    /** Returns the members that have a share of the group's work, or null if the group cannot be reached. */
    suspend fun members(): Set<String>?

    /** Leaves the group. This is a best effort: a member that fails to leave is removed after its TTL. */
    suspend fun leave(member: String)
}
