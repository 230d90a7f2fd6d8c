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
 * Replaces this router's witnesses when the recorded ones no longer serve: one has ended or is leaving, there are too few, or one zone
 * holds a majority that need not hold it. A set that still serves is kept, even when another one would be chosen today.
 */
internal class WitnessReplacer(
    private val parts: MembershipContext,
    private val random: Random,
) {
    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            parts.timer.sleep(CHECK_PERIOD_MS + random.nextLong(CHECK_JITTER_MS))
            val before = parts.self ?: continue
            if (!needsChange(before)) continue
            // Routers that start or stop together are taken in with one record.
            if (before.witnesses.any { parts.table.isLive(it) }) parts.timer.sleep(SETTLE_MS)
            val entry = parts.self ?: continue
            if (entry.suspicion == null && needsChange(entry) && !parts.access.isDirectFailing()) change(entry)
        }
    }

    private fun needsChange(entry: RouterEntry): Boolean {
        if (entry.stage == RouterStage.ENDED || parts.isStopping) return false
        val table = parts.table
        val desired = desiredWitnesses(table, entry.id, entry.zone)
        if (desired.toSet() == entry.witnesses.toSet()) return false
        val gone = entry.witnesses.any { table.routers[it]?.stage != RouterStage.LIVE }
        val unbalanced = hasZoneMajority(table, entry.witnesses) && !hasZoneMajority(table, desired)
        return gone || entry.witnesses.size < desired.size || unbalanced
    }

    private suspend fun change(entry: RouterEntry) {
        val desired = desiredWitnesses(parts.table, entry.id, entry.zone)
        val record = ControlRecord.WitnessesChanged(entry.id, entry.epoch, desired)
        parts.lease.witnessesChanging(entry.id)
        val first = parts.append(record)
        if (first is AppendResult.NotAppended) {
            parts.lease.witnessesKept(entry.id)
            return
        }
        awaitChange(entry, first)
        // The first copy may still arrive; repeated until the epoch has moved on, which makes every other copy void.
        parts.appendUntil({ isSettled(it, entry) }) { record }
        Logger.debug("witnesses changed to {}", desired)
    }

    private suspend fun awaitChange(entry: RouterEntry, result: AppendResult) {
        if (result is AppendResult.Appended) parts.awaitRead(result.offset)
        withTimeoutOrNull(UNKNOWN_WAIT_MS) { parts.replica.state.first { isSettled(it.table, entry) } }
    }

    private fun isSettled(table: ControlTable, entry: RouterEntry): Boolean {
        val now = table.routers[entry.id]
        return now == null || now.epoch != entry.epoch || now.stage == RouterStage.ENDED
    }

    private companion object {
        const val CHECK_PERIOD_MS = 500L

        /** Spreads the changes of many routers that lost the same witness. */
        const val CHECK_JITTER_MS = 500L
        const val SETTLE_MS = 1_000L
        const val UNKNOWN_WAIT_MS = 200L
    }
}

/** The witnesses that a router would choose among the routers that are live and not leaving. */
internal fun desiredWitnesses(table: ControlTable, self: RouterId, zone: ZoneName): List<RouterId> =
    chooseWitnesses(self, zone, table.routers.values)

private fun hasZoneMajority(table: ControlTable, witnesses: List<RouterId>): Boolean =
    witnesses
        .groupingBy { table.routers[it]?.zone }
        .eachCount()
        .values
        .any { it * 2 > witnesses.size }
