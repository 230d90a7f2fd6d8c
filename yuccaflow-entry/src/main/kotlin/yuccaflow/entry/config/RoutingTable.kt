package yuccaflow.entry.config

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap

/** Whether the requests of a route may safely run more than once. */
enum class RequestKind { IDEMPOTENT, NON_IDEMPOTENT }

/** One of the services of a route. Its share of the requests is [weight] relative to the sum of all weights of the route. */
data class ServiceShare(
    val service: String,
    val weight: Double,
)

/**
 * Sends the requests with a host name and a path prefix to one or more services.
 *
 * @property host host name in the requests, in lower case.
 * @property pathPrefix begins and ends with a slash.
 * @property timeoutMs longest time until a caller gets a response.
 * @property objectiveMs latency objective. Only responses within this time count in full.
 * @property attempts maximum number of targets that may run the same request.
 * @property priority 0 is the highest.
 */
data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RequestKind,
    val timeoutMs: Long,
    val objectiveMs: Long,
    val attempts: Int,
    val priority: Int,
    val shares: ImmutableList<ServiceShare>,
)

/**
 * Configuration of a service, which applies to all of its targets.
 *
 * @property connectionLimit connections that one target accepts from all routers together.
 * @property coldStartMs how long a target is cold after its start.
 * @property coldPerS requests per second that a cold target can handle.
 * @property isKeyed whether the service is sharded by key, that is, its targets own key ranges.
 */
data class ServiceConfig(
    val name: String,
    val healthPath: String,
    val connectionLimit: Int,
    val coldStartMs: Long,
    val coldPerS: Double,
    val isKeyed: Boolean,
)

/** Size and time limits of callers' requests and connections. */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val requestTimeoutMs: Long,
    val idleTimeoutMs: Long,
)

/** One version of the operators' configuration: all routes, services and limits. */
class RoutingTable(
    val version: Long,
    val routes: ImmutableList<Route>,
    val services: ImmutableMap<String, ServiceConfig>,
    val callerLimits: CallerLimits,
) {
    private val routesByHost: Map<String, List<Route>> =
        routes.groupBy { it.host }.mapValues { (_, hostRoutes) -> hostRoutes.sortedByDescending { it.pathPrefix.length } }

    /** Returns the route of [host], which may include a port, with the longest prefix of [path], or null if there is none. */
    fun match(host: String, path: String): Route? {
        val name = host.substringBefore(':').lowercase()
        return routesByHost[name]?.firstOrNull { path.startsWith(it.pathPrefix) }
    }
}
