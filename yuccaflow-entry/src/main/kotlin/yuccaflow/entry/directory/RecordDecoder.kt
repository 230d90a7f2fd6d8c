package yuccaflow.entry.directory

import yuccaflow.entry.config.RoutingTable

/** A record of the operators' stream. */
sealed interface OperatorRecord {
    /** A new version of the routing table. */
    class Table(
        val table: RoutingTable,
    ) : OperatorRecord

    /** The zone is to get no work while the record stands. */
    data class EmptiedZone(
        val zone: String,
    ) : OperatorRecord

    /** The record cannot be used. */
    data class Rejected(
        val reason: String,
    ) : OperatorRecord
}

/** A record of the targets' stream. */
sealed interface TargetRecord {
    /** A target's own entry. */
    data class Valid(
        val entry: TargetEntry,
    ) : TargetRecord

    /** The record names no target that can be used. */
    data class Rejected(
        val reason: String,
    ) : TargetRecord
}

/** Decodes what operators and targets write. */
interface RecordDecoder {
    /** Decodes a record of the operators. A removed key has a null [value]; only [OperatorRecord.EmptiedZone] is then returned. */
    fun decodeOperatorRecord(key: String, value: ByteArray?): OperatorRecord

    /** Decodes a target's entry. */
    fun decodeTargetRecord(key: String, value: ByteArray): TargetRecord
}
