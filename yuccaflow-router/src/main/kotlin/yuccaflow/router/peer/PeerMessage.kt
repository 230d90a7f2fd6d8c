package yuccaflow.router.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import yuccaflow.control.RouterId
import yuccaflow.control.ServiceName
import yuccaflow.control.Snapshot
import yuccaflow.control.TargetId
import yuccaflow.control.TargetLoad

/** Version of the protocol between routers. Connections between different versions are refused. */
const val PEER_PROTOCOL_VERSION: Int = 1

/** Maximum length of a frame between routers, without its length prefix. */
const val PEER_FRAME_LIMIT_BYTES: Int = 2 * 1024 * 1024

/** A message between routers, encoded as CBOR in a frame with a 4-byte length prefix. */
@Serializable
sealed interface PeerMessage {
    /**
     * Handshake: the first message on each connection, in both directions. [system] is the name of the installation, from the settings.
     * A peer refuses another protocol [version] or [system].
     */
    @Serializable
    @SerialName("hello")
    data class Hello(
        val version: Int,
        val system: String,
        val router: RouterId,
    ) : PeerMessage

    /** Answer to a [Hello] that is refused; the connection is closed after it. */
    @Serializable
    @SerialName("hello-refused")
    data class HelloRefused(
        val reason: String,
    ) : PeerMessage

    /**
     * Asks a witness to confirm the sender's lease. Each router has a few witnesses, other routers that are recorded in the control table,
     * and sends a heartbeat to all of them. [controlPosition] is the offset up to which the sender has read the `control` stream.
     */
    @Serializable
    @SerialName("heartbeat")
    data class Heartbeat(
        val router: RouterId,
        val controlPosition: Long,
    ) : PeerMessage

    /**
     * A witness's answer to a [Heartbeat]. [confirmed] is false when the witness does not hold a valid lease itself. [witness] is the id
     * of the answering router, because a restarted router may listen on the address of a recorded witness without being a witness.
     * The sender catches up with the `control` stream when [controlPosition] of the witness is ahead of its own.
     */
    @Serializable
    @SerialName("heartbeat-answer")
    data class HeartbeatAnswer(
        val witness: RouterId,
        val controlPosition: Long,
        val confirmed: Boolean,
    ) : PeerMessage

    /**
     * A caller's request, forwarded by the router that received it (the entry router) to the primary of [target], the only router that may
     * send requests to it. The primary has [remainingMs] to answer; unlike a point in time, a duration needs no synchronized clocks.
     * [requestTarget] is the request target of HTTP: path and query. [key] is null if the service is not sharded by key.
     */
    @Serializable
    @SerialName("forward")
    class ForwardRequest(
        val requestId: String,
        val service: ServiceName,
        val target: TargetId,
        val key: String?,
        val idempotent: Boolean,
        val remainingMs: Long,
        val traceparent: String,
        val method: String,
        val requestTarget: String,
        val headers: List<HeaderLine>,
        val body: ByteArray,
    ) : PeerMessage

    /** The primary's answer to [ForwardRequest]. [load] is the current load of the target; null if the router refuses it. */
    @Serializable
    @SerialName("forward-answer")
    class ForwardAnswer(
        val outcome: ForwardOutcome,
        val load: TargetLoad?,
    ) : PeerMessage

    /**
     * Tells the primary that the answer of [target] is no longer needed. [target] is needed to identify the attempt, because the same
     * request may run at another target of the same primary.
     */
    @Serializable
    @SerialName("cancel-forward")
    data class CancelForward(
        val requestId: String,
        val target: TargetId,
    ) : PeerMessage

    /** Asks a peer to append a record to the log for a router that cannot reach the log service. */
    @Serializable
    @SerialName("append-log")
    class AppendLog(
        val stream: String,
        val data: ByteArray,
    ) : PeerMessage

    /**
     * Answer to [AppendLog]. On success [offset] is that of the record and [reason] is empty. On failure [offset] is null; [unknown] means
     * that the append may have succeeded nevertheless.
     */
    @Serializable
    @SerialName("append-log-answer")
    data class AppendLogAnswer(
        val offset: Long?,
        val unknown: Boolean,
        val reason: String,
    ) : PeerMessage

    /**
     * Asks a peer to read the log for a router that cannot reach the log service. The peer waits up to [waitMs] for a record at
     * [fromOffset].
     */
    @Serializable
    @SerialName("read-log")
    data class ReadLog(
        val stream: String,
        val fromOffset: Long,
        val maxRecords: Int,
        val waitMs: Long,
    ) : PeerMessage

    /**
     * Answer to [ReadLog]. [failure] is null on success. [expired] means that the requested offset is no longer retained; the oldest
     * retained one is [firstOffset]. [fromMemory] means that the peer could not reach the log service either and returns records that it
     * had read before; they are valid, but may not be the latest.
     */
    @Serializable
    @SerialName("read-log-answer")
    class ReadLogAnswer(
        val records: List<PeerLogRecord>,
        val firstOffset: Long,
        val endOffset: Long,
        val expired: Boolean,
        val failure: String?,
        val fromMemory: Boolean = false,
    ) : PeerMessage

    /** Asks for a snapshot of the peer's control table and configuration, from which a router starts without reading the whole log. */
    @Serializable
    @SerialName("snapshot-query")
    data object SnapshotQuery : PeerMessage

    /** Answer to [SnapshotQuery]. */
    @Serializable
    @SerialName("snapshot-answer")
    data class SnapshotAnswer(
        val snapshot: Snapshot,
    ) : PeerMessage

    /** Asks for the loads of the targets that the peer is primary of. */
    @Serializable
    @SerialName("load-query")
    data object LoadQuery : PeerMessage

    /** Answer to [LoadQuery]. */
    @Serializable
    @SerialName("load-report")
    data class LoadReport(
        val loads: List<TargetLoad>,
    ) : PeerMessage

    /** Answer to a message that the peer could not understand or handle. */
    @Serializable
    @SerialName("failure")
    data class Failure(
        val reason: String,
    ) : PeerMessage
}

/** One HTTP header line in a peer message. */
@Serializable
data class HeaderLine(
    val name: String,
    val value: String,
)

/** One log record in a peer message. */
@Serializable
class PeerLogRecord(
    val offset: Long,
    val data: ByteArray,
)

/** Why a request did not run. Determines whether, and at which router or target, the entry router retries it. */
@Serializable
enum class NotRunCause {
    /**
     * The router is not entitled to send the request to the target at this time: another router is its primary, or a move of the key range
     * or a grant to the target is still in progress.
     */
    NOT_RESPONSIBLE,

    /** The target could not be reached. */
    UNREACHABLE,

    /** The target or its queue is full. */
    OVERLOADED,

    /** The request cannot be served before its deadline. */
    TOO_LATE,
}

/** Outcome of a forwarded request. */
@Serializable
sealed interface ForwardOutcome {
    /** The target answered the request, with any status. */
    @Serializable
    @SerialName("answered")
    class Answered(
        val status: Int,
        val headers: List<HeaderLine>,
        val body: ByteArray,
    ) : ForwardOutcome

    /** The request did not run. */
    @Serializable
    @SerialName("not-run")
    data class NotRun(
        val reason: String,
        val cause: NotRunCause,
    ) : ForwardOutcome

    /** The request may or may not have run. */
    @Serializable
    @SerialName("unknown")
    data class Unknown(
        val reason: String,
    ) : ForwardOutcome
}
