package yuccaflow.entry.routing

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
 * If the routing table may be out of date, the request waits a moment for the news; on an event loop that is
 * late, news and requests would otherwise be handled in the order in which their turns come. Where the news do not arrive, a route that is
 * known is used, but that a route does not exist is not claimed.
 *
 * @property freshness tells how recent the routing table is.
 */
internal class RouteFinder(
    private val operators: OperatorState,
    private val freshness: StreamFreshness,
    private val timer: TimerService,
    private val events: EventLog,
) {
    /** Returns the route for request [requestId]. Suspends up to [MAX_WAIT_MS] if the routing table may be out of date. */
    suspend fun find(requestId: String, host: String, path: String): RouteLookup {
        freshness.awaitFresh(MAX_TABLE_AGE_MS, MAX_WAIT_MS)
        val table = operators.table ?: return RouteLookup.Unknown("no routing table is known yet")
        table.match(host, path)?.let { return RouteLookup.Found(table, it) }
        if (freshness.isFresh(MAX_TABLE_AGE_MS)) return RouteLookup.NoRoute
        events.log(Events.REQUEST_UNROUTED) {
            put("request", requestId)
            put("config_version", table.version)
            put("table_age_ms", freshness.freshAtMs?.let { timer.nowMs() - it })
        }
        return RouteLookup.Unknown("the routing table may be out of date")
    }

    private companion object {
        /** A routing table must be in force two seconds after the operators have published it. */
        const val MAX_TABLE_AGE_MS = 2_000L

        /** Longer than a read of the store takes, and short compared with callers' time limits. */
        const val MAX_WAIT_MS = 200L
    }
}
