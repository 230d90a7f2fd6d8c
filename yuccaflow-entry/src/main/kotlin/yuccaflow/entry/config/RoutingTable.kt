package yuccaflow.entry.config

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf

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
 * @property isLargeTransfer whether requests or responses have large bodies.
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
    val isLargeTransfer: Boolean = false,
)

/** An entry of a routing table that could not be decoded because of [reason]. The rest of the table is in force without it. */
sealed interface RejectedEntry {
    val name: String
    val reason: String

    /**
     * A route. Its requests are refused: an older version of the route, or a route with a shorter prefix, may be wrong for them.
     *
     * @property host host name in lower case, or null if it could not be decoded.
     * @property pathPrefix the prefix, or null if it could not be decoded.
     */
    data class OfRoute(
        override val name: String,
        val host: String?,
        val pathPrefix: String?,
        override val reason: String,
    ) : RejectedEntry {
        internal fun mayMatch(hostName: String, path: String): Boolean =
            (host == null || host == hostName) && (pathPrefix == null || path.startsWith(pathPrefix))
    }

    /** A service. Requests of routes to it are refused. */
    data class OfService(
        override val name: String,
        override val reason: String,
    ) : RejectedEntry
}

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

/**
 * One version of the operators' configuration: all routes, services and limits.
 *
 * @property rejected the entries that are left out because they could not be decoded.
 */
class RoutingTable(
    val version: Long,
    val routes: ImmutableList<Route>,
    val services: ImmutableMap<String, ServiceConfig>,
    val callerLimits: CallerLimits,
    val rejected: ImmutableList<RejectedEntry> = persistentListOf(),
) {
    private val routesByHost: Map<String, List<Route>> =
        routes.groupBy { it.host }.mapValues { (_, hostRoutes) -> hostRoutes.sortedByDescending { it.pathPrefix.length } }
    private val rejectedRoutes = rejected.filterIsInstance<RejectedEntry.OfRoute>()

    /** Whether load control is in force. Large transfers take slots and links for long, so that short requests compete for the rest. */
    val hasLoadControl: Boolean = routes.any { it.isLargeTransfer }

    /** Returns the route of [host], which may include a port, with the longest prefix of [path], or null if there is none. */
    fun match(host: String, path: String): Route? = routesByHost[nameOf(host)]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /**
     * Returns the rejected route whose requests may include [path] on [host], or null if there is none. A rejected route whose host or
     * prefix is unknown concerns only requests without another route.
     */
    fun matchRejected(host: String, path: String): RejectedEntry.OfRoute? {
        if (rejectedRoutes.isEmpty()) return null
        val name = nameOf(host)
        val matchedLength = match(host, path)?.pathPrefix?.length ?: NO_MATCH
        return rejectedRoutes.firstOrNull { it.mayMatch(name, path) && it.knownLength() > matchedLength }
    }

    private fun RejectedEntry.OfRoute.knownLength(): Int = if (host == null || this.pathPrefix == null) 0 else this.pathPrefix.length

    private fun nameOf(host: String) = host.substringBefore(':').lowercase()

    private companion object {
        const val NO_MATCH = -1
    }
}
