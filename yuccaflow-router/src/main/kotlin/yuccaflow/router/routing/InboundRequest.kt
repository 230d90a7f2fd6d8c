package yuccaflow.router.routing

import yuccaflow.control.ServiceSpec
import yuccaflow.control.TargetId
import yuccaflow.http.HttpHeader
import yuccaflow.http.HttpRequest
import yuccaflow.router.peer.HeaderLine
import yuccaflow.router.peer.PeerMessage.ForwardRequest

private const val TRACEPARENT_HEADER = "traceparent"

/** A caller's request with its service, key and deadline resolved. [deadlineMs] is monotonic time. */
internal class InboundRequest(
    val requestId: String,
    val service: ServiceSpec,
    val key: String?,
    val deadlineMs: Long,
    val traceparent: String,
    val request: HttpRequest,
) {
    val isIdempotent: Boolean = request.method in service.idempotentMethods
    val idempotencyKey: String? = request.headers["Idempotency-Key"].takeUnless { isIdempotent }
    private val headers = request.headers.lines
        .endToEnd()
        .filterNot { isReplaced(it) }
        .map { HeaderLine(it.name, it.value) }

    fun forwardTo(target: TargetId, remainingMs: Long) =
        ForwardRequest(
            requestId = requestId,
            service = service.name,
            target = target,
            key = key,
            idempotent = isIdempotent,
            remainingMs = remainingMs,
            traceparent = traceparent,
            method = request.method,
            requestTarget = request.target,
            headers = headers,
            body = request.body,
        )

    private fun isReplaced(header: HttpHeader): Boolean =
        header.isInternal() ||
            header.name.equals(REQUEST_ID_HEADER, ignoreCase = true) ||
            header.name.equals(TRACEPARENT_HEADER, ignoreCase = true)
}
