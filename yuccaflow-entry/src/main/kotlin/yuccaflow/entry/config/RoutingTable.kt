package yuccaflow.entry.config

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap

/** Whether a request may run more than once. */
enum class RequestKind { IDEMPOTENT, NON_IDEMPOTENT }

/** One of the services that a route sends requests to, with its share of them. */
data class ServiceShare(
    val service: String,
    val weight: Double,
)

/**
 * A rule that sends requests to services.
 *
 * @property host the host name that callers ask for, in lower case.
 * @property pathPrefix begins and ends with a slash.
 * @property timeoutMs the longest time that a caller is kept waiting.
 * @property objectiveMs the time within which a response counts in full.
 * @property attempts the most targets to which one request may be sent.
 * @property priority 0 is the most urgent.
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
 * What holds for all targets of a service.
 *
 * @property connectionLimit connections that one target accepts from all routers together.
 * @property coldStartMs how long a target is cold after its start.
 * @property coldPerS requests a second that a cold target bears.
 * @property isKeyed whether the targets own key ranges.
 */
data class ServiceConfig(
    val name: String,
    val healthPath: String,
    val connectionLimit: Int,
    val coldStartMs: Long,
    val coldPerS: Double,
    val isKeyed: Boolean,
)

/** What callers may send, and how long they may take. */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val requestTimeoutMs: Long,
    val idleTimeoutMs: Long,
)

/** One version of what the operators want: all routes, services and limits. */
class RoutingTable(
    val version: Long,
    val routes: ImmutableList<Route>,
    val services: ImmutableMap<String, ServiceConfig>,
    val callerLimits: CallerLimits,
) {
    private val routesByHost: Map<String, List<Route>> =
        routes.groupBy { it.host }.mapValues { (_, ofHost) -> ofHost.sortedByDescending { it.pathPrefix.length } }

    /** Returns the route with the longest prefix that begins [path], or null. [host] may carry a port. */
    fun match(host: String, path: String): Route? {
        val name = host.substringBefore(':').lowercase()
        return routesByHost[name]?.firstOrNull { path.startsWith(it.pathPrefix) }
    }
}
