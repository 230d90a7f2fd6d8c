package yuccaflow.control

import kotlinx.serialization.Serializable

/** Id of one router process; a restarted router gets a new id. */
@Serializable
@JvmInline
value class RouterId(
    val value: String,
) {
    override fun toString(): String = value
}

/** Name of a target, unique over all services. */
@Serializable
@JvmInline
value class TargetId(
    val value: String,
) {
    override fun toString(): String = value
}

/** Name of a service. */
@Serializable
@JvmInline
value class ServiceName(
    val value: String,
) {
    override fun toString(): String = value
}

/** Name of an availability zone. */
@Serializable
@JvmInline
value class ZoneName(
    val value: String,
) {
    override fun toString(): String = value
}
