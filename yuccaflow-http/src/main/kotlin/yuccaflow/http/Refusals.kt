package yuccaflow.http

import java.util.UUID

private const val MAX_REQUEST_ID_LENGTH = 128
private val REQUEST_ID = Regex("[A-Za-z0-9._:-]{1,$MAX_REQUEST_ID_LENGTH}")

/** Returns whether [text] is a valid request id, which can be used in headers, paths and log lines without escaping. */
fun isValidRequestId(text: String): Boolean = REQUEST_ID.matches(text)

/**
 * Builds a refusal that the server sends itself, in the JSON form of all refusals. [error] and [reason] are constants of this module, so
 * they need no escaping. A missing or invalid [requestId] is replaced by a new one.
 */
internal fun refusal(status: Int, error: String, reason: String, outcome: String, requestId: String?, idHeader: String): HttpResponse {
    val id = requestId?.takeIf(::isValidRequestId) ?: UUID.randomUUID().toString()
    return HttpResponse(
        status = status,
        headers = headersOf("Content-Type" to "application/json", idHeader to id, "Yuccaflow-Outcome" to outcome),
        body = """{"error":"$error","reason":"$reason","request_id":"$id"}""".toByteArray(),
    )
}
