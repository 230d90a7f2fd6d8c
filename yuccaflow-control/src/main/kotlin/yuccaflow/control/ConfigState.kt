package yuccaflow.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a request's key is found. */
@Serializable
sealed interface KeyRule {
    /** The path segment at [index], counted from 0 over the whole path. */
    @Serializable
    data class PathSegment(
        val index: Int,
    ) : KeyRule

    /** The query parameter [name]. */
    @Serializable
    data class QueryParameter(
        val name: String,
    ) : KeyRule

    /** The request header [name]. */
    @Serializable
    data class Header(
        val name: String,
    ) : KeyRule
}

/** A service in force. A null [keyRule] means that it is not divided by key. */
@Serializable
data class ServiceSpec(
    val name: ServiceName,
    val pathPrefix: String,
    val host: String?,
    val keyRule: KeyRule?,
    val idempotentMethods: Set<String>,
    val runLimitMs: Long,
) {
    /** Tells whether each key has one owning target. */
    val isKeyed: Boolean get() = keyRule != null
}

/** A target in force. [host] is the machine that it runs on. */
@Serializable
data class TargetSpec(
    val id: TargetId,
    val service: ServiceName,
    val zone: ZoneName,
    val host: String,
    val address: String,
    val slots: Int,
    val connections: Int,
    val checksFences: Boolean,
)

/** An availability zone in force. */
@Serializable
data class ZoneSpec(
    val name: ZoneName,
    val region: String,
)

/** A key range in force, as declared by a note. */
@Serializable
data class RangeSpec(
    val name: String,
    val service: ServiceName,
    val range: KeyRange,
)

/** What a mark applies to. */
@Serializable
enum class MarkSubject { ZONE, HOST }

/** The outcome of one published entry. */
@Serializable
data class ConfigRecordOutcome(
    val id: String,
    val offset: Long,
    /** Version that the entry created, or null when it was rejected. */
    val version: Long?,
    val rejection: String?,
)

/**
 * The configuration that the records of `config` up to and including [position] give; the same for every reader.
 *
 * [version] counts accepted entries. [touched] maps each entry of a note, for example `target katalog-01`, to the version that
 * last changed it.
 */
@Serializable
data class ConfigState(
    val position: Long,
    val version: Long,
    val zones: Map<ZoneName, ZoneSpec>,
    val services: Map<ServiceName, ServiceSpec>,
    val targets: Map<TargetId, TargetSpec>,
    val ranges: Map<String, RangeSpec>,
    val leavingZones: Set<ZoneName>,
    val leavingHosts: Set<String>,
    val touched: Map<String, Long>,
    val outcomes: List<ConfigRecordOutcome>,
) {
    /** Tells whether [target] may be given new work: neither its zone nor its host is marked as leaving. */
    fun isInService(target: TargetSpec): Boolean = target.zone !in leavingZones && target.host !in leavingHosts

    companion object {
        /** The state before the first record. */
        val Empty: ConfigState = ConfigState(
            position = 0,
            version = 0,
            zones = emptyMap(),
            services = emptyMap(),
            targets = emptyMap(),
            ranges = emptyMap(),
            leavingZones = emptySet(),
            leavingHosts = emptySet(),
            touched = emptyMap(),
            outcomes = emptyList(),
        )
    }
}

/** A record of the `config` stream, serialized as JSON. */
@Serializable
sealed interface ConfigRecord {
    /** Unique id chosen by the publisher; a second record with a known id is ignored. */
    val id: String

    /** A release note in its INI text. */
    @Serializable
    @SerialName("note")
    data class Note(
        override val id: String,
        val text: String,
    ) : ConfigRecord

    /** Marks a zone or a host as leaving or returned. */
    @Serializable
    @SerialName("mark")
    data class Mark(
        override val id: String,
        val subject: MarkSubject,
        val name: String,
        @SerialName("leaving")
        val isLeaving: Boolean,
    ) : ConfigRecord
}
