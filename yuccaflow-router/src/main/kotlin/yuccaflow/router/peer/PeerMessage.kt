package yuccaflow.router.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import yuccaflow.control.RouterId
import yuccaflow.control.ServiceName
import yuccaflow.control.Snapshot
import yuccaflow.control.TargetId
import yuccaflow.control.TargetLoad

/** Version of the messages between routers; both ends must have the same one. */
const val PEER_PROTOCOL_VERSION: Int = 1

/** Largest frame between routers. */
const val PEER_FRAME_LIMIT_BYTES: Int = 2 * 1024 * 1024

/** A message between routers, encoded as CBOR in a frame with a 4-byte length. */
@Serializable
sealed interface PeerMessage {
    /** First message on each connection, in both directions. */
    @Serializable
    @SerialName("hello")
    data class Hello(
        val version: Int,
        val system: String,
        val router: RouterId,
    ) : PeerMessage

    /** The connection is refused and closed. */
    @Serializable
    @SerialName("hello-refused")
    data class HelloRefused(
        val reason: String,
    ) : PeerMessage

    /** Sent to each witness; asks it to confirm the sender's lease. */
    @Serializable
    @SerialName("heartbeat")
    data class Heartbeat(
        val router: RouterId,
        val controlPosition: Long,
    ) : PeerMessage

    /**
     * A witness's answer. [confirmed] is false when the witness holds no valid lease itself. [witness] names the answering router, since
     * a restarted router may listen on the address of a recorded witness and is none.
     */
    @Serializable
    @SerialName("heartbeat-answer")
    data class HeartbeatAnswer(
        val witness: RouterId,
        val controlPosition: Long,
        val confirmed: Boolean,
    ) : PeerMessage

    /** A caller's request on its way from the entry router to the primary of [target]. */
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

    /** The entry router no longer needs the answer of [target]; the same request may run at another target of the same primary. */
    @Serializable
    @SerialName("cancel-forward")
    data class CancelForward(
        val requestId: String,
        val target: TargetId,
    ) : PeerMessage

    /** Asks a peer to append for a router that cannot reach the log service. */
    @Serializable
    @SerialName("append-log")
    class AppendLog(
        val stream: String,
        val data: ByteArray,
    ) : PeerMessage

    /** Result of [AppendLog]: an offset, or a reason; [unknown] tells that the append may have taken effect. */
    @Serializable
    @SerialName("append-log-answer")
    data class AppendLogAnswer(
        val offset: Long?,
        val unknown: Boolean,
        val reason: String,
    ) : PeerMessage

    /** Asks a peer to read the log for a router that cannot reach it. */
    @Serializable
    @SerialName("read-log")
    data class ReadLog(
        val stream: String,
        val fromOffset: Long,
        val maxRecords: Int,
        val waitMs: Long,
    ) : PeerMessage

    /**
     * Result of [ReadLog]; [failure] is null on success, and [expired] tells that the offset is no longer kept. [fromMemory] tells that
     * the peer could not reach the log service and returns records that it had read before; they are true, but may not be the latest.
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

    /** Asks for the peer's whole state. */
    @Serializable
    @SerialName("snapshot-query")
    data object SnapshotQuery : PeerMessage

    /** The peer's whole state. */
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

    /** The request could not be understood or handled. */
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

/** Why a request did not run, which decides whether the entry router tries again. */
@Serializable
enum class NotRunCause {
    /** The primary may not send it now: it may be admitted elsewhere, or here when a move or a grant is complete. */
    NOT_RESPONSIBLE,

    /** The target could not be reached. */
    UNREACHABLE,

    /** The target or its queue is full. */
    OVERLOADED,

    /** It cannot be served before its deadline. */
    TOO_LATE,
}

/** What became of a forwarded request. */
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

    /** The request certainly did not run. */
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
