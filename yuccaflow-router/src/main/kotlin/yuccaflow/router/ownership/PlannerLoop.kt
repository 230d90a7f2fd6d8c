package yuccaflow.router.ownership

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger
import yuccaflow.control.ControlRecord
import yuccaflow.control.PlacementInput
import yuccaflow.control.PlacementPolicy
import yuccaflow.control.RouterStage
import yuccaflow.control.batchOf
import yuccaflow.external.AppendResult

/**
 * Appends what the placement policy decides. A record whose append was lost is not repeated here: the policy decides again from the
 * table, and a second copy of the record is void.
 */
internal class PlannerLoop(
    private val parts: OwnershipDependencies,
    private val policy: PlacementPolicy,
    private val input: () -> PlacementInput,
    private val handOver: (ControlRecord.PrimaryAssigned) -> Unit,
) {
    private val wake = Channel<Unit>(Channel.CONFLATED)

    /** Makes the loop decide again at once. */
    fun wake() {
        wake.trySend(Unit)
    }

    /** Runs until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        launch { parts.timer.every(DECISION_PERIOD_MS).collect { wake() } }
        launch { parts.membership.state().collect { wake() } }
        while (true) {
            wake.receive()
            if (mayPlan()) carryOut(decide())
            parts.timer.sleep(DECISION_PAUSE_MS)
        }
    }

    /** A target of this router may be given away only after its requests have ended, which this loop does not wait for. */
    private suspend fun carryOut(records: List<ControlRecord>) {
        val self = parts.membership.routerId
        val (handovers, others) = records.partition {
            it is ControlRecord.PrimaryAssigned &&
                parts.table.primaries[it.target]?.router == self
        }
        handovers.filterIsInstance<ControlRecord.PrimaryAssigned>().forEach(handOver)
        append(others)
    }

    /** A fault of the policy must not stop the grants, which run beside this loop. */
    private fun decide(): List<ControlRecord> =
        try {
            val known = input()
            policy.decide(known) + policy.handovers(known)
        } catch (failure: RuntimeException) {
            Logger.error(failure, "the placement policy failed")
            emptyList()
        }

    private fun mayPlan(): Boolean {
        val self = parts.table.routers[parts.membership.routerId]
        return self?.stage == RouterStage.LIVE && parts.membership.leaseValidUntilMs() > parts.timer.nowMs()
    }

    private suspend fun append(records: List<ControlRecord>) {
        if (records.isEmpty()) return
        when (val result = parts.membership.append(batchOf(records.take(RECORDS_PER_DECISION)))) {
            is AppendResult.Appended -> awaitRead(result.offset)
            else -> parts.timer.sleep(FAILED_PAUSE_MS)
        }
    }

    /** Deciding again before these records were read would only repeat them. */
    private suspend fun awaitRead(offset: Long) {
        withTimeoutOrNull(READ_TIMEOUT_MS) { parts.membership.state().first { it.table.position >= offset } }
    }

    private companion object {
        const val DECISION_PERIOD_MS = 250L

        /** Bounds the decisions while many records arrive; each goes over all targets and ranges. */
        const val DECISION_PAUSE_MS = 25L
        const val READ_TIMEOUT_MS = 1_000L
        const val FAILED_PAUSE_MS = 200L

        /** Keeps the batch of one decision within a few tens of kilobytes; the rest follows in the next decision. */
        const val RECORDS_PER_DECISION = 128
    }
}
