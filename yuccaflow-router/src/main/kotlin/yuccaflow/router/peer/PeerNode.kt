package yuccaflow.router.peer

import yuccaflow.http.SocketAddress

/** This router's end of all connections to and from other routers. */
interface PeerNode : PeerLink {
    /** Address that the node listens on, with the real port. */
    val address: SocketAddress

    /** Accepts and serves connections until cancelled. */
    suspend fun run()
}
