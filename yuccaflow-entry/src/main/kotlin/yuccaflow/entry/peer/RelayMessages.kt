package yuccaflow.entry.peer

import kotlinx.serialization.Serializable
import yuccaflow.entry.keys.TargetIncarnation
import yuccaflow.entry.keys.balance.ReportedServiceTime
import yuccaflow.entry.store.JoinResult
import yuccaflow.entry.store.KeyedAppendResult
import yuccaflow.entry.store.KeyedChange
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.SnapshotResult
import yuccaflow.entry.store.StreamReadResult

/**
 * A call from one router to another, mostly a store call to be made on its behalf.
 *
 * The names of the variants and of their properties are part of the wire format, which routers of different versions share.
 */
@Serializable
internal sealed interface RelayCall {
    @Serializable
    class Snapshot(
        val stream: KeyedStream,
    ) : RelayCall

    @Serializable
    class Read(
        val stream: KeyedStream,
        val fromOffset: Long,
        val waitMs: Long,
    ) : RelayCall

    @Serializable
    class Append(
        val stream: KeyedStream,
        val changes: List<RelayedChange>,
        val expectedEndOffset: Long?,
    ) : RelayCall

    @Serializable
    class Join(
        val member: String,
        val generation: Long,
        val ttlMs: Long,
    ) : RelayCall

    @Serializable
    class Leave(
        val member: String,
    ) : RelayCall

    @Serializable
    data object Members : RelayCall

    /** Asks the receiver to release keys at a target in its zone. */
    @Serializable
    class Release(
        val target: String,
        val address: String,
        val zone: String,
        val from: Int,
        val to: Int,
        val generation: Long,
    ) : RelayCall

    /** Reads the routers' stream from [fromOffset], as far as the receiver has read it. Only the acting planner serves this call. */
    @Serializable
    class RouterRecords(
        val fromOffset: Long,
        val waitMs: Long,
    ) : RelayCall

    /** Asks whether the receiver acts as planner in the incarnation [life]. */
    @Serializable
    class PlannerState(
        val life: String,
    ) : RelayCall

    /**
     * Reports the keys for which router [node] has received requests, by service, the targets that have told it in an answer that they
     * leave, how far it has read the streams, and the service times, by target, of the targets that have responded to it since its last
     * report. The receiver processes it itself and answers with
     * [RelayAnswer.Positions]. The name is kept for compatibility with earlier versions.
     */
    @Serializable
    class KeySamples(
        val node: String,
        val keys: Map<String, List<Int>>,
        val leaving: List<TargetIncarnation> = emptyList(),
        val positions: List<RelayedPosition> = emptyList(),
        val serviceTimes: Map<String, ReportedServiceTime> = emptyMap(),
    ) : RelayCall
}

/** The answer to a [RelayCall]. */
@Serializable
internal sealed interface RelayAnswer {
    /** Records that were read in [era] of the store. */
    @Serializable
    class Records(
        val records: List<RelayedRecord>,
        val endOffset: Long,
        val era: Long = 0,
    ) : RelayAnswer

    @Serializable
    data object Expired : RelayAnswer

    @Serializable
    class Appended(
        val firstOffset: Long,
        val era: Long = 0,
    ) : RelayAnswer

    @Serializable
    class Conflict(
        val endOffset: Long,
        val era: Long = 0,
    ) : RelayAnswer

    @Serializable
    class Joined(
        val generation: Long,
        val isCandidate: Boolean,
    ) : RelayAnswer

    @Serializable
    class MemberList(
        val members: Set<String>,
    ) : RelayAnswer

    @Serializable
    data object Done : RelayAnswer

    /** How far the receiver has read the streams. */
    @Serializable
    class Positions(
        val positions: List<RelayedPosition>,
    ) : RelayAnswer

    @Serializable
    class PlannerState(
        val isActing: Boolean,
    ) : RelayAnswer

    /** The target has released the keys. */
    @Serializable
    class Released(
        val handover: String?,
    ) : RelayAnswer

    /** [target] answered at the address, so the process that was to release the keys has ended. */
    @Serializable
    class OtherTarget(
        val target: String?,
    ) : RelayAnswer

    /** The receiver could not serve the call; the call had no effect on the store. */
    @Serializable
    data object NotServed : RelayAnswer

    /** The call may have taken effect. */
    @Serializable
    class Unknown(
        val reason: String,
    ) : RelayAnswer
}

/**
 * How far a router has read a stream.
 *
 * @property endOffset the offset of the next record.
 * @property ageMs how long ago the records before [endOffset] were last known to be all, or null if that is not known. Used only in
 * answers, because the time of a call's positions is unknown.
 * @property era the era of the store in which the stream was read.
 */
@Serializable
internal class RelayedPosition(
    val stream: KeyedStream,
    val endOffset: Long,
    val ageMs: Long? = null,
    val era: Long = 0,
)

@Serializable
internal class RelayedRecord(
    val key: String,
    val value: ByteArray?,
    val offset: Long,
)

@Serializable
internal class RelayedChange(
    val key: String,
    val value: ByteArray?,
)

internal fun List<KeyedRecord>.toRelayed() = map { RelayedRecord(it.key, it.value, it.offset) }

internal fun List<RelayedRecord>.toRecords() = map { KeyedRecord(it.key, it.value, it.offset) }

internal fun List<KeyedChange>.toRelayedChanges() = map { RelayedChange(it.key, it.value) }

internal fun List<RelayedChange>.toChanges() = map { KeyedChange(it.key, it.value) }

internal fun SnapshotResult.toAnswer(): RelayAnswer = when (this) {
    is SnapshotResult.Snapshot -> RelayAnswer.Records(records.toRelayed(), endOffset, era)
    is SnapshotResult.Failed -> RelayAnswer.NotServed
}

internal fun StreamReadResult.toAnswer(): RelayAnswer = when (this) {
    is StreamReadResult.Read -> RelayAnswer.Records(records.toRelayed(), endOffset, era)
    StreamReadResult.Expired -> RelayAnswer.Expired
    is StreamReadResult.Failed -> RelayAnswer.NotServed
}

internal fun KeyedAppendResult.toAnswer(): RelayAnswer = when (this) {
    is KeyedAppendResult.Appended -> RelayAnswer.Appended(firstOffset, era)
    is KeyedAppendResult.Conflict -> RelayAnswer.Conflict(endOffset, era)
    is KeyedAppendResult.NotAppended -> RelayAnswer.NotServed
    is KeyedAppendResult.Unknown -> RelayAnswer.Unknown(reason)
}

internal fun JoinResult.toAnswer(): RelayAnswer = when (this) {
    is JoinResult.Joined -> RelayAnswer.Joined(generation, isCandidate)
    is JoinResult.Failed -> RelayAnswer.NotServed
}
