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
 * Runs the placement policy and appends the control records that it returns.
 *
 * A lost append is not retried here: the next run decides again from the current table, and a second copy of a record has no effect.
 */
internal class PlannerLoop(
    private val deps: OwnershipDependencies,
    private val policy: PlacementPolicy,
    private val input: () -> PlacementInput,
    private val handOver: (ControlRecord.PrimaryAssigned) -> Unit,
) {
    private val wake = Channel<Unit>(Channel.CONFLATED)

    /** Makes the loop run the policy again without waiting for the next period. */
    fun wake() {
        wake.trySend(Unit)
    }

    /** Runs until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        launch { deps.timer.every(DECISION_PERIOD_MS).collect { wake() } }
        launch { deps.membership.state().collect { wake() } }
        while (true) {
            wake.receive()
            if (mayPlan()) execute(decide())
            deps.timer.sleep(DECISION_PAUSE_MS)
        }
    }

    /**
     * Starts the handover of this router's own targets and appends the other records. A handover must wait until the requests of the
     * target have ended, so it runs outside of this loop.
     */
    private suspend fun execute(records: List<ControlRecord>) {
        val self = deps.membership.routerId
        val (handovers, others) = records.partition {
            it is ControlRecord.PrimaryAssigned &&
                deps.table.primaries[it.target]?.router == self
        }
        handovers.filterIsInstance<ControlRecord.PrimaryAssigned>().forEach(handOver)
        append(others)
    }

    /** Runs the policy. An exception in it is only logged, so that it does not stop the grant renewal that runs next to this loop. */
    private fun decide(): List<ControlRecord> =
        try {
            val current = input()
            policy.decide(current) + policy.handovers(current)
        } catch (failure: RuntimeException) {
            Logger.error(failure, "placement policy failed; retrying with the next decision")
            emptyList()
        }

    private fun mayPlan(): Boolean {
        val self = deps.table.routers[deps.membership.routerId]
        return self?.stage == RouterStage.LIVE && deps.membership.leaseValidUntilMs() > deps.timer.nowMs()
    }

    private suspend fun append(records: List<ControlRecord>) {
        if (records.isEmpty()) return
        when (val result = deps.membership.append(batchOf(records.take(RECORDS_PER_DECISION)))) {
            is AppendResult.Appended -> awaitRead(result.offset)
            else -> deps.timer.sleep(APPEND_RETRY_DELAY_MS)
        }
    }

    /** Waits until the appended records are in the table; a decision before that would only repeat them. */
    private suspend fun awaitRead(offset: Long) {
        withTimeoutOrNull(READ_TIMEOUT_MS) { deps.membership.state().first { it.table.position >= offset } }
    }

    private companion object {
        const val DECISION_PERIOD_MS = 250L

        /** Limits the decision rate while many records arrive, since each decision iterates over all targets and ranges. */
        const val DECISION_PAUSE_MS = 25L
        const val READ_TIMEOUT_MS = 1_000L
        const val APPEND_RETRY_DELAY_MS = 200L

        /** Keeps one batch within a few tens of kilobytes. The remaining records follow with the next decision. */
        const val RECORDS_PER_DECISION = 128
    }
}
