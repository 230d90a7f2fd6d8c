package yuccaflow.entry.peer

import yuccaflow.base.TimerService
import yuccaflow.entry.store.StreamFollower

/**
 * How far this router has read the streams whose records take effect within seconds. Routers tell each other, so that a router hears of a
 * record that its own reads have missed, and need not call the store to know that there is none.
 */
internal class StreamPositions(
    private val followers: List<StreamFollower>,
    private val timer: TimerService,
) {
    /** Returns the positions to tell another router. Streams that have not been read yet are left out. */
    fun current(): List<RelayedPosition> = followers.mapNotNull { follower ->
        follower.nextOffset?.let {
            RelayedPosition(
                follower.stream,
                it,
                follower.freshAtMs?.let { freshAtMs ->
                    timer.nowMs() - freshAtMs
                },
            )
        }
    }

    /**
     * Takes note of [positions] that another router has told, at most one for each stream. It determined them after [determinedAfterMs], or at an unknown time if that
     * is null; its confirmations cannot be dated then.
     */
    fun learn(positions: List<RelayedPosition>, determinedAfterMs: Long? = null) {
        for (position in positions.take(followers.size)) {
            val confirmedAtMs = position.ageMs?.let { ageMs -> determinedAfterMs?.minus(ageMs.coerceAtLeast(0)) }
            followers.find { it.stream == position.stream }?.learnPosition(position.endOffset, confirmedAtMs)
        }
    }
}
