package yuccaflow.router.routing

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import yuccaflow.http.HttpHeader
import yuccaflow.http.HttpHeaderList
import yuccaflow.http.HttpResponse
import yuccaflow.http.headersOf
import yuccaflow.router.peer.ForwardOutcome

internal const val REQUEST_ID_HEADER: String = "X-Request-Id"
internal const val OUTCOME_HEADER: String = "Yuccaflow-Outcome"
private const val INTERNAL_PREFIX = "Yuccaflow-"
private const val RETRY_AFTER_SECONDS = "1"

/** Hop-by-hop headers, which the HTTP library sets anew for the next connection. */
private val hopByHop = setOf(
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
)

/** Returns the end-to-end headers: without the hop-by-hop headers and without those that `Connection` names. */
internal fun List<HttpHeader>.endToEnd(): List<HttpHeader> {
    val named = filter { it.name.equals("connection", ignoreCase = true) }.flatMap { it.value.split(',') }.map { it.trim().lowercase() }
    return filterNot { it.name.lowercase() in hopByHop || it.name.lowercase() in named }
}

/** Returns whether the header is reserved for routers and targets: callers may not set it. */
internal fun HttpHeader.isInternal(): Boolean = name.startsWith(INTERNAL_PREFIX, ignoreCase = true)

/** The kinds of refusals with their HTTP status, the `error` of the JSON body and the value of the outcome header. */
internal enum class Rejection(
    val status: Int,
    val error: String,
    val outcome: String,
) {
    MALFORMED(400, "malformed", "not-run"),
    NO_SERVICE(404, "no-such-service", "not-run"),
    NOT_RUN(503, "not-run", "not-run"),
    UNKNOWN(504, "unknown", "unknown"),
}

/** Builds the response of a refusal, with a JSON body. */
internal fun refusal(rejection: Rejection, reason: String, requestId: String): HttpResponse {
    val body = buildJsonObject {
        put("error", rejection.error)
        put("reason", reason)
        put("request_id", requestId)
    }
    val headers = headersOf(
        "Content-Type" to "application/json",
        REQUEST_ID_HEADER to requestId,
        OUTCOME_HEADER to rejection.outcome,
    )
    return HttpResponse(
        rejection.status,
        if (rejection == Rejection.NOT_RUN) headers.with("Retry-After", RETRY_AFTER_SECONDS) else headers,
        body.toString().encodeToByteArray(),
    )
}

/**
 * Returns whether this answer has the status of [Rejection.NOT_RUN] without saying that the request has not run. A caller that goes by the
 * status would send the request again.
 */
internal fun ForwardOutcome.Answered.looksRefused(): Boolean =
    status == Rejection.NOT_RUN.status && headers.none { it.name.equals(OUTCOME_HEADER, ignoreCase = true) }

/** Converts a target's answer to the response for the caller. */
internal fun ForwardOutcome.Answered.toResponse(requestId: String): HttpResponse {
    val headers = headers.map { HttpHeader(it.name, it.value) }.endToEnd().filterNot { it.isInternal() && it.name != OUTCOME_HEADER }
    return HttpResponse(status, HttpHeaderList(headers).with(REQUEST_ID_HEADER, requestId), body)
}
