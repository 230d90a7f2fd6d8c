package yuccaflow.bench

import kotlinx.serialization.Serializable

/** A target in the file that the targets stand-in reads. */
@Serializable
internal data class TargetFileEntry(
    val name: String,
    val service: String,
    val slots: Int,
    val checksFences: Boolean,
    val keySegment: Int,
    val meanMs: Double,
    val startsCold: Boolean = false,
    val warmUpRequests: Int = 20,
)

/** A route in the file that the relay stand-in reads. */
@Serializable
internal data class RouteFileEntry(
    val name: String,
    val listen: String,
    val to: String,
    val delayUs: Long,
)

/** A kind of request in the file that the callers stand-in reads. */
@Serializable
internal data class MixFileEntry(
    val service: String,
    val method: String,
    val path: String,
    val weight: Double,
    val keys: Int,
    val zipf: Double,
)

/** The request kinds of the deployment, with [keys] keys for each service. */
internal fun Deployment.mix(keys: Int, zipf: Double, only: Set<String>? = null): List<MixFileEntry> =
    services.filter { only == null || it.name in only }.flatMap { service ->
        val path = "/${service.name}/{key}"
        listOf(
            MixFileEntry(service.name, "GET", path, service.weight * (1 - service.postedShare), keys, zipf),
            MixFileEntry(service.name, "POST", path, service.weight * service.postedShare, keys, zipf),
        ).filter { it.weight > 0 }
    }

/** The stand-in's description of the target. */
internal fun TargetPlan.fileEntry(startsCold: Boolean): TargetFileEntry = TargetFileEntry(
    name = name,
    service = service.name,
    slots = slots,
    checksFences = checksFences,
    keySegment = if (service.isDivided) 1 else -1,
    meanMs = service.meanMs,
    startsCold = startsCold,
)
