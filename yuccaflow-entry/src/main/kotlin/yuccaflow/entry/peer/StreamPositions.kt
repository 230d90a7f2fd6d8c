package yuccaflow.entry.peer

import yuccaflow.base.TimerService
import yuccaflow.entry.store.StreamFollower

/**
 * How far this router has read the streams whose records take effect within seconds. Routers exchange their positions, so that a router
 * notices a record that its own reads have missed, and need not call the store to confirm that there is none.
 */
internal class StreamPositions(
    private val followers: List<StreamFollower>,
    private val timer: TimerService,
) {
    /** Returns the positions to send to another router. Streams that have not been read yet are left out. */
    fun current(): List<RelayedPosition> = followers.mapNotNull { follower ->
        val endOffset = follower.nextOffset ?: return@mapNotNull null
        RelayedPosition(follower.stream, endOffset, ageMs = follower.freshAtMs?.let { timer.nowMs() - it }, era = follower.era)
    }

    /**
     * Applies [positions] that another router has sent, at most one for each stream. It determined them after [determinedAfterMs], or at an
     * unknown time if that is null; their ages are ignored then.
     */
    fun learn(positions: List<RelayedPosition>, determinedAfterMs: Long? = null) {
        for (position in positions.take(followers.size)) {
            val confirmedAtMs = position.ageMs?.let { ageMs -> determinedAfterMs?.minus(ageMs.coerceAtLeast(0)) }
            followers.find { it.stream == position.stream }?.learnPosition(position.endOffset, confirmedAtMs, position.era)
        }
    }
}
