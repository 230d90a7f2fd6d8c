package yuccaflow.router.membership

import yuccaflow.control.ControlRecord
import yuccaflow.control.RouterId
import yuccaflow.external.AppendResult
import yuccaflow.router.StateSource
import yuccaflow.router.peer.PeerMessage

/** A router's membership of the system: follows the log, registers the router, renews its lease, and serves as a witness of others. */
interface Membership : StateSource {
    /** Id under which this router is or will be registered. It changes when other routers have ended the lease. */
    val routerId: RouterId

    /**
     * Local monotonic time until which the lease of this router is valid; in the past if it holds none. Cheap enough to call before each
     * send.
     */
    fun leaseValidUntilMs(): Long

    /** Local monotonic time at which this router read that the lease of [router] has ended, or null if it has not read that. */
    fun endedAtMs(router: RouterId): Long?

    /** Appends [record] to `control`, through a peer if the log service cannot be reached directly. */
    suspend fun append(record: ControlRecord): AppendResult

    /** Answers heartbeats, log reads and appends, and snapshot queries; returns null for other messages. */
    suspend fun handle(from: RouterId, message: PeerMessage): PeerMessage?

    /** Runs until cancelled. */
    suspend fun run()

    /** Records that this router is leaving. Returns once the record has been read back, or after [timeoutMs]. */
    suspend fun announceLeaving(timeoutMs: Long)

    /** Relinquishes the lease and records that this router has stopped. Nothing may be sent to targets afterwards. */
    suspend fun stop(timeoutMs: Long)
}
