package yuccaflow.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Expected epoch of an entry that must not exist yet. */
const val NO_EPOCH: Long = 0

/**
 * A record of the `control` stream, from which every router builds its [ControlTable].
 *
 * Writers do not coordinate: a record states its preconditions, such as an expected epoch, and each reader checks them when it applies
 * the record. A record whose preconditions do not hold is void, that is, it has no effect.
 */
@Serializable
sealed interface ControlRecord {
    /** A router process has started under a new id. */
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

    /** A planned stop has begun: the router is assigned no further targets. */
    @Serializable
    @SerialName("router-leaving")
    data class RouterLeaving(
        val router: RouterId,
    ) : ControlRecord

    /**
     * The router has relinquished its lease: it has read its own [RouterLeaving], has sent no requests since, and every grant that it sent
     * or took over has been revoked or has expired. Void unless the router is leaving.
     */
    @Serializable
    @SerialName("router-stopped")
    data class RouterStopped(
        val router: RouterId,
    ) : ControlRecord

    /** The router replaces its witnesses, the routers whose answers to its heartbeats confirm its lease. */
    @Serializable
    @SerialName("witnesses-changed")
    data class WitnessesChanged(
        val router: RouterId,
        val expectedEpoch: Long,
        val witnesses: List<RouterId>,
    ) : ControlRecord

    /** [by] suspects that [router] has failed, since no heartbeats arrive. Void while an earlier suspicion has not been cancelled. */
    @Serializable
    @SerialName("suspected")
    data class Suspected(
        val router: RouterId,
        val by: RouterId,
    ) : ControlRecord

    /** The suspected router is running and cancels the suspicion. */
    @Serializable
    @SerialName("suspicion-cancelled")
    data class SuspicionCancelled(
        val router: RouterId,
        val suspicionOffset: Long,
    ) : ControlRecord

    /** [witness], one of the recorded witnesses of [router], has read the suspicion. */
    @Serializable
    @SerialName("suspicion-read")
    data class SuspicionRead(
        val router: RouterId,
        val suspicionOffset: Long,
        val witness: RouterId,
    ) : ControlRecord

    /** Ends the lease of [router]. Void unless a majority of its recorded witnesses have read the suspicion or have ended. */
    @Serializable
    @SerialName("lease-ended")
    data class LeaseEnded(
        val router: RouterId,
        val suspicionOffset: Long,
    ) : ControlRecord

    /**
     * Makes [router] the primary of [target]. Void if another live router is the primary and is not the writer [by], or if [router] is
     * leaving or under suspicion.
     */
    @Serializable
    @SerialName("primary-assigned")
    data class PrimaryAssigned(
        val target: TargetId,
        val router: RouterId,
        val expectedEpoch: Long,
        val by: RouterId,
    ) : ControlRecord

    /** Assigns a range that has no owner yet to [target]. Void if it overlaps an existing range. */
    @Serializable
    @SerialName("range-assigned")
    data class RangeAssigned(
        val service: ServiceName,
        val range: KeyRange,
        val target: TargetId,
    ) : ControlRecord

    /** Starts a move of a range to target [to]; the owner's primary stops admitting requests for it. A null [to] withdraws the range. */
    @Serializable
    @SerialName("move-started")
    data class MoveStarted(
        val service: ServiceName,
        val range: KeyRange,
        val expectedEpoch: Long,
        val to: TargetId?,
    ) : ControlRecord

    /** Completes the move with epoch [moveEpoch]. While the primary of the owner is live, only that router may write it, as [by]. */
    @Serializable
    @SerialName("range-released")
    data class RangeReleased(
        val service: ServiceName,
        val range: KeyRange,
        val moveEpoch: Long,
        val by: RouterId,
    ) : ControlRecord

    /** Cancels a move that has not been completed; the owner keeps the range under a new epoch. */
    @Serializable
    @SerialName("move-cancelled")
    data class MoveCancelled(
        val service: ServiceName,
        val range: KeyRange,
        val moveEpoch: Long,
    ) : ControlRecord

    /** Splits a range at key [at]; both parts stay with the owner under a new epoch. */
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
     * Several records of one router in one append. They are applied in order at one offset, and each is void or not on its own. A batch
     * within a batch and a checkpoint within a batch are void. Batches are needed because the log takes several hundred appends per
     * second and the loss of a zone requires more records than that.
     */
    @Serializable
    @SerialName("batch")
    data class Batch(
        val records: List<ControlRecord>,
    ) : ControlRecord

    /** The whole state as of the two positions in [snapshot], from which a new reader starts; other readers ignore it. */
    @Serializable
    @SerialName("checkpoint")
    data class Checkpoint(
        val snapshot: Snapshot,
    ) : ControlRecord
}

/** Wraps [records], which must not be empty, into one record: a single one is returned as it is, several become a [ControlRecord.Batch]. */
fun batchOf(records: List<ControlRecord>): ControlRecord = records.singleOrNull() ?: ControlRecord.Batch(records)
