package yuccaflow.entry.routing

import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.base.TimerService
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.config.Route
import yuccaflow.entry.config.RoutingTable
import yuccaflow.entry.store.StreamFreshness
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events

/** Result of looking for the route of a request. */
internal sealed interface RouteLookup {
    /** [table] sends the request on [route]. */
    class Found(
        val table: RoutingTable,
        val route: Route,
    ) : RouteLookup

    /** No route of a table that is recent enough matches the request. */
    data object NoRoute : RouteLookup

    /** The request cannot be routed now because of [reason], but perhaps soon. */
    class Unknown(
        val reason: String,
    ) : RouteLookup
}

/**
 * Finds the route of a request.
 *
 * If the routing table or the targets' entries may be out of date, the request waits a moment for a recent view: on an event loop that is
 * late, new records wait behind requests. If there is none, a known route is used, because in an outage of the store nobody has a more
 * recent view, but an unknown one is not reported as missing. A view that is known to be outdated is not used at all.
 *
 * @property tableFreshness tells how recent the routing table is.
 * @property targetsFreshness tells how recent the targets' entries are, on which the choice of a target for the request relies.
 */
internal class RouteFinder(
    private val operators: OperatorState,
    private val tableFreshness: StreamFreshness,
    private val targetsFreshness: StreamFreshness,
    private val timer: TimerService,
    private val events: EventLog,
) {
    /** Returns the route for request [requestId]. Suspends up to [MAX_WAIT_MS] if what the router has read may be out of date. */
    suspend fun find(requestId: String, host: String, path: String): RouteLookup {
        awaitFresh()
        val table = operators.table ?: return RouteLookup.Unknown("no routing table is known yet")
        reasonToRefuse(table, host, path)?.let { return unrouted(requestId, table, it) }
        table.match(host, path)?.let { return RouteLookup.Found(table, it) }
        if (tableFreshness.isFresh(MAX_VIEW_AGE_MS)) return RouteLookup.NoRoute
        return unrouted(requestId, table, "the routing table may be out of date")
    }

    private fun reasonToRefuse(table: RoutingTable, host: String, path: String): String? = when {
        tableFreshness.isOutdated(MAX_VIEW_AGE_MS) -> "the routing table is out of date"
        targetsFreshness.isOutdated(MAX_VIEW_AGE_MS) -> "the targets' entries are out of date"
        else -> table.matchRejected(host, path)?.let { "the route ${it.name} is invalid" }
    }

    private fun unrouted(requestId: String, table: RoutingTable, reason: String): RouteLookup {
        events.log(Events.REQUEST_UNROUTED) {
            put("request", requestId)
            put("config_version", table.version)
            put("table_age_ms", tableFreshness.freshAtMs?.let { timer.nowMs() - it })
            put("targets_age_ms", targetsFreshness.freshAtMs?.let { timer.nowMs() - it })
            put("reason", reason)
        }
        return RouteLookup.Unknown(reason)
    }

    private suspend fun awaitFresh() {
        if (tableFreshness.isFresh(MAX_VIEW_AGE_MS) && targetsFreshness.isFresh(MAX_VIEW_AGE_MS)) return
        withTimeoutOrNull(MAX_WAIT_MS) {
            tableFreshness.awaitFresh(MAX_VIEW_AGE_MS, MAX_WAIT_MS)
            targetsFreshness.awaitFresh(MAX_VIEW_AGE_MS, MAX_WAIT_MS)
        }
    }

    private companion object {
        /** Time in which a routing table, and the leaving of a target, must be in force. Followers read earlier, at their own age limit. */
        const val MAX_VIEW_AGE_MS = 2_000L

        /** Longer than a usual read of the store, and short compared with callers' time limits. Ends before a read is hedged. */
        const val MAX_WAIT_MS = 200L
    }
}
