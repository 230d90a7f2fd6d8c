package yuccaflow.entry.routing

import yuccaflow.entry.balance.ChoiceContext
import yuccaflow.entry.balance.TargetState
import yuccaflow.entry.config.RequestKind
import yuccaflow.entry.config.Route
import yuccaflow.entry.config.RoutingTable
import yuccaflow.entry.config.ServiceConfig
import yuccaflow.http.HttpRequest

/**
 * One request of a caller with its routing decision and its attempts.
 *
 * @property startedAtMs the earliest time at which it may have reached this host.
 */
internal class Exchange(
    val id: String,
    val request: HttpRequest,
    val route: Route,
    val serviceConfig: ServiceConfig,
    val key: Int?,
    val table: RoutingTable,
    val startedAtMs: Long,
    val deadlineAtMs: Long,
) {
    val tried = HashSet<TargetState>()

    /** Attempts in which a target ran the request or may have run it. */
    var possibleRuns = 0

    /** Attempts in which the request certainly did not run. */
    var refusals = 0

    val isIdempotent get() = route.kind == RequestKind.IDEMPOTENT

    /** Returns the input of the choice of a target at [nowMs]. */
    fun choiceContext(nowMs: Long) = ChoiceContext(route, serviceConfig, tried, deadlineAtMs - nowMs, id, table.hasLoadControl)
}
