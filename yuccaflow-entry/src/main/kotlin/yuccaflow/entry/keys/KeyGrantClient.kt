package yuccaflow.entry.keys

import yuccaflow.http.SocketAddress

/** Keys [from]..[to], both inclusive, with the generation of their ownership. */
data class FencedKeyRange(
    val from: Int,
    val to: Int,
    val generation: Long,
)

/** Where to send orders to the target with the id [target] in [zone]. Another target may listen there by now. */
data class TargetEndpoint(
    val target: String,
    val address: SocketAddress,
    val zone: String,
)

/** Result of an order to a target about its keys. */
sealed interface KeyGrantResult {
    /** The target carried the order out. [handover] lets the next holder start with what this one knows of the keys. */
    data class Done(
        val handover: String?,
    ) : KeyGrantResult

    /** The target has seen a higher generation on one of the keys. */
    data object Fenced : KeyGrantResult

    /** The target refused the order for another reason. */
    data class Refused(
        val status: Int,
    ) : KeyGrantResult

    /** Another target answers at the address, so the process of the asked one has ended. */
    data class OtherTarget(
        val target: String?,
    ) : KeyGrantResult

    /**
     * The connection was refused. Seen from the target's own zone this means that no process listens there; from another zone it may
     * as well be a partition that resets connections.
     */
    data class ConnectionRefused(
        val reason: String,
    ) : KeyGrantResult

    /** No byte of the order left, so the target cannot carry it out. */
    data class NotSent(
        val reason: String,
    ) : KeyGrantResult

    /** No answer: the order may have been carried out, or may be within seconds. */
    data class NoAnswer(
        val reason: String,
    ) : KeyGrantResult
}

/** Releases keys through a router in the target's own zone. */
internal fun interface SameZoneRelease {
    /** Asks a router in the zone of [target] to release [range] there. Returns null when none answers. */
    suspend fun release(target: TargetEndpoint, range: FencedKeyRange): KeyGrantResult?
}

/**
 * Orders to a target about the keys that it holds.
 *
 * An order that has no answer after its time is given up and does not arrive any more. One that arrived before may be carried out seconds
 * later.
 */
interface KeyGrantClient {
    /**
     * Grants [range] for [grantDurationMs] from the arrival of the order, or renews the grant. The order leaves only if [maySend] still says so when
     * a connection is open.
     */
    suspend fun grant(
        target: TargetEndpoint,
        range: FencedKeyRange,
        grantDurationMs: Long,
        handover: String?,
        timeoutMs: Long,
        maySend: () -> Boolean,
    ): KeyGrantResult

    /** Ends new work on [range]. The answer comes when the running work on these keys has ended. */
    suspend fun release(target: TargetEndpoint, range: FencedKeyRange, timeoutMs: Long): KeyGrantResult
}
