package yuccaflow.router.membership

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.flow.merge
import kotlinx.coroutines.launch
import org.tinylog.Logger
import yuccaflow.control.FailureDetector
import yuccaflow.control.LeaseTiming
import yuccaflow.control.RouterId
import yuccaflow.control.batchOf

/**
 * Appends the records that the [FailureDetector] decides on: suspicions, their acknowledgements and cancellations, and the ends of leases.
 *
 * Each decision is made from the current table, so a record whose append was lost is appended again for exactly as long as it is needed.
 * A second copy has no effect, except that a second suspicion requires one more cancellation by the suspected router.
 */
internal class SuspicionWriter(
    private val context: MembershipContext,
    private val timing: LeaseTiming,
) {
    private val lock = Any()
    private var current: Pair<RouterId, FailureDetector>? = null

    /** Records a heartbeat of [router]. */
    fun heartbeatReceived(router: RouterId) = synchronized(lock) { failureDetector().heartbeatReceived(router, context.timer.nowMs()) }

    /** Runs until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        merge(context.timer.every(DECISION_PERIOD_MS), context.replica.state.map { }).collect { appendDecisions(this) }
    }

    private fun appendDecisions(scope: CoroutineScope) {
        val records = synchronized(lock) {
            val nowMs = context.timer.nowMs()
            val table = context.table
            failureDetector().tableUpdated(nowMs, table)
            failureDetector().recordsToAppend(nowMs, table)
        }
        if (records.isEmpty()) return
        Logger.debug("appending decisions of the failure detector: {}", records)
        scope.launch { context.append(batchOf(records)) }
    }

    /** Returns the failure detector for the current id. Under a new id it has received no heartbeats and suspects no router yet. */
    private fun failureDetector(): FailureDetector {
        val id = context.routerId
        return current?.takeIf { it.first == id }?.second ?: FailureDetector(id, timing).also { current = id to it }
    }

    private companion object {
        /** Short compared with the 600 ms without a heartbeat after which a router is suspected. */
        const val DECISION_PERIOD_MS = 50L
    }
}
