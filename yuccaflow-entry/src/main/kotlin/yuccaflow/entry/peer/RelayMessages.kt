package yuccaflow.entry.peer

import kotlinx.serialization.Serializable
import yuccaflow.entry.store.JoinResult
import yuccaflow.entry.store.KeyedAppendResult
import yuccaflow.entry.store.KeyedChange
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.SnapshotResult
import yuccaflow.entry.store.StreamReadResult

/** What one router asks of another one, mostly a call to the store. */
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

    /** Release keys at a target in the asked router's zone. */
    @Serializable
    class Release(
        val target: String,
        val address: String,
        val zone: String,
        val from: Int,
        val to: Int,
        val generation: Long,
    ) : RelayCall

    /** The routers' records from [fromOffset] on, as the asked router has read them. Only the acting planner answers. */
    @Serializable
    class RouterRecords(
        val fromOffset: Long,
        val waitMs: Long,
    ) : RelayCall

    /** Ask whether the asked router acts as planner in its life [life]. */
    @Serializable
    class PlannerState(
        val life: String,
    ) : RelayCall

    /** The keys that router [node] has seen requests for, by service. It is for the asked router itself. */
    @Serializable
    class KeySamples(
        val node: String,
        val keys: Map<String, List<Int>>,
    ) : RelayCall
}

/** The answer to a [RelayCall]. */
@Serializable
internal sealed interface RelayAnswer {
    @Serializable
    class Records(
        val records: List<RelayedRecord>,
        val endOffset: Long,
    ) : RelayAnswer

    @Serializable
    data object Expired : RelayAnswer

    @Serializable
    class Appended(
        val firstOffset: Long,
    ) : RelayAnswer

    @Serializable
    class Conflict(
        val endOffset: Long,
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

    @Serializable
    class PlannerState(
        val isActing: Boolean,
    ) : RelayAnswer

    /** The target has released the keys. */
    @Serializable
    class Released(
        val handover: String?,
    ) : RelayAnswer

    /** No process of the target is left. */
    @Serializable
    class TargetGone(
        val reason: String,
    ) : RelayAnswer

    /** The store does not serve the asked router either, and has not taken the call. */
    @Serializable
    data object NotServed : RelayAnswer

    /** The store may have taken the call. */
    @Serializable
    class Unknown(
        val reason: String,
    ) : RelayAnswer
}

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
    is SnapshotResult.Snapshot -> RelayAnswer.Records(records.toRelayed(), endOffset)
    is SnapshotResult.Failed -> RelayAnswer.NotServed
}

internal fun StreamReadResult.toAnswer(): RelayAnswer = when (this) {
    is StreamReadResult.Read -> RelayAnswer.Records(records.toRelayed(), endOffset)
    StreamReadResult.Expired -> RelayAnswer.Expired
    is StreamReadResult.Failed -> RelayAnswer.NotServed
}

internal fun KeyedAppendResult.toAnswer(): RelayAnswer = when (this) {
    is KeyedAppendResult.Appended -> RelayAnswer.Appended(firstOffset)
    is KeyedAppendResult.Conflict -> RelayAnswer.Conflict(endOffset)
    is KeyedAppendResult.NotAppended -> RelayAnswer.NotServed
    is KeyedAppendResult.Unknown -> RelayAnswer.Unknown(reason)
}

internal fun JoinResult.toAnswer(): RelayAnswer = when (this) {
    is JoinResult.Joined -> RelayAnswer.Joined(generation, isCandidate)
    is JoinResult.Failed -> RelayAnswer.NotServed
}
