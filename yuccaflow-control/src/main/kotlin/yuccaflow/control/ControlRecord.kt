package yuccaflow.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The expected epoch of something that must not exist yet. */
const val NO_EPOCH: Long = 0

/** A record of the `control` stream. A record whose expectation does not hold when it is read is void. */
@Serializable
sealed interface ControlRecord {
    /** A router has started under a new id. */
    @Serializable
    @SerialName("router-registered")
    data class RouterRegistered(
        val router: RouterId,
        val zone: ZoneName,
        val host: String,
        val peerAddress: String,
        val adminAddress: String,
        val callerAddress: String,
        val witnesses: List<RouterId>,
    ) : ControlRecord

    /** A planned stop has begun: the router gets no new targets. */
    @Serializable
    @SerialName("router-leaving")
    data class RouterLeaving(
        val router: RouterId,
    ) : ControlRecord

    /**
     * The router has ended its own lease and holds nothing: it has read its own [RouterLeaving], has stopped sending since, and every grant
     * that it sent or took over has been revoked or has expired. Void unless the router is leaving.
     */
    @Serializable
    @SerialName("router-stopped")
    data class RouterStopped(
        val router: RouterId,
    ) : ControlRecord

    /** A router changes its own witnesses. */
    @Serializable
    @SerialName("witnesses-changed")
    data class WitnessesChanged(
        val router: RouterId,
        val expectedEpoch: Long,
        val witnesses: List<RouterId>,
    ) : ControlRecord

    /** [by] has not heard from [router]; void while an earlier suspicion stands. */
    @Serializable
    @SerialName("suspected")
    data class Suspected(
        val router: RouterId,
        val by: RouterId,
    ) : ControlRecord

    /** The suspected router lives. */
    @Serializable
    @SerialName("suspicion-cancelled")
    data class SuspicionCancelled(
        val router: RouterId,
        val suspicionOffset: Long,
    ) : ControlRecord

    /** A recorded witness has read the suspicion. */
    @Serializable
    @SerialName("suspicion-read")
    data class SuspicionRead(
        val router: RouterId,
        val suspicionOffset: Long,
        val witness: RouterId,
    ) : ControlRecord

    /** Ends the lease of [router]; void unless a majority of its recorded witnesses read the uncancelled suspicion. */
    @Serializable
    @SerialName("lease-ended")
    data class LeaseEnded(
        val router: RouterId,
        val suspicionOffset: Long,
    ) : ControlRecord

    /**
     * Sets the primary router of a target. While another live router is the primary, only that router may do it, as [by]. Void while
     * [router] is leaving or under suspicion.
     */
    @Serializable
    @SerialName("primary-assigned")
    data class PrimaryAssigned(
        val target: TargetId,
        val router: RouterId,
        val expectedEpoch: Long,
        val by: RouterId,
    ) : ControlRecord

    /** Gives a range its first owner. */
    @Serializable
    @SerialName("range-assigned")
    data class RangeAssigned(
        val service: ServiceName,
        val range: KeyRange,
        val target: TargetId,
    ) : ControlRecord

    /** Starts a move; the old owner's primary stops admitting. A null [to] withdraws the range. */
    @Serializable
    @SerialName("move-started")
    data class MoveStarted(
        val service: ServiceName,
        val range: KeyRange,
        val expectedEpoch: Long,
        val to: TargetId?,
    ) : ControlRecord

    /** Completes the move that was set at [moveEpoch]. */
    @Serializable
    @SerialName("range-released")
    data class RangeReleased(
        val service: ServiceName,
        val range: KeyRange,
        val moveEpoch: Long,
        val by: RouterId,
    ) : ControlRecord

    /** Gives up a move before its release; the old owner keeps the range under a new epoch. */
    @Serializable
    @SerialName("move-cancelled")
    data class MoveCancelled(
        val service: ServiceName,
        val range: KeyRange,
        val moveEpoch: Long,
    ) : ControlRecord

    /** Splits a range at key [at]; both parts stay with the owner under new epochs. */
    @Serializable
    @SerialName("range-split")
    data class RangeSplit(
        val service: ServiceName,
        val range: KeyRange,
        val at: String,
        val expectedEpoch: Long,
    ) : ControlRecord

    /** Merges two adjacent ranges of one owner. */
    @Serializable
    @SerialName("ranges-merged")
    data class RangesMerged(
        val service: ServiceName,
        val left: KeyRange,
        val right: KeyRange,
        val expectedLeftEpoch: Long,
        val expectedRightEpoch: Long,
    ) : ControlRecord

    /**
     * Several records of one router in one append, applied in order at one offset; each is void or not on its own. A batch holds no
     * batch and no checkpoint. The log takes several hundred appends a second, and the loss of a zone calls for more records than that.
     */
    @Serializable
    @SerialName("batch")
    data class Batch(
        val records: List<ControlRecord>,
    ) : ControlRecord

    /** The whole state as of the two positions; readers that already have state ignore it. */
    @Serializable
    @SerialName("checkpoint")
    data class Checkpoint(
        val snapshot: Snapshot,
    ) : ControlRecord
}

/** One record that stands for [records], which must not be empty: the record itself, or a batch of them. */
fun batchOf(records: List<ControlRecord>): ControlRecord = records.singleOrNull() ?: ControlRecord.Batch(records)
