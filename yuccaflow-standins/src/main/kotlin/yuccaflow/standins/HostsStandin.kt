package yuccaflow.standins

import kotlinx.coroutines.awaitCancellation
import kotlinx.serialization.Serializable
import yuccaflow.http.HttpHandler
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse

/** Faults and contents of the host list. */
@Serializable
internal data class HostsSwitches(
    val down: Boolean = false,
    /** Time after which a change becomes visible. */
    val lagMs: Long = 0,
    /** Hosts that leave; all others are live. */
    val leaving: Set<String> = emptySet(),
)

@Serializable
internal data class HostBody(
    val host: String,
    val zone: String,
    val state: String,
)

/** The platform's host list. [zoneOfHost] names the hosts; a change of the switches shows after the lag. */
internal class HostsStandin(
    private val zoneOfHost: Map<String, String>,
    lagMs: Long = 0,
    private val nowMs: () -> Long = { System.nanoTime() / NANOS_PER_MS },
) : HttpHandler {
    val switches = Switches(HostsSwitches(lagMs = lagMs), HostsSwitches.serializer())
    private val history = ArrayDeque<Pair<Long, Set<String>>>()

    override suspend fun handle(request: HttpRequest): HttpResponse {
        if (request.path == "/switches") {
            return switches.handle(request).also { synchronized(history) { history.addLast(nowMs() to switches.now.leaving) } }
        }
        if (request.path != "/hosts") return notFound()
        if (switches.now.down) awaitCancellation()
        val leaving = visibleLeaving()
        return jsonResponse(
            OK,
            mapOf("hosts" to zoneOfHost.map { (host, zone) -> HostBody(host, zone, if (host in leaving) "leaving" else "live") }),
        )
    }

    private fun visibleLeaving(): Set<String> = synchronized(history) {
        history.lastOrNull { it.first + switches.now.lagMs <= nowMs() }?.second.orEmpty()
    }
}
