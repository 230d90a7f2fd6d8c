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

/** Asks the primaries for the loads of their targets, for the services that this router may have to plan. */
internal class LoadCollector(
    private val parts: OwnershipParts,
    private val peers: PeerClient,
    private val ownLoads: () -> List<TargetLoad>,
    private val isPlanner: (ServiceName) -> Boolean,
) {
    private data class Reported(
        val load: TargetLoad,
        val by: RouterId,
        val atMs: Long,
        val unreachableSinceMs: Long?,
    )

    private val reports = ConcurrentHashMap<TargetId, Reported>()

    /** The latest load of each target, as far as its present primary reported it recently. */
    fun loads(): Map<TargetId, TargetLoad> = fresh().mapValues { it.value.load } + ownLoads().associateBy { it.target }

    /** Targets that another router reported unreachable, with the time of the first such report. */
    fun unreachableSinceMs(): Map<TargetId, Long> =
        fresh().mapNotNull { (target, reported) -> reported.unreachableSinceMs?.let { target to it } }.toMap()

    /** Asks until cancelled. */
    suspend fun run() {
        while (true) {
            val asked = primariesToAsk()
            coroutineScope { asked.map { async { ask(it) } }.awaitAll() }
            parts.timer.sleep(QUERY_PERIOD_MS)
        }
    }

    private fun primariesToAsk(): Set<RouterId> {
        val state = parts.membership.state().value
        val planned = state.config.services.keys
            .filter(isPlanner)
            .toSet()
        return state.config.targets.values
            .filter { it.service in planned }
            .mapNotNull { state.table.primaries[it.id]?.router }
            .filter { it != parts.membership.routerId && state.table.isLive(it) }
            .toSet()
    }

    private suspend fun ask(router: RouterId) {
        val advertised = parts.table.routers[router]?.peerAddress ?: return
        val address = SocketAddress.parseOrNull(advertised) ?: return
        val result = peers.call(address, PeerMessage.LoadQuery, QUERY_TIMEOUT_MS)
        val report = (result as? PeerResult.Answered)?.message as? PeerMessage.LoadReport ?: return
        val nowMs = parts.timer.nowMs()
        report.loads.forEach { load ->
            val since = reports[load.target]?.takeIf { it.by == router }?.unreachableSinceMs
            reports[load.target] = Reported(load, router, nowMs, if (load.reachable) null else since ?: nowMs)
        }
    }

    private fun fresh(): Map<TargetId, Reported> {
        val primaries = parts.table.primaries
        val oldestMs = parts.timer.nowMs() - FRESH_MS
        return reports.filter { (target, reported) -> reported.atMs >= oldestMs && primaries[target]?.router == reported.by }
    }

    private companion object {
        const val QUERY_PERIOD_MS = 1_000L
        const val QUERY_TIMEOUT_MS = 500L

        /** A report is used until two later queries have failed. */
        const val FRESH_MS = 3_000L
    }
}
