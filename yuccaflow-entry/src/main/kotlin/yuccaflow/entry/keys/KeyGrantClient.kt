package yuccaflow.entry.keys

import yuccaflow.http.SocketAddress

/** The keys [from]..[to], both inclusive, with [generation] as the fencing token of their ownership. */
data class FencedKeyRange(
    val from: Int,
    val to: Int,
    val generation: Long,
)

/** Where to call the target with the id [target] in [zone]. A different target may have taken over the address. */
data class TargetEndpoint(
    val target: String,
    val address: SocketAddress,
    val zone: String,
)

/** Result of a grant or release call to a target. */
sealed interface KeyGrantResult {
    /**
     * The target executed the call. [handover] is the state of the keys that a release returned, to be passed on to the next holder.
     * [isLeaving] tells whether the target said that it leaves.
     */
    data class Done(
        val handover: String?,
        val isLeaving: Boolean = false,
    ) : KeyGrantResult

    /** The target has seen a higher generation for one of the keys. */
    data object Fenced : KeyGrantResult

    /** The target rejected the call with HTTP [status] for any other reason. */
    data class Refused(
        val status: Int,
    ) : KeyGrantResult

    /** The target with the id [target] answered at the address, so the process that was called has ended. */
    data class OtherTarget(
        val target: String?,
    ) : KeyGrantResult

    /**
     * The connection was refused. The target's process may still be running: a target that leaves closes its port before it has ended, and
     * a network partition can reset connections.
     */
    data class ConnectionRefused(
        val reason: String,
    ) : KeyGrantResult

    /** Nothing was sent, so the target cannot have executed the call. */
    data class NotSent(
        val reason: String,
    ) : KeyGrantResult

    /** No answer arrived in time. The target may have executed the call, or may still do so seconds later. */
    data class NoAnswer(
        val reason: String,
    ) : KeyGrantResult
}

/** Releases keys through another router in the zone of the target. */
internal fun interface SameZoneRelease {
    /**
     * Asks a router in the zone of [target] to release [range] there. Returns [KeyGrantResult.Done], [KeyGrantResult.OtherTarget], or null
     * if no router could release the keys.
     */
    suspend fun release(target: TargetEndpoint, range: FencedKeyRange): KeyGrantResult?
}

/**
 * Client for the calls by which the planner grants key ranges to targets and releases them.
 *
 * A call that is not answered within its timeout is abandoned and no longer reaches the target. If it reached the target before that, the
 * target may still execute it seconds later.
 */
interface KeyGrantClient {
    /**
     * Grants [range] to [target], or renews the grant, for [grantDurationMs] from when the call arrives there. Once a connection is open,
     * [maySend] is checked again, and the call is sent only if it returns true.
     *
     * @param handover what the previous holder returned on release, or null.
     */
    suspend fun grant(
        target: TargetEndpoint,
        range: FencedKeyRange,
        grantDurationMs: Long,
        handover: String?,
        timeoutMs: Long,
        maySend: () -> Boolean,
    ): KeyGrantResult

    /** Stops [target] from starting new work on [range]. The target answers when its running work on these keys has ended. */
    suspend fun release(target: TargetEndpoint, range: FencedKeyRange, timeoutMs: Long): KeyGrantResult
}
