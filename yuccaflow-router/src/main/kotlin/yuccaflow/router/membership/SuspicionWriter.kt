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
 * Appends what the [FailureDetector] decides: suspicions, their readings, their cancellations and the ends of leases.
 *
 * The tracker decides again from the table at each turn, so a record whose append was lost is repeated exactly as long as it is needed.
 * A second copy is void, or, for a suspicion, asks the suspected router for one more cancellation.
 */
internal class SuspicionWriter(
    private val parts: MembershipContext,
    private val timing: LeaseTiming,
) {
    private val lock = Any()
    private var tracked: Pair<RouterId, FailureDetector>? = null

    /** Takes in a heartbeat of [router]. */
    fun heardFrom(router: RouterId) = synchronized(lock) { tracker().heartbeatReceived(router, parts.timer.nowMs()) }

    /** Runs until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        merge(parts.timer.every(TURN_PERIOD_MS), parts.replica.state.map { }).collect { turn(this) }
    }

    private fun turn(scope: CoroutineScope) {
        val records = synchronized(lock) {
            val nowMs = parts.timer.nowMs()
            val table = parts.table
            tracker().tableUpdated(nowMs, table)
            tracker().recordsToAppend(nowMs, table)
        }
        if (records.isEmpty()) return
        Logger.debug("appending {}", records)
        scope.launch { parts.append(batchOf(records)) }
    }

    /** The tracker of the present id; a new id has heard nothing and suspects nobody yet. */
    private fun tracker(): FailureDetector {
        val id = parts.routerId
        return tracked?.takeIf { it.first == id }?.second ?: FailureDetector(id, timing).also { tracked = id to it }
    }

    private companion object {
        /** Short against the 600 ms of silence before a suspicion. */
        const val TURN_PERIOD_MS = 50L
    }
}
