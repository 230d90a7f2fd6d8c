package yuccaflow.router.settings

import yuccaflow.http.SocketAddress

/** The validated settings of a router. */
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
    /** Peers that are asked for a snapshot when the log service cannot be reached at startup. */
    val seedPeers: List<SocketAddress>,
    /** Maps advertised peer addresses to those under which this host reaches them, for example across network address translation. */
    val addressTranslation: Map<SocketAddress, SocketAddress>,
    /** Limit of the concurrent requests over all services. Requests above it are refused. */
    val capacityRequests: Int,
    val logLevel: String,
    val timing: TimingSettings,
)

/** Times of the membership, ownership and shutdown rules. */
data class TimingSettings(
    val heartbeatMs: Long = 250,
    val leaseMs: Long = 1_200,
    val driftMarginMs: Long = 60,
    val suspectAfterMs: Long = 600,
    val grantRenewMs: Long = 300,
    val retentionMs: Long = 3_600_000,
    val stopDrainMs: Long = 10_000,
)
