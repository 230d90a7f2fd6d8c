package yuccaflow.control

import kotlinx.serialization.Serializable

/** Identity of one run of a router; a restarted router has a new one. */
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
