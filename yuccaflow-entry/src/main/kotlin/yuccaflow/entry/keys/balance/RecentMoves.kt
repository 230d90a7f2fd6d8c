package yuccaflow.entry.keys.balance

import yuccaflow.base.TimerService
import yuccaflow.entry.keys.TargetIncarnation

/**
 * The moves of the last [RETENTION_MS] that balanced load. It keeps keys from moving back to a former owner, whose load looks low only
 * because the keys have left.
 */
internal class RecentMoves(
    private val timer: TimerService,
) {
    private class Departure(
        val service: String,
        val keys: IntRange,
        val holder: TargetIncarnation,
        val atMs: Long,
    )

    private val departures = ArrayDeque<Departure>()

    /** Adds [move], which takes keys from the holder of its former assignment. */
    fun add(move: KeyMove) {
        val former = move.former ?: return
        departures += Departure(move.service, move.from..move.to, former.holder, timer.nowMs())
    }

    /** Returns the keys of [service] that have recently left [holder]. */
    fun leftBy(service: String, holder: TargetIncarnation): List<IntRange> {
        val oldestMs = timer.nowMs() - RETENTION_MS
        while (departures.isNotEmpty() && departures.first().atMs <= oldestMs) departures.removeFirst()
        return departures.filter { it.service == service && it.holder == holder }.map { it.keys }
    }

    private companion object {
        /** Longer than the sample window and the two rounds in which a hot range is spread. */
        const val RETENTION_MS = 5_000L
    }
}
