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
    /** Handshake: the first message on each connection, in both directions. */
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

    /** Asks a witness to confirm the sender's lease. Sent to each witness of a router. */
    @Serializable
    @SerialName("heartbeat")
    data class Heartbeat(
        val router: RouterId,
        val controlPosition: Long,
    ) : PeerMessage

    /**
     * A witness's answer to a [Heartbeat]. [confirmed] is false when the witness does not hold a valid lease itself. [witness] is the id
     * of the answering router, because a restarted router may listen on the address of a recorded witness without being a witness.
     */
    @Serializable
    @SerialName("heartbeat-answer")
    data class HeartbeatAnswer(
        val witness: RouterId,
        val controlPosition: Long,
        val confirmed: Boolean,
    ) : PeerMessage

    /** A caller's request that the entry router forwards to the primary of [target], which has [remainingMs] to answer. */
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

    /** The primary's answer to [ForwardRequest]. */
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

    /** Answer to [AppendLog]: the record's offset, or the reason of the failure. [unknown] means that the append may have succeeded. */
    @Serializable
    @SerialName("append-log-answer")
    data class AppendLogAnswer(
        val offset: Long?,
        val unknown: Boolean,
        val reason: String,
    ) : PeerMessage

    /** Asks a peer to read the log for a router that cannot reach the log service. */
    @Serializable
    @SerialName("read-log")
    data class ReadLog(
        val stream: String,
        val fromOffset: Long,
        val maxRecords: Int,
        val waitMs: Long,
    ) : PeerMessage

    /**
     * Answer to [ReadLog]. [failure] is null on success. [expired] means that the offset is no longer retained. [fromMemory] means that the
     * peer could not reach the log service either and returns records that it had read before; they are valid, but may not be the latest.
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

    /** Asks for a snapshot of the peer's state. */
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

/** Why a request did not run. Decides whether the entry router retries it. */
@Serializable
enum class NotRunCause {
    /** The primary may not send it to the target now. Another router may, or this one once a move or a grant is complete. */
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
    /** The target ran the request. */
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
