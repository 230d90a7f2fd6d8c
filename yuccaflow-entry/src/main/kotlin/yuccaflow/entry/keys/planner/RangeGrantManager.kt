package yuccaflow.entry.keys.planner

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import org.tinylog.Logger
import yuccaflow.base.TimerService
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.keys.Assignment
import yuccaflow.entry.keys.FencedKeyRange
import yuccaflow.entry.keys.FormerHolder
import yuccaflow.entry.keys.KeyGrantClient
import yuccaflow.entry.keys.KeyGrantResult
import yuccaflow.entry.keys.KeyOwnershipSettings
import yuccaflow.entry.keys.SameZoneRelease
import yuccaflow.entry.keys.TargetEndpoint
import yuccaflow.entry.keys.TargetIncarnation
import yuccaflow.entry.keys.describe
import yuccaflow.entry.keys.find
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events
import yuccaflow.http.SocketAddress

/** What a [RangeGrantManager] needs from the planner. */
internal interface PlannerContext {
    /** Returns whether targets may be called now. */
    fun hasAuthority(): Boolean

    /** Returns whether keys may be taken from a target without its confirmation. */
    fun mayMoveKeys(): Boolean

    /** Returns when a former planner's last grant of [generation] expires, or a time in the distant past if there can be none. */
    fun formerGrantsEndAtMs(generation: Long): Long

    /** Called when the target has confirmed the grant of a moving range. */
    fun onGrantConfirmed(assignment: Assignment)
}

/**
 * Puts the assignments into effect while this router is the planner, with one task per assignment. A task releases the keys from the former
 * holders, grants them to the new holder, and renews the grant until the assignment is replaced.
 */
internal class RangeGrantManager(
    private val directory: TargetDirectory,
    private val grantClient: KeyGrantClient,
    private val sameZoneRelease: SameZoneRelease,
    private val timer: TimerService,
    private val settings: KeyOwnershipSettings,
    private val events: EventLog,
    private val planner: PlannerContext,
) {
    private val tasks = HashMap<Assignment, Job>()
    private val locks = HashMap<Long, Mutex>()

    /** By generation, when at the latest the last grant that was sent arrives at the target. */
    private val latestArrivalMs = HashMap<Long, Long>()
    private val lastRenewedAtMs = HashMap<Long, Long>()
    private val lostHolders = HashMap<TargetIncarnation, Long>()
    private val fenced = HashSet<Assignment>()
    private var rangeCounts = emptyMap<TargetIncarnation, Int>()

    /** Starts and cancels tasks so that exactly one runs for each of [assignments]. */
    fun reconcile(scope: CoroutineScope, assignments: Collection<Assignment>) {
        val desired = assignments.toSet()
        rangeCounts = desired.groupingBy { it.holder }.eachCount()
        val replaced = tasks.keys.filter { it !in desired }
        replaced.forEach { tasks.remove(it)?.cancel() }
        fenced.retainAll(desired)
        val generations = desired.flatMap { it.formers.map { former -> former.generation } + it.generation }.toSet()
        latestArrivalMs.keys.retainAll(generations)
        lastRenewedAtMs.keys.retainAll(generations)
        locks.keys.retainAll(generations)
        desired.filter { it !in tasks }.forEach { assignment -> tasks[assignment] = scope.launch { keepEnforcing(assignment) } }
    }

    /** Cancels all tasks. The next [reconcile] starts them anew, so this must also be called when their scope has ended. */
    fun stop() {
        tasks.values.forEach { it.cancel() }
        tasks.clear()
    }

    /**
     * Returns whether [holder] is to be assigned no keys: it recently refused a connection, was found to have ended, or has lost its grants
     * because it did not answer renewals.
     */
    fun isLost(holder: TargetIncarnation): Boolean {
        val lostAtMs = lostHolders[holder] ?: return false
        return timer.nowMs() - lostAtMs < LOST_RETENTION_MS
    }

    /** Returns the assignments whose holder rejects the generation because it has seen a higher one. */
    fun fencedAssignments(): Set<Assignment> = fenced.toSet()

    /** Enforces [assignment] until cancelled. An exception delays only this assignment, and the tasks of the others go on. */
    private suspend fun keepEnforcing(assignment: Assignment) {
        var hasFailed = false
        while (true) {
            try {
                enforce(assignment)
            } catch (failure: Exception) {
                currentCoroutineContext().ensureActive()
                if (!hasFailed) Logger.error(failure, "enforcing the assignment of keys {} to {} failed", assignment.from, assignment.to)
                hasFailed = true
                logFailure("enforce", assignment.holder, assignment, failure.toString())
                markLostIfSilent(assignment)
            }
            timer.sleep(settings.retryDelayMs)
        }
    }

    private suspend fun enforce(assignment: Assignment) {
        if (assignment.isMoving) {
            // A grant with a higher generation replaces the holder's own former grant, so that one needs no release.
            val others = assignment.formers.filter { it.holder != assignment.holder }
            val handover = others.map { reclaimFrom(it, assignment) }.firstOrNull { it != null }
            grantUntilDone(assignment, handover)
            planner.onGrantConfirmed(assignment)
        }
        renew(assignment)
    }

    /** Waits until the former holder has released the keys or can no longer hold a grant on them. Returns its handover, if any. */
    private suspend fun reclaimFrom(former: FormerHolder, assignment: Assignment): String? {
        val range = FencedKeyRange(assignment.from, assignment.to, assignment.generation)
        while (true) {
            awaitPermission { planner.mayMoveKeys() }
            if (timer.nowMs() >= grantEndsAtMs(former) || hasRestartedElsewhere(former.holder)) return null
            // Waits for a grant in transit, because the target could otherwise execute it after the release.
            lockOf(former.generation).withLock { }
            when (val result = release(endpointOf(former.holder), range)) {
                is KeyGrantResult.Done -> {
                    logRelease(former, assignment, "released")
                    return result.handover
                }
                is KeyGrantResult.OtherTarget -> {
                    recordLost(former, assignment, result)
                    return null
                }
                is KeyGrantResult.ConnectionRefused -> {
                    logFailure("release", former.holder, assignment, result.toString())
                    timer.sleep((grantEndsAtMs(former) - timer.nowMs()).coerceIn(settings.retryDelayMs, settings.refusedRetryDelayMs))
                }
                else -> {
                    logFailure("release", former.holder, assignment, result.toString())
                    timer.sleep(settings.retryDelayMs)
                }
            }
        }
    }

    private fun recordLost(former: FormerHolder, assignment: Assignment, result: KeyGrantResult) {
        logRelease(former, assignment, result.toString())
        lostHolders[former.holder] = timer.nowMs()
    }

    /** Releases keys by a direct call or, if that fails, through a router in the zone of the target. */
    private suspend fun release(target: TargetEndpoint, range: FencedKeyRange): KeyGrantResult {
        val result = grantClient.release(target, range, settings.releaseTimeoutMs)
        if (result is KeyGrantResult.Done || result is KeyGrantResult.OtherTarget) return result
        return sameZoneRelease.release(target, range) ?: result
    }

    /** Retries until the target confirms the grant. The task is cancelled when the planner assigns the range to another holder. */
    private suspend fun grantUntilDone(assignment: Assignment, handover: String?) {
        while (true) {
            val result = grant(assignment, handover)
            if (result is KeyGrantResult.Done) break
            logFailure("grant", assignment.holder, assignment, result.toString())
            timer.sleep(settings.retryDelayMs)
        }
        events.log(Events.RANGE_GRANTED) { describe(assignment) }
    }

    private suspend fun renew(assignment: Assignment) {
        while (true) {
            val result = grant(assignment, null)
            if (result is KeyGrantResult.Done) {
                timer.sleep(settings.renewIntervalMs(rangeCounts[assignment.holder] ?: 1))
            } else {
                logFailure("renew", assignment.holder, assignment, result.toString())
                markLostIfSilent(assignment)
                timer.sleep(settings.retryDelayMs)
            }
        }
    }

    private suspend fun grant(assignment: Assignment, handover: String?): KeyGrantResult {
        awaitPermission { planner.hasAuthority() }
        val target = endpointOf(assignment.holder)
        val range = FencedKeyRange(assignment.from, assignment.to, assignment.generation)
        val currentTask = currentCoroutineContext()[Job]
        // A grant that was sent runs to completion even if the assignment is replaced meanwhile, so that a release can follow it.
        val result = withContext(NonCancellable) {
            lockOf(assignment.generation).withLock {
                if (!planner.hasAuthority()) return@withLock KeyGrantResult.NotSent("the authority has expired")
                if (currentTask?.isActive == false) return@withLock KeyGrantResult.NotSent("the assignment was replaced")
                if (hasRestarted(assignment.holder)) return@withLock KeyGrantResult.NotSent("the target has restarted")
                send(target, range, handover) { planner.hasAuthority() && !hasRestarted(assignment.holder) }
            }
        }
        when (result) {
            is KeyGrantResult.Done -> {
                lastRenewedAtMs[assignment.generation] = timer.nowMs()
                if (result.isLeaving) directory.find(assignment.holder)?.let { directory.recordLeaving(it, saidAfterMs = null) }
            }
            is KeyGrantResult.OtherTarget, is KeyGrantResult.ConnectionRefused -> lostHolders[assignment.holder] = timer.nowMs()
            KeyGrantResult.Fenced -> fenced += assignment
            else -> Unit
        }
        return result
    }

    private suspend fun send(target: TargetEndpoint, range: FencedKeyRange, handover: String?, maySend: () -> Boolean): KeyGrantResult {
        val previousMs = latestArrivalMs[range.generation]
        latestArrivalMs[range.generation] = timer.nowMs() + settings.grantTimeoutMs
        val result = grantClient.grant(target, range, settings.grantDurationMs, handover, settings.grantTimeoutMs, maySend)
        when (result) {
            is KeyGrantResult.NotSent, is KeyGrantResult.ConnectionRefused ->
                if (previousMs == null) latestArrivalMs -= range.generation else latestArrivalMs[range.generation] = previousMs
            // This also applies without an answer, because a busy event loop may abandon a call later than its timeout.
            else -> latestArrivalMs[range.generation] = timer.nowMs()
        }
        return result
    }

    /** Marks the holder as lost if it has answered no renewal for longer than a grant lasts, because its grant has then expired. */
    private fun markLostIfSilent(assignment: Assignment) {
        val nowMs = timer.nowMs()
        val sinceMs = lastRenewedAtMs.getOrPut(assignment.generation) { nowMs }
        if (nowMs - sinceMs > settings.grantDurationMs) lostHolders[assignment.holder] = nowMs
    }

    private suspend fun awaitPermission(isPermitted: () -> Boolean) {
        while (!isPermitted()) timer.sleep(settings.retryDelayMs)
    }

    private fun grantEndsAtMs(former: FormerHolder): Long {
        val ownGrantEndMs = latestArrivalMs[former.generation]?.let { it + settings.maxGrantDurationMs } ?: Long.MIN_VALUE
        return maxOf(ownGrantEndMs, planner.formerGrantsEndAtMs(former.generation))
    }

    /**
     * Returns whether a newer incarnation of the target runs at another address. At the same address, the newer incarnation may have
     * accepted renewals that were meant for [holder], so the keys must be released there.
     */
    private fun hasRestartedElsewhere(holder: TargetIncarnation): Boolean {
        val entry = directory.find(holder.target)?.entry ?: return false
        return hasRestarted(holder) && entry.address.toString() != holder.address
    }

    /**
     * Returns whether the entry of a newer incarnation of the target is known. That one holds nothing, so it accepts any generation, also
     * one that [holder] had.
     */
    private fun hasRestarted(holder: TargetIncarnation): Boolean {
        val bornMs = directory.find(holder.target)?.entry?.bornMs ?: return false
        return holder.bornMs != null && bornMs > holder.bornMs
    }

    private fun endpointOf(holder: TargetIncarnation) =
        TargetEndpoint(
            holder.target,
            checkNotNull(SocketAddress.parseOrNull(holder.address)) {
                "expected IP:PORT as address of target ${holder.target}, found ${holder.address}"
            },
            holder.zone,
        )

    private fun lockOf(generation: Long): Mutex = locks.getOrPut(generation) { Mutex() }

    private fun logRelease(former: FormerHolder, assignment: Assignment, outcome: String) = events.log(Events.RANGE_RELEASED) {
        describe(assignment)
        put("former_target", former.holder.target)
        put("former_generation", former.generation)
        put("outcome", outcome)
    }

    private fun logFailure(operation: String, holder: TargetIncarnation, assignment: Assignment, outcome: String) =
        events.log(Events.ORDER_FAILED) {
            describe(assignment)
            put("order", operation)
            put("sent_to", holder.target)
            put("outcome", outcome)
        }

    private companion object {
        /** How long a lost incarnation is assigned no keys. A newer incarnation may be assigned keys once it has written its entry. */
        const val LOST_RETENTION_MS = 3_000L
    }
}
