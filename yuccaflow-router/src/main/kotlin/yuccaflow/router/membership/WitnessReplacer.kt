package yuccaflow.router.membership

import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger
import yuccaflow.control.ControlRecord
import yuccaflow.control.ControlTable
import yuccaflow.control.RouterEntry
import yuccaflow.control.RouterId
import yuccaflow.control.RouterStage
import yuccaflow.control.ZoneName
import yuccaflow.control.chooseWitnesses
import yuccaflow.external.AppendResult
import kotlin.random.Random

/**
 * Replaces this router's witnesses when the recorded ones are no longer suitable: one has ended or is leaving, there are too few, or one
 * zone holds an avoidable majority of them. A suitable set is kept even if a different one would be chosen now.
 */
internal class WitnessReplacer(
    private val context: MembershipContext,
    private val random: Random,
) {
    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            context.timer.sleep(CHECK_PERIOD_MS + random.nextLong(CHECK_JITTER_MS))
            val before = context.self ?: continue
            if (!needsChange(before)) continue
            // Waits so that one record covers all routers that start or stop at about the same time.
            if (before.witnesses.any { context.table.isLive(it) }) context.timer.sleep(BATCH_DELAY_MS)
            val entry = context.self ?: continue
            if (entry.suspicion == null && needsChange(entry) && !context.logClient.isDirectFailing()) replaceWitnesses(entry)
        }
    }

    private fun needsChange(entry: RouterEntry): Boolean {
        if (entry.stage == RouterStage.ENDED || context.isStopping) return false
        val table = context.table
        val desired = desiredWitnesses(table, entry.id, entry.zone)
        if (desired.toSet() == entry.witnesses.toSet()) return false
        val hasLostWitness = entry.witnesses.any { table.routers[it]?.stage != RouterStage.LIVE }
        val hasAvoidableMajority = hasZoneMajority(table, entry.witnesses) && !hasZoneMajority(table, desired)
        return hasLostWitness || entry.witnesses.size < desired.size || hasAvoidableMajority
    }

    private suspend fun replaceWitnesses(entry: RouterEntry) {
        val desired = desiredWitnesses(context.table, entry.id, entry.zone)
        val record = ControlRecord.WitnessesChanged(entry.id, entry.epoch, desired)
        context.lease.witnessChangeStarted(entry.id)
        val first = context.append(record)
        if (first is AppendResult.NotAppended) {
            context.lease.witnessChangeFailed(entry.id)
            return
        }
        awaitChange(entry, first)
        // The first append may still take effect. Retried until the epoch has advanced, after which no further copy has an effect.
        context.appendUntil({ isChangeDecided(it, entry) }) { record }
        Logger.debug("witnesses changed to {}", desired)
    }

    private suspend fun awaitChange(entry: RouterEntry, result: AppendResult) {
        if (result is AppendResult.Appended) context.awaitRead(result.offset)
        withTimeoutOrNull(UNKNOWN_WAIT_MS) { context.replica.state.first { isChangeDecided(it.table, entry) } }
    }

    private fun isChangeDecided(table: ControlTable, entry: RouterEntry): Boolean {
        val now = table.routers[entry.id]
        return now == null || now.epoch != entry.epoch || now.stage == RouterStage.ENDED
    }

    private companion object {
        const val CHECK_PERIOD_MS = 500L

        /** Spreads the changes of the many routers that lost the same witness. */
        const val CHECK_JITTER_MS = 500L
        const val BATCH_DELAY_MS = 1_000L
        const val UNKNOWN_WAIT_MS = 200L
    }
}

/** Returns the witnesses that router [self] in [zone] would choose now from the routers that are live and not leaving. */
internal fun desiredWitnesses(table: ControlTable, self: RouterId, zone: ZoneName): List<RouterId> =
    chooseWitnesses(self, zone, table.routers.values)

private fun hasZoneMajority(table: ControlTable, witnesses: List<RouterId>): Boolean =
    witnesses
        .groupingBy { table.routers[it]?.zone }
        .eachCount()
        .values
        .any { it * 2 > witnesses.size }
