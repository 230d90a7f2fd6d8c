package yuccaflow.router.ownership

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.first
import org.tinylog.Logger
import yuccaflow.control.ControlRecord
import yuccaflow.control.RouterId
import yuccaflow.control.RouterStage
import yuccaflow.control.rendezvousRank
import yuccaflow.external.AppendResult

/** Hands the primary role for targets over to other live routers, during a graceful shutdown or at the planner's request. */
internal class TargetHandover(
    private val deps: OwnershipDependencies,
) {
    /** Hands over the targets of all [managers] because this router stops, each as soon as none of its requests can still be running. */
    suspend fun handOverAll(managers: Collection<TargetGrantManager>): Unit = coroutineScope {
        managers.map { manager -> async { handOverToSuccessor(manager) } }.awaitAll()
    }

    private suspend fun handOverToSuccessor(manager: TargetGrantManager) {
        while (isPrimary(manager)) {
            val next = successor(manager) ?: return
            handOver(manager, next)
            if (isPrimary(manager)) deps.timer.sleep(HANDOVER_RETRY_DELAY_MS)
        }
    }

    /**
     * Hands the target of [manager] over to [next]. Sending to the target resumes if the handover was not recorded. Does nothing while
     * another handover of the target is in progress.
     */
    suspend fun handOver(manager: TargetGrantManager, next: RouterId) {
        if (!manager.beginHandover()) return
        deps.running().awaitNoneRunning(manager.target)
        appendUntilKnown(manager, next)
        if (isPrimary(manager)) manager.abortHandover()
        Logger.info("handover of target {} ended; its primary is {}", manager.target, deps.table.primaries[manager.target]?.router)
    }

    /**
     * Appends the handover. Once the outcome of one append is unknown, the append is retried until one is confirmed or this router has read
     * that it was replaced: the certain failure of a retry says nothing about the append before it. Until then this router must not send.
     */
    private suspend fun appendUntilKnown(manager: TargetGrantManager, next: RouterId) {
        val record = ControlRecord.PrimaryAssigned(manager.target, next, manager.primaryEpoch, deps.membership.routerId)
        var mayBeRecorded = false
        while (isPrimary(manager)) {
            when (val result = deps.membership.append(record)) {
                is AppendResult.Appended -> {
                    deps.membership.state().first { it.table.position >= result.offset }
                    return
                }
                is AppendResult.NotAppended -> if (!mayBeRecorded) return
                is AppendResult.AppendUnknown -> mayBeRecorded = true
            }
            deps.timer.sleep(APPEND_RETRY_DELAY_MS)
        }
    }

    private fun isPrimary(manager: TargetGrantManager): Boolean {
        val entry = deps.table.primaries[manager.target] ?: return false
        return entry.router == deps.membership.routerId && entry.epoch == manager.primaryEpoch
    }

    /** Returns the highest-ranked other live router in the target's zone, or in any zone if that zone has none; null if there is none. */
    private fun successor(manager: TargetGrantManager): RouterId? {
        val others = deps.table.routers.values
            .filter { it.stage == RouterStage.LIVE && it.suspicion == null && it.id != deps.membership.routerId }
        val candidates = others.filter { it.zone == manager.assignment.spec.zone }.ifEmpty { others }
        return rendezvousRank(manager.target.value, candidates.map { it.id }).firstOrNull()
    }

    private companion object {
        const val APPEND_RETRY_DELAY_MS = 100L
        const val HANDOVER_RETRY_DELAY_MS = 500L
    }
}
