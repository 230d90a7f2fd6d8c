package yuccaflow.router.settings

import yuccaflow.http.SocketAddress

/** Everything that a router reads from its settings file. */
data class RouterSettings(
    val system: String,
    val host: String,
    val zone: String,
    /** Address that callers connect to. */
    val callerListen: SocketAddress,
    /** Address of the admin server. */
    val adminListen: SocketAddress,
    /** Address that other routers connect to. */
    val peerListen: SocketAddress,
    /** Address under which other routers reach [peerListen]. */
    val peerAdvertise: SocketAddress,
    val logService: SocketAddress,
    val hostList: SocketAddress?,
    /** Peers to ask for a snapshot when the log service cannot be reached at the start. */
    val seedPeers: List<SocketAddress>,
    /** Advertised peer addresses that this host has to reach under another address, for example behind address translation. */
    val addressTranslation: Map<SocketAddress, SocketAddress>,
    /** Requests that this host carries at once, over all services. */
    val capacityRequests: Int,
    val logLevel: String,
    val timing: TimingSettings,
)

/** Times that the membership and ownership rules use. */
data class TimingSettings(
    val heartbeatMs: Long = 250,
    val leaseMs: Long = 1_200,
    val driftMarginMs: Long = 60,
    val suspectAfterMs: Long = 600,
    val grantRenewMs: Long = 300,
    val retentionMs: Long = 3_600_000,
    val stopDrainMs: Long = 10_000,
)
