package yuccaflow.bench

import kotlinx.serialization.Serializable

/** A target in the file that the `targets` stand-in reads. */
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

/** A route in the file that the `relay` stand-in reads. */
@Serializable
internal data class RouteFileEntry(
    val name: String,
    val listen: String,
    val to: String,
    val delayUs: Long,
)

/** A request template in the file that the `callers` stand-in reads. */
@Serializable
internal data class RequestTemplateFileEntry(
    val service: String,
    val method: String,
    val path: String,
    val weight: Double,
    val keys: Int,
    val zipf: Double,
)

/** Request templates for the services of the deployment, or for [only] some of them, with [keys] keys per service. */
internal fun Deployment.mix(keys: Int, zipf: Double, only: Set<String>? = null): List<RequestTemplateFileEntry> =
    services.filter { only == null || it.name in only }.flatMap { service ->
        val path = "/${service.name}/{key}"
        listOf(
            RequestTemplateFileEntry(service.name, "GET", path, service.weight * (1 - service.postedShare), keys, zipf),
            RequestTemplateFileEntry(service.name, "POST", path, service.weight * service.postedShare, keys, zipf),
        ).filter { it.weight > 0 }
    }

internal fun TargetPlan.fileEntry(startsCold: Boolean): TargetFileEntry = TargetFileEntry(
    name = name,
    service = service.name,
    slots = slots,
    checksFences = checksFences,
    keySegment = if (service.isKeyed) 1 else -1,
    meanMs = service.meanMs,
    startsCold = startsCold,
)
