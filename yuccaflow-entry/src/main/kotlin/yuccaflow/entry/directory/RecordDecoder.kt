package yuccaflow.entry.directory

import yuccaflow.entry.config.RoutingTable

/** A decoded record of the operators' stream. */
sealed interface OperatorRecord {
    /** A new version of the routing table. */
    class Table(
        val table: RoutingTable,
    ) : OperatorRecord

    /** Operators have emptied [zone]: its targets get no new requests until the record is removed. */
    data class EmptiedZone(
        val zone: String,
    ) : OperatorRecord

    /** The record is invalid or unknown. */
    data class Rejected(
        val reason: String,
    ) : OperatorRecord
}

/** A decoded record of the targets' stream. */
sealed interface TargetRecord {
    /** The directory entry that a target has written. */
    data class Valid(
        val entry: TargetEntry,
    ) : TargetRecord

    /** The record is not a valid directory entry. */
    data class Rejected(
        val reason: String,
    ) : TargetRecord
}

/** Decodes the records of operators and targets. */
interface RecordDecoder {
    /**
     * Decodes a record of the operators. A null [value] removes [key]; the result is then [OperatorRecord.EmptiedZone] or
     * [OperatorRecord.Rejected].
     */
    fun decodeOperatorRecord(key: String, value: ByteArray?): OperatorRecord

    /** Decodes the directory entry of the target [key]. */
    fun decodeTargetRecord(key: String, value: ByteArray): TargetRecord
}
