package yuccaflow.entry.keys

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import yuccaflow.base.TimerService
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events
import yuccaflow.http.SocketAddress

/** What the keeper needs to know of the planner's standing. */
internal interface PlannerStanding {
    /** Whether an order may be sent now. */
    fun mayOrder(): Boolean

    /** Whether keys may be taken from a target that does not confirm it. */
    fun mayMove(): Boolean

    /** Until when a grant of [generation] by a former planner may last; long ago if none can have given one. */
    fun formerGrantsEndAtMs(generation: Long): Long

    /** Called when the target has confirmed the grant of a moving range. */
    fun confirmed(assignment: Assignment)
}

/**
 * Carries out the assignments while this router is the planner, with one task for each: takes the keys from the former holder, grants
 * them to the new one, and renews the grant until the assignment is replaced.
 */
internal class RangeKeeper(
    private val zone: String,
    private val directory: TargetDirectory,
    private val orders: KeyGrantClient,
    private val sameZoneRelease: SameZoneRelease,
    private val timer: TimerService,
    private val settings: KeyOwnershipSettings,
    private val events: EventLog,
    private val standing: PlannerStanding,
) {
    private val tasks = HashMap<Assignment, Job>()
    private val locks = HashMap<Long, Mutex>()

    /** By generation, until when a grant that was sent may arrive at the target. */
    private val arrivesByMs = HashMap<Long, Long>()
    private val renewedAtMs = HashMap<Long, Long>()
    private val lost = HashMap<TargetIncarnation, Long>()
    private val fenced = HashSet<Assignment>()

    /** Starts and ends tasks so that there is one for each of [assignments]. */
    fun keep(scope: CoroutineScope, assignments: Collection<Assignment>) {
        val wanted = assignments.toSet()
        val replaced = tasks.keys.filter { it !in wanted }
        replaced.forEach { tasks.remove(it)?.cancel() }
        fenced.retainAll(wanted)
        val generations = wanted.flatMap { it.formers.map { former -> former.generation } + it.generation }.toSet()
        arrivesByMs.keys.retainAll(generations)
        renewedAtMs.keys.retainAll(generations)
        locks.keys.retainAll(generations)
        wanted.filter { it !in tasks }.forEach { assignment -> tasks[assignment] = scope.launch { carryOut(assignment) } }
    }

    /** Ends all tasks. */
    fun stop() {
        tasks.values.forEach { it.cancel() }
        tasks.clear()
    }

    /** Tells whether the life of the target has ended, or its grants have run out because it does not answer. */
    fun isLost(holder: TargetIncarnation): Boolean {
        val lostAtMs = lost[holder] ?: return false
        return timer.nowMs() - lostAtMs < LOST_FOR_MS
    }

    /** Assignments whose holder refuses the generation, because it has seen a higher one. */
    fun needNewGeneration(): Set<Assignment> = fenced.toSet()

    private suspend fun carryOut(assignment: Assignment) {
        if (assignment.isMoving) {
            // A grant with a higher generation takes the place of the holder's own former one.
            val others = assignment.formers.filter { it.holder != assignment.holder }
            val handover = others.map { takeFrom(it, assignment) }.firstOrNull { it != null }
            grantUntilDone(assignment, handover)
            standing.confirmed(assignment)
        }
        renew(assignment)
    }

    /** Returns when the former holder has given up the keys or cannot hold them any more, with its handover if there is one. */
    private suspend fun takeFrom(former: FormerHolder, assignment: Assignment): String? {
        val range = FencedKeyRange(assignment.from, assignment.to, assignment.generation)
        while (true) {
            awaitStanding { standing.mayMove() }
            if (timer.nowMs() >= holdEndsAtMs(former) || hasNewLife(former.holder)) return null
            // No grant that was sent before may still be on its way.
            lockOf(former.generation).withLock { }
            when (val result = release(addressOf(former.holder), range)) {
                is KeyGrantResult.Done -> {
                    logRelease(former, assignment, "released")
                    return result.handover
                }
                is KeyGrantResult.OtherTarget, is KeyGrantResult.ConnectionRefused -> {
                    logRelease(former, assignment, result.toString())
                    lost[former.holder] = timer.nowMs()
                    return null
                }
                else -> {
                    logFailure("release", former.holder, assignment, result)
                    timer.sleep(settings.renewRetryMs)
                }
            }
        }
    }

    /**
     * Releases directly, or through a router in the target's zone if that fails. [KeyGrantResult.ConnectionRefused] is returned only as
     * seen from the target's own zone.
     */
    private suspend fun release(target: TargetEndpoint, range: FencedKeyRange): KeyGrantResult {
        val result = orders.release(target, range, settings.releaseTimeoutMs)
        val isCertain = result is KeyGrantResult.Done ||
            result is KeyGrantResult.OtherTarget ||
            (result is KeyGrantResult.ConnectionRefused && target.zone == zone)
        if (isCertain) return result
        val near = sameZoneRelease.release(target, range)
        return when {
            near != null -> near
            result is KeyGrantResult.ConnectionRefused -> KeyGrantResult.NoAnswer(result.reason)
            else -> result
        }
    }

    /** Tries until the target confirms the grant; the task is ended when the planner finds another holder. */
    private suspend fun grantUntilDone(assignment: Assignment, handover: String?) {
        while (true) {
            val result = grant(assignment, handover)
            if (result is KeyGrantResult.Done) break
            logFailure("grant", assignment.holder, assignment, result)
            timer.sleep(settings.renewRetryMs)
        }
        events.log(Events.RANGE_GRANTED) { describe(assignment) }
    }

    private suspend fun renew(assignment: Assignment) {
        while (true) {
            val result = grant(assignment, null)
            if (result is KeyGrantResult.Done) {
                timer.sleep(settings.renewMs)
            } else {
                logFailure("renew", assignment.holder, assignment, result)
                noteSilence(assignment)
                timer.sleep(settings.renewRetryMs)
            }
        }
    }

    private suspend fun grant(assignment: Assignment, handover: String?): KeyGrantResult {
        awaitStanding { standing.mayOrder() }
        val target = addressOf(assignment.holder)
        val range = FencedKeyRange(assignment.from, assignment.to, assignment.generation)
        val task = currentCoroutineContext()[Job]
        // A grant that has left is waited for even if the assignment is replaced meanwhile, so that a release can follow it.
        val result = withContext(NonCancellable) {
            lockOf(assignment.generation).withLock {
                if (!standing.mayOrder()) return@withLock KeyGrantResult.NotSent("the authority has expired")
                if (task?.isActive == false) return@withLock KeyGrantResult.NotSent("the assignment was replaced")
                send(target, range, handover)
            }
        }
        when (result) {
            is KeyGrantResult.Done -> renewedAtMs[assignment.generation] = timer.nowMs()
            is KeyGrantResult.OtherTarget, is KeyGrantResult.ConnectionRefused -> lost[assignment.holder] = timer.nowMs()
            KeyGrantResult.Fenced -> fenced += assignment
            else -> Unit
        }
        return result
    }

    private suspend fun send(target: TargetEndpoint, range: FencedKeyRange, handover: String?): KeyGrantResult {
        val earlierMs = arrivesByMs[range.generation]
        arrivesByMs[range.generation] = timer.nowMs() + settings.orderTimeoutMs
        val result = orders.grant(target, range, settings.grantDurationMs, handover, settings.orderTimeoutMs, standing::mayOrder)
        when (result) {
            is KeyGrantResult.NotSent, is KeyGrantResult.ConnectionRefused ->
                if (earlierMs == null) arrivesByMs -= range.generation else arrivesByMs[range.generation] = earlierMs
            // Also without an answer: a busy event loop gives an order up later than its time.
            else -> arrivesByMs[range.generation] = timer.nowMs()
        }
        return result
    }

    /** A target that answers no renewal for as long as a grant lasts holds nothing any more. */
    private fun noteSilence(assignment: Assignment) {
        val nowMs = timer.nowMs()
        val sinceMs = renewedAtMs.getOrPut(assignment.generation) { nowMs }
        if (nowMs - sinceMs > settings.grantDurationMs) lost[assignment.holder] = nowMs
    }

    private suspend fun awaitStanding(hasStanding: () -> Boolean) {
        while (!hasStanding()) timer.sleep(settings.renewRetryMs)
    }

    private fun holdEndsAtMs(former: FormerHolder): Long {
        val ownEndMs = arrivesByMs[former.generation]?.let { it + settings.maxGrantDurationMs } ?: Long.MIN_VALUE
        return maxOf(ownEndMs, standing.formerGrantsEndAtMs(former.generation))
    }

    /** A new life at the same address may have taken renewals for the former one, so there the keys are released. */
    private fun hasNewLife(holder: TargetIncarnation): Boolean {
        val entry = directory.find(holder.target)?.entry ?: return false
        val bornMs = entry.bornMs ?: return false
        return holder.bornMs != null && bornMs > holder.bornMs && entry.address.toString() != holder.address
    }

    private fun addressOf(holder: TargetIncarnation) =
        TargetEndpoint(
            holder.target,
            checkNotNull(SocketAddress.parseOrNull(holder.address)) { "no address: ${holder.address}" },
            holder.zone,
        )

    private fun lockOf(generation: Long): Mutex = locks.getOrPut(generation) { Mutex() }

    private fun logRelease(former: FormerHolder, assignment: Assignment, outcome: String) = events.log(Events.RANGE_RELEASED) {
        describe(assignment)
        put("former_target", former.holder.target)
        put("former_generation", former.generation)
        put("outcome", outcome)
    }

    private fun logFailure(order: String, holder: TargetIncarnation, assignment: Assignment, result: KeyGrantResult) =
        events.log(Events.ORDER_FAILED) {
            describe(assignment)
            put("order", order)
            put("sent_to", holder.target)
            put("outcome", result.toString())
        }

    private companion object {
        /** How long a target that was found gone gets no keys, unless its next life has written an entry. */
        const val LOST_FOR_MS = 3_000L
    }
}
