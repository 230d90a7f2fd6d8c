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

/** Hands targets to other live routers during a planned stop. */
internal class TargetHandover(
    private val parts: OwnershipDependencies,
) {
    /** Hands over all of [keepers] because this router stops, each as soon as none of its requests can still run. */
    suspend fun handOverAll(keepers: Collection<TargetGrantManager>): Unit = coroutineScope {
        keepers.map { keeper -> async { leave(keeper) } }.awaitAll()
    }

    private suspend fun leave(keeper: TargetGrantManager) {
        while (isPrimary(keeper)) {
            val next = successor(keeper) ?: return
            handOver(keeper, next)
            if (isPrimary(keeper)) parts.timer.sleep(RETRY_PAUSE_MS)
        }
    }

    /** Hands [keeper]'s target to [next], or serves on when that cannot be recorded. Does nothing while a handover is under way. */
    suspend fun handOver(keeper: TargetGrantManager, next: RouterId) {
        if (!keeper.beginHandover()) return
        parts.running().awaitNoneRunning(keeper.target)
        appendUntilKnown(keeper, next)
        if (isPrimary(keeper)) keeper.endHandover()
        Logger.info("target {} handed over to {}", keeper.target, parts.table.primaries[keeper.target]?.router)
    }

    /** Repeats the append while its outcome is unknown: this router may already have been replaced and must not send. */
    private suspend fun appendUntilKnown(keeper: TargetGrantManager, next: RouterId) {
        val record = ControlRecord.PrimaryAssigned(keeper.target, next, keeper.primaryEpoch, parts.membership.routerId)
        while (isPrimary(keeper)) {
            when (val result = parts.membership.append(record)) {
                is AppendResult.Appended -> {
                    parts.membership.state().first { it.table.position >= result.offset }
                    return
                }
                is AppendResult.NotAppended -> return
                is AppendResult.AppendUnknown -> parts.timer.sleep(REPEAT_PAUSE_MS)
            }
        }
    }

    private fun isPrimary(keeper: TargetGrantManager): Boolean {
        val entry = parts.table.primaries[keeper.target] ?: return false
        return entry.router == parts.membership.routerId && entry.epoch == keeper.primaryEpoch
    }

    /** The router that ranks first for the target among the live ones of its zone, or of any zone when that zone has none. */
    private fun successor(keeper: TargetGrantManager): RouterId? {
        val others = parts.table.routers.values
            .filter { it.stage == RouterStage.LIVE && it.suspicion == null && it.id != parts.membership.routerId }
        val near = others.filter { it.zone == keeper.duty.spec.zone }.ifEmpty { others }
        return rendezvousRank(keeper.target.value, near.map { it.id }).firstOrNull()
    }

    private companion object {
        const val REPEAT_PAUSE_MS = 100L
        const val RETRY_PAUSE_MS = 500L
    }
}
