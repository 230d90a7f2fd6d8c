package yuccaflow.entry.routing

import yuccaflow.base.TimerService
import yuccaflow.entry.balance.ChoiceContext
import yuccaflow.entry.balance.TargetChoice
import yuccaflow.entry.balance.TargetChooser
import yuccaflow.entry.balance.TargetState
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.keys.Assignment
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.TargetIncarnation

/** Finds the owner of a key, and waits a little while the key changes hands. */
internal class KeyOwnerChooser(
    private val records: ClusterState,
    private val directory: TargetDirectory,
    private val operators: OperatorState,
    private val chooser: TargetChooser,
    private val timer: TimerService,
    private val staleRecords: () -> Unit,
) {
    /** Generations of moving ranges whose former holder accepts requests, as far as this router has seen. */
    private val withFormer = HashSet<Long>()

    /** Notes that [target] refused [key] because it does not own it. */
    fun noteNotOwner(service: String, key: Int, target: TargetState) {
        val assignment = records.find(service, key) ?: return
        if (!assignment.isMoving) return staleRecords()
        if (withFormer.size > MOST_NOTES) withFormer.clear()
        if (assignment.holder.isIncarnationOf(target.entry)) withFormer += assignment.generation else withFormer -= assignment.generation
    }

    /** Chooses the owner of [key]. */
    suspend fun choose(key: Int, context: ChoiceContext): TargetChoice {
        val waitUntilMs = timer.nowMs() + minOf(LONGEST_WAIT_MS, context.remainingMs / WAIT_PART)
        while (true) {
            val assignment = records.find(context.rules.name, key)
            val owner = assignment?.takeUnless(::isAwaitingGrant)?.let(::ownerOf)
            val nowMs = timer.nowMs()
            if (owner != null && owner.suspectedUntilMs <= nowMs) return chooser.checked(owner, context, nowMs)
            if (nowMs >= waitUntilMs) return TargetChoice.None(reasonFor(assignment, owner), NO_OWNER_RETRY_MS)
            timer.sleep(LOOK_AGAIN_MS)
        }
    }

    /** While a grant is on its way the new owner refuses. A record that is older may lack only the planner's last word. */
    private fun isAwaitingGrant(assignment: Assignment): Boolean {
        if (!assignment.isMoving) return false
        val readAtMs = records.readAtMs(assignment) ?: return true
        return timer.nowMs() - readAtMs < GRANT_EXPECTED_MS
    }

    private fun ownerOf(assignment: Assignment): TargetState? {
        val former = assignment.formers
            .lastOrNull()
            ?.holder
            ?.takeIf { assignment.isMoving && assignment.generation in withFormer }
        return former?.let(::stateOf) ?: stateOf(assignment.holder)
    }

    private fun stateOf(holder: TargetIncarnation): TargetState? {
        val state = directory.find(holder.target) ?: directory.findDeparted(holder.target, LEAVING_SERVED_MS)
        return state?.takeIf { holder.isIncarnationOf(it.entry) && mayStillServe(it) }
    }

    /** An owner that leaves keeps its keys until they have moved, but not for longer than it may get work. */
    private fun mayStillServe(state: TargetState): Boolean {
        val nowMs = timer.nowMs()
        val drainingMs = state.drainingSinceMs?.let { nowMs - it } ?: 0
        val emptiedMs = operators.emptiedAtMs(state.entry.zone)?.let { nowMs - it } ?: 0
        return drainingMs < LEAVING_SERVED_MS && emptiedMs < EMPTIED_SERVED_MS
    }

    private fun reasonFor(assignment: Assignment?, owner: TargetState?): String = when {
        assignment == null -> "the key has no owner"
        owner != null -> "the owner of the key cannot be reached"
        assignment.isMoving -> "the key is changing hands"
        else -> "the owner of the key has left"
    }

    private companion object {
        const val MOST_NOTES = 1_000
        const val LONGEST_WAIT_MS = 100L
        const val WAIT_PART = 4
        const val LOOK_AGAIN_MS = 10L
        const val NO_OWNER_RETRY_MS = 250L
        const val GRANT_EXPECTED_MS = 300L

        /** A target that leaves must get no work later than 2 s after it said so. */
        const val LEAVING_SERVED_MS = 1_200L

        /** The targets of an emptied zone must get no work later than 5 s after the operators said so. */
        const val EMPTIED_SERVED_MS = 3_500L
    }
}
