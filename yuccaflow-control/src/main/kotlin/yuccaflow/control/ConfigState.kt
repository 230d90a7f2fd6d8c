package yuccaflow.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How the key of a request is extracted. */
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

/**
 * A service of the current configuration. A null [keyRule] means that any target of the service may serve any request. [runLimitMs] is the
 * longest time that one request may run.
 */
@Serializable
data class ServiceSpec(
    val name: ServiceName,
    val pathPrefix: String,
    val host: String?,
    val keyRule: KeyRule?,
    val idempotentMethods: Set<String>,
    val runLimitMs: Long,
) {
    /** True if each key of the service is owned by one target. */
    val isKeyed: Boolean get() = keyRule != null
}

/**
 * A target of the current configuration. [host] is the machine on which it runs. [checksFences] tells whether the target itself rejects
 * requests and grants of outdated epochs.
 */
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

/** An availability zone of the current configuration. */
@Serializable
data class ZoneSpec(
    val name: ZoneName,
    val region: String,
)

/** A key range of the current configuration, as declared by a release note. */
@Serializable
data class RangeSpec(
    val name: String,
    val service: ServiceName,
    val range: KeyRange,
)

/** Whether a [ConfigRecord.Mark] applies to a zone or to a host. */
@Serializable
enum class MarkSubject { ZONE, HOST }

/** Whether one record of `config` was accepted or rejected. */
@Serializable
data class ConfigRecordOutcome(
    val id: String,
    val offset: Long,
    /** Version that the record created, or null if it was rejected. */
    val version: Long?,
    /** Why the record was rejected, or null if it was accepted. */
    val rejection: String?,
)

/**
 * The configuration after the records of `config` up to and including [position]; the same for every reader.
 *
 * [version] is the number of accepted records. [entryVersions] maps each entry that a release note has changed, for example
 * `target katalog-01`, to the version that last changed it. [outcomes] holds the latest outcomes, oldest first.
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
    @SerialName("touched")
    val entryVersions: Map<String, Long>,
    val outcomes: List<ConfigRecordOutcome>,
) {
    /** Returns whether [target] may receive new work: neither its zone nor its host is marked as leaving. */
    fun isInService(target: TargetSpec): Boolean = target.zone !in leavingZones && target.host !in leavingHosts

    companion object {
        /** The configuration before the first record. */
        val Empty: ConfigState = ConfigState(
            position = 0,
            version = 0,
            zones = emptyMap(),
            services = emptyMap(),
            targets = emptyMap(),
            ranges = emptyMap(),
            leavingZones = emptySet(),
            leavingHosts = emptySet(),
            entryVersions = emptyMap(),
            outcomes = emptyList(),
        )
    }
}

/** A record of the `config` stream, serialized as JSON. */
@Serializable
sealed interface ConfigRecord {
    /** Unique id chosen by the publisher; a second record with a known id is ignored. */
    val id: String

    /** A release note as INI text. */
    @Serializable
    @SerialName("note")
    data class Note(
        override val id: String,
        val text: String,
    ) : ConfigRecord

    /** Marks the zone or host [name] as leaving or as returned. */
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
