package yuccaflow.entry.routing

import yuccaflow.base.TimerService
import yuccaflow.entry.balance.Announcement
import yuccaflow.entry.balance.ChoiceContext
import yuccaflow.entry.balance.TargetChoice
import yuccaflow.entry.balance.TargetChooser
import yuccaflow.entry.balance.TargetState
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.keys.Assignment
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.TargetIncarnation

/**
 * Chooses the target that owns a key, and waits briefly while the key moves to another owner.
 *
 * @property onStaleAssignment called when a target has shown that the assignments known here are out of date.
 */
internal class KeyOwnerChooser(
    private val clusterState: ClusterState,
    private val directory: TargetDirectory,
    private val operators: OperatorState,
    private val chooser: TargetChooser,
    private val timer: TimerService,
    private val onStaleAssignment: () -> Unit,
) {
    /** Generations of moving ranges whose requests go to the former owner, because the new owner has refused one. */
    private val servedByFormerOwner = HashSet<Long>()

    /** By generation of a moving range, when its new owner last refused a request. */
    private val refusedByNewOwnerAtMs = HashMap<Long, Long>()

    /** Records that [target] refused a request because it does not own [key]. */
    fun recordNotOwner(service: String, key: Int, target: TargetState) {
        val assignment = clusterState.find(service, key) ?: return
        if (!assignment.isMoving) return onStaleAssignment()
        if (servedByFormerOwner.size > MAX_REMEMBERED_GENERATIONS) servedByFormerOwner.clear()
        if (refusedByNewOwnerAtMs.size > MAX_REMEMBERED_GENERATIONS) refusedByNewOwnerAtMs.clear()
        if (assignment.holder.isIncarnationOf(target.entry)) {
            servedByFormerOwner += assignment.generation
            refusedByNewOwnerAtMs[assignment.generation] = timer.nowMs()
        } else {
            servedByFormerOwner -= assignment.generation
        }
    }

    /**
     * Chooses the owner of [key]. Suspends for up to a quarter of the remaining time while no owner can be used but is expected soon. A
     * range whose move takes long has a former owner that cannot be reached, so its requests are not kept waiting.
     */
    suspend fun choose(key: Int, context: ChoiceContext): TargetChoice {
        val startedAtMs = timer.nowMs()
        while (true) {
            val assignment = clusterState.find(context.serviceConfig.name, key)
            val owner = assignment?.let(::ownerOf)
            val nowMs = timer.nowMs()
            if (owner != null && !owner.pauseAllowsRequest(nowMs)) {
                val refusal = waitForPause(owner, context, startedAtMs)
                if (refusal == null) continue else return refusal
            }
            if (owner != null && owner.suspectedUntilMs <= nowMs) return chooser.admit(owner, context.afterWait(nowMs - startedAtMs), nowMs)
            val waitUntilMs = minOf(ownerExpectedAtMs(assignment, startedAtMs), startedAtMs + context.remainingMs / WAIT_DIVISOR)
            if (nowMs >= waitUntilMs) return TargetChoice.None(reasonFor(assignment, owner), NO_OWNER_RETRY_AFTER_MS)
            timer.sleep(POLL_INTERVAL_MS)
        }
    }

    /**
     * Waits until the pause of [owner] is over, or for a moment while its requests return gradually, if that is well before the deadline
     * and few requests wait already. Returns null after the wait, or at once why the request is to be refused.
     */
    private suspend fun waitForPause(owner: TargetState, context: ChoiceContext, startedAtMs: Long): TargetChoice? {
        val nowMs = timer.nowMs()
        val restMs = owner.pauseRestMs(nowMs).coerceAtLeast(POLL_INTERVAL_MS)
        val endsInTime = nowMs + restMs <= startedAtMs + context.remainingMs / WAIT_DIVISOR
        if (!endsInTime || owner.waitingForPause >= owner.entry.slots) {
            return TargetChoice.paused("the owner of the key has asked for a pause", restMs)
        }
        owner.waitingForPause++
        try {
            timer.sleep(restMs)
        } finally {
            owner.waitingForPause--
        }
        return null
    }

    private fun ownerExpectedAtMs(assignment: Assignment?, startedAtMs: Long): Long {
        if (assignment == null) return startedAtMs + MAX_WAIT_MS
        if (assignment.isMoving) return timer.nowMs() - movingForMs(assignment) + MOVE_DURATION_MS
        // The planner moves the keys of a leaving owner as soon as it has read the announcement too.
        val announcedAtMs = incarnationOf(assignment.holder)?.let(::announcementsOf).orEmpty().maxOfOrNull { it.readAtMs }
        return maxOf(startedAtMs + MAX_WAIT_MS, announcedAtMs?.let { it + MOVE_DURATION_MS } ?: startedAtMs)
    }

    private fun movingForMs(assignment: Assignment): Long = clusterState.readAtMs(assignment)?.let { timer.nowMs() - it } ?: 0

    /**
     * The new owner refuses requests until its grant arrives. After [GRANT_DELIVERY_MS] the grant has probably arrived, and only the
     * planner's record of its confirmation is missing. If the new owner refuses a request nevertheless, it is asked again only after a
     * while.
     */
    private fun isAwaitingGrant(assignment: Assignment): Boolean {
        val refusedAtMs = refusedByNewOwnerAtMs[assignment.generation]
        val wasJustRefused = refusedAtMs != null && timer.nowMs() - refusedAtMs < NEW_OWNER_RETRY_MS
        return wasJustRefused || movingForMs(assignment) < GRANT_DELIVERY_MS
    }

    private fun ownerOf(assignment: Assignment): TargetState? {
        if (!assignment.isMoving) return stateOf(assignment.holder)
        val former = assignment.formers
            .lastOrNull()
            ?.holder
            ?.takeIf { assignment.generation in servedByFormerOwner }
        former?.let(::stateOf)?.let { return it }
        return if (isAwaitingGrant(assignment)) null else stateOf(assignment.holder)
    }

    private fun stateOf(holder: TargetIncarnation): TargetState? = incarnationOf(holder)?.takeIf(::isStillPresent)

    private fun incarnationOf(holder: TargetIncarnation): TargetState? =
        (directory.find(holder.target) ?: directory.findRemoved(holder.target))?.takeIf { holder.isIncarnationOf(it.entry) }

    /**
     * Returns whether an owner has not left yet. A leaving owner serves its keys until they have moved, but only while it is certain that
     * the announcement is recent enough.
     */
    private fun isStillPresent(owner: TargetState): Boolean {
        val nowMs = timer.nowMs()
        val emptiedMs = operators.emptied(owner.entry.zone)?.let { nowMs - it.madeAfterMs } ?: 0
        return leavingOf(owner).all { nowMs - it.madeAfterMs < LEAVING_OWNER_USABLE_MS } && emptiedMs < EMPTIED_ZONE_USABLE_MS
    }

    /** Returns whether [owner] may still receive a request for which it was chosen. */
    fun mayReceive(owner: TargetState): Boolean = isStillPresent(owner) && owner.pauseRestMs(timer.nowMs()) == 0L

    private fun announcementsOf(owner: TargetState): List<Announcement> =
        leavingOf(owner) + listOfNotNull(operators.emptied(owner.entry.zone))

    /** A target that the directory keeps although its entry is missing has not announced that it leaves. */
    private fun leavingOf(owner: TargetState): List<Announcement> =
        listOfNotNull(owner.draining, owner.removal.takeIf { directory.find(owner.entry.id) !== owner })

    private fun reasonFor(assignment: Assignment?, owner: TargetState?): String = when {
        assignment == null -> "the key has no owner"
        owner != null -> "the owner of the key cannot be reached"
        assignment.isMoving -> "the key is changing hands"
        else -> "the owner of the key has left"
    }

    private companion object {
        const val MAX_REMEMBERED_GENERATIONS = 1_000
        const val MAX_WAIT_MS = 100L

        /** Time in which a range usually moves if its former owner can be reached. */
        const val MOVE_DURATION_MS = 600L
        const val WAIT_DIVISOR = 4
        const val POLL_INTERVAL_MS = 10L
        const val NO_OWNER_RETRY_AFTER_MS = 250L
        const val GRANT_DELIVERY_MS = 300L

        /** Long enough for the planner's record of the confirmation to arrive first if the new owner gets its grant meanwhile. */
        const val NEW_OWNER_RETRY_MS = 1_000L

        /** A leaving target must receive no requests later than 2 s after it announced that. The rest is for the way to the target. */
        const val LEAVING_OWNER_USABLE_MS = 1_500L

        /** The targets of an emptied zone must receive no requests later than 5 s after the operators emptied it. */
        const val EMPTIED_ZONE_USABLE_MS = 4_500L
    }
}
