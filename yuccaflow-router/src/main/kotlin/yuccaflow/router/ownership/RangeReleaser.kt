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

/**
 * Releases the key ranges that are moving away from one target, on behalf of its primary: waits for running requests, withdraws the
 * grant, and appends the release.
 */
internal class RangeReleaser(
    private val manager: TargetGrantManager,
    private val deps: OwnershipDependencies,
) {
    private val jobs = mutableMapOf<RangeEntry, Job>()

    /** Starts the release of each moving range in [ranges] that is not in progress yet, and stops those whose move is over. */
    fun update(scope: CoroutineScope, ranges: List<RangeEntry>) {
        val moving = ranges.filter { it.move != null }.toSet()
        (jobs.keys - moving).forEach { finishRelease(it) }
        (moving - jobs.keys).forEach { jobs[it] = scope.launch { release(it) } }
    }

    /** Stops the release of [entry] and counts the move if it succeeded. The job itself may still be waiting to read its record back. */
    private fun finishRelease(entry: RangeEntry) {
        jobs.remove(entry)?.cancel()
        val owner = deps.table.rangeOf(entry.service, entry.range.from)?.owner
        if (owner != entry.move?.to) return
        Logger.info("service {}: range {} moved from target {} to {}", entry.service, entry.range, entry.owner, owner)
        deps.registry.counter(MetricNames.MOVES, "service", entry.service.value).increment()
    }

    private suspend fun release(entry: RangeEntry) {
        deps.running().awaitNoneRunning(manager.target, entry.service, entry.range)
        awaitPreviousPrimaryRequests(entry)
        manager.withdraw(entry)
        appendRelease(entry)
    }

    /** Waits until requests sent by a previous primary, which this router cannot track, have exceeded their run limit. */
    private suspend fun awaitPreviousPrimaryRequests(entry: RangeEntry) {
        val config = deps.membership
            .state()
            .value.config
        val runLimitMs = config.services[entry.service]?.runLimitMs ?: MAX_RUN_LIMIT_MS
        deps.timer.sleepUntil(manager.becamePrimaryAtMs + runLimitMs + deps.settings.timing.driftMarginMs)
    }

    private suspend fun appendRelease(entry: RangeEntry) {
        val moveEpoch = entry.move?.epoch ?: return
        while (true) {
            val record = ControlRecord.RangeReleased(entry.service, entry.range, moveEpoch, deps.membership.routerId)
            val result = deps.membership.append(record)
            if (result is AppendResult.Appended) awaitRead(result.offset)
            if (deps.table.ranges(entry.service).none { it == entry }) break
            deps.timer.sleep(APPEND_RETRY_DELAY_MS)
        }
    }

    private suspend fun awaitRead(offset: Long) {
        withTimeoutOrNull(READ_TIMEOUT_MS) { deps.membership.state().first { it.table.position >= offset } }
    }

    private companion object {
        const val APPEND_RETRY_DELAY_MS = 200L
        const val READ_TIMEOUT_MS = 1_000L

        /** Upper bound of all run limits; used for a service that is no longer configured. */
        const val MAX_RUN_LIMIT_MS = 60_000L
    }
}
