package yuccaflow.router.ownership

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger
import yuccaflow.control.ControlRecord
import yuccaflow.control.RangeEntry
import yuccaflow.external.AppendResult
import yuccaflow.router.telemetry.MetricNames

/** Carries out the moves away from one target on the side of its primary. */
internal class RangeReleaser(
    private val keeper: TargetGrantManager,
    private val parts: OwnershipDependencies,
) {
    private val jobs = mutableMapOf<RangeEntry, Job>()

    /** Starts the release of each moving range in [ranges] that is not under way yet, and cancels those that no longer stand. */
    fun update(scope: CoroutineScope, ranges: List<RangeEntry>) {
        val moving = ranges.filter { it.move != null }.toSet()
        (jobs.keys - moving).forEach { finish(it) }
        (moving - jobs.keys).forEach { jobs[it] = scope.launch { release(it) } }
    }

    /** The job may still wait to read its own record back, so the move is counted here, where its result was read. */
    private fun finish(entry: RangeEntry) {
        jobs.remove(entry)?.cancel()
        val owner = parts.table.rangeOf(entry.service, entry.range.from)?.owner
        if (owner != entry.move?.to) return
        Logger.info("released {} {} at {}, now owned by {}", entry.service, entry.range, entry.owner, owner)
        parts.registry.counter(MetricNames.MOVES, "service", entry.service.value).increment()
    }

    private suspend fun release(entry: RangeEntry) {
        parts.running().awaitNoneRunning(keeper.target, entry.service, entry.range)
        awaitEarlierPrimary(entry)
        keeper.withdraw(entry)
        appendRelease(entry)
    }

    /** The requests of an earlier primary, of which this router knows nothing, have reached their run limit after this wait. */
    private suspend fun awaitEarlierPrimary(entry: RangeEntry) {
        val config = parts.membership
            .state()
            .value.config
        val runLimitMs = config.services[entry.service]?.runLimitMs ?: LONGEST_RUN_LIMIT_MS
        parts.timer.sleepUntil(keeper.becamePrimaryAtMs + runLimitMs + parts.settings.timing.driftMarginMs)
    }

    private suspend fun appendRelease(entry: RangeEntry) {
        val moveEpoch = entry.move?.epoch ?: return
        while (true) {
            val record = ControlRecord.RangeReleased(entry.service, entry.range, moveEpoch, parts.membership.routerId)
            val result = parts.membership.append(record)
            if (result is AppendResult.Appended) awaitRead(result.offset)
            if (parts.table.ranges(entry.service).none { it == entry }) break
            parts.timer.sleep(REPEAT_PAUSE_MS)
        }
    }

    private suspend fun awaitRead(offset: Long) {
        withTimeoutOrNull(READ_TIMEOUT_MS) { parts.membership.state().first { it.table.position >= offset } }
    }

    private companion object {
        const val REPEAT_PAUSE_MS = 200L
        const val READ_TIMEOUT_MS = 1_000L

        /** Used for a service that is no longer in force; run limits are at most this long. */
        const val LONGEST_RUN_LIMIT_MS = 60_000L
    }
}
