package yuccaflow.bench

import yuccaflow.http.SocketAddress

/** Name, zone and addresses of a router. */
internal data class RouterPlan(
    val name: String,
    val zone: String,
    val caller: SocketAddress,
    val admin: SocketAddress,
    val peer: SocketAddress,
    /** Relay address that callers use to reach [caller]. */
    val entry: SocketAddress,
)

/** Renders the settings file of [router]. [translation] maps the peer address of another router to the relay address that reaches it. */
internal fun settingsText(
    system: String,
    router: RouterPlan,
    logService: SocketAddress,
    hostList: SocketAddress,
    seeds: List<SocketAddress>,
    translation: Map<SocketAddress, SocketAddress>,
    extra: String,
): String = buildString {
    appendLine("[router]")
    appendLine("system = $system")
    appendLine("host = ${router.name}")
    appendLine("zone = ${router.zone}")
    appendLine("caller_listen = ${router.caller}")
    appendLine("admin_listen = ${router.admin}")
    appendLine("peer_listen = ${router.peer}")
    appendLine("[platform]")
    appendLine("log_service = $logService")
    appendLine("host_list = $hostList")
    appendLine("[peers]")
    appendLine("seeds = ${seeds.joinToString(", ")}")
    if (translation.isNotEmpty()) appendLine("[address-translation]")
    translation.forEach { (advertised, reachable) -> appendLine("$advertised = $reachable") }
    append(extra)
}
