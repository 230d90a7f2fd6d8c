package yuccaflow.standins

import kotlinx.coroutines.awaitCancellation
import kotlinx.serialization.Serializable
import yuccaflow.http.HttpHandler
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse

/** Contents and fault injection switches of the host list. */
@Serializable
internal data class HostsSwitches(
    val down: Boolean = false,
    /** Delay until a change becomes visible. */
    val lagMs: Long = 0,
    /** Hosts in the state `leaving`; all others are `live`. */
    val leaving: Set<String> = emptySet(),
)

@Serializable
internal data class HostEntry(
    val host: String,
    val zone: String,
    val state: String,
)

/** The platform's host list. [zoneOfHost] maps each host to its zone; a change of the switches becomes visible after the lag. */
internal class HostsStandin(
    private val zoneOfHost: Map<String, String>,
    lagMs: Long = 0,
    private val nowMs: () -> Long = { System.nanoTime() / NANOS_PER_MS },
) : HttpHandler {
    val switches = Switches(HostsSwitches(lagMs = lagMs), HostsSwitches.serializer())
    private val leavingHistory = ArrayDeque<Pair<Long, Set<String>>>()

    override suspend fun handle(request: HttpRequest): HttpResponse {
        if (request.path == "/switches") {
            return switches
                .handle(
                    request,
                ).also { synchronized(leavingHistory) { leavingHistory.addLast(nowMs() to switches.current.leaving) } }
        }
        if (request.path != "/hosts") return notFound()
        if (switches.current.down) awaitCancellation()
        val leaving = visibleLeavingHosts()
        return jsonResponse(
            OK,
            mapOf("hosts" to zoneOfHost.map { (host, zone) -> HostEntry(host, zone, if (host in leaving) "leaving" else "live") }),
        )
    }

    private fun visibleLeavingHosts(): Set<String> = synchronized(leavingHistory) {
        leavingHistory.lastOrNull { it.first + switches.current.lagMs <= nowMs() }?.second.orEmpty()
    }
}
