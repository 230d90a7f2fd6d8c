package yuccaflow.router.ownership

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import yuccaflow.control.RouterId
import yuccaflow.control.ServiceName
import yuccaflow.control.TargetId
import yuccaflow.control.TargetLoad
import yuccaflow.http.SocketAddress
import yuccaflow.router.peer.PeerClient
import yuccaflow.router.peer.PeerMessage
import yuccaflow.router.peer.PeerResult
import java.util.concurrent.ConcurrentHashMap

/** Polls other primaries for the load of their targets, for the services whose placement this router plans or may take over. */
internal class LoadCollector(
    private val deps: OwnershipDependencies,
    private val peers: PeerClient,
    private val ownLoads: () -> List<TargetLoad>,
    private val collectsLoadsOf: (ServiceName) -> Boolean,
) {
    private data class ReceivedReport(
        val load: TargetLoad,
        val reporter: RouterId,
        val receivedAtMs: Long,
        val unreachableSinceMs: Long?,
    )

    private val reports = ConcurrentHashMap<TargetId, ReceivedReport>()

    /** Returns the latest load of each target whose current primary has reported it within [MAX_REPORT_AGE_MS]. */
    fun loads(): Map<TargetId, TargetLoad> = freshReports().mapValues { it.value.load } + ownLoads().associateBy { it.target }

    /** Returns the targets that their primary reports as unreachable, with the local time of the first such report. */
    fun unreachableSinceMs(): Map<TargetId, Long> =
        freshReports().mapNotNull { (target, received) -> received.unreachableSinceMs?.let { target to it } }.toMap()

    /** Polls until cancelled. */
    suspend fun run() {
        while (true) {
            val primaries = primariesToQuery()
            coroutineScope { primaries.map { async { queryLoads(it) } }.awaitAll() }
            deps.timer.sleep(QUERY_PERIOD_MS)
        }
    }

    private fun primariesToQuery(): Set<RouterId> {
        val state = deps.membership.state().value
        val planned = state.config.services.keys
            .filter(collectsLoadsOf)
            .toSet()
        return state.config.targets.values
            .filter { it.service in planned }
            .mapNotNull { state.table.primaries[it.id]?.router }
            .filter { it != deps.membership.routerId && state.table.isLive(it) }
            .toSet()
    }

    private suspend fun queryLoads(router: RouterId) {
        val advertised = deps.table.routers[router]?.peerAddress ?: return
        val address = SocketAddress.parseOrNull(advertised) ?: return
        val result = peers.call(address, PeerMessage.LoadQuery, QUERY_TIMEOUT_MS)
        val report = (result as? PeerResult.Answered)?.message as? PeerMessage.LoadReport ?: return
        val nowMs = deps.timer.nowMs()
        report.loads.forEach { load ->
            val sinceMs = reports[load.target]?.takeIf { it.reporter == router }?.unreachableSinceMs
            reports[load.target] = ReceivedReport(load, router, nowMs, if (load.isReachable) null else sinceMs ?: nowMs)
        }
    }

    private fun freshReports(): Map<TargetId, ReceivedReport> {
        val primaries = deps.table.primaries
        val oldestMs = deps.timer.nowMs() - MAX_REPORT_AGE_MS
        return reports.filter { (target, received) -> received.receivedAtMs >= oldestMs && primaries[target]?.router == received.reporter }
    }

    private companion object {
        const val QUERY_PERIOD_MS = 1_000L
        const val QUERY_TIMEOUT_MS = 500L

        /** A report stays in use until two later queries have failed. */
        const val MAX_REPORT_AGE_MS = 3_000L
    }
}
