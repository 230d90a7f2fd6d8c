package yuccaflow.entry.routing

import yuccaflow.entry.balance.LoadReport
import yuccaflow.entry.directory.TargetEntry
import yuccaflow.http.HttpClient
import yuccaflow.http.HttpHeader
import yuccaflow.http.HttpHeaderList
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpResult

/** Why a target did not run a request. */
internal enum class NotRunCause {
    /** No connection, or the request did not leave. */
    UNREACHABLE,

    /** The target is full, or too late with its queue. */
    SHED,

    /** Another target answers at the address. */
    OTHER_INSTANCE,

    /** The target does not own the key. */
    NOT_OWNER,
}

/** Result of sending a request to a target. */
internal sealed interface TargetResult {
    /** The target ran the request. [response] is whole and the target's own. */
    class Answered(
        val response: HttpResponse,
        val load: LoadReport?,
    ) : TargetResult

    /** The request did not run and never will. [hasArrived] tells that it reached the target, which counts as a send. */
    class NotRun(
        val cause: NotRunCause,
        val reason: String,
        val hasArrived: Boolean,
        val load: LoadReport?,
    ) : TargetResult

    /** The request may have run. [isTimeout] tells that the time for it is over. */
    class Unknown(
        val reason: String,
        val isTimeout: Boolean,
    ) : TargetResult
}

/** Sends requests straight to targets, which check the instance and the ownership of keys themselves. */
internal class TargetClient(
    private val client: HttpClient,
    private val names: HeaderNames,
) {
    /** Sends [request], whose caller waits for [remainingMs]. */
    suspend fun send(target: TargetEntry, request: HttpRequest, remainingMs: Long): TargetResult {
        val sent = HttpRequest(request.method, request.target, headersFor(target, request, remainingMs), request.body)
        val id = request.headers[names.requestId]
        return when (val result = client.send(target.address, sent, remainingMs + ANSWER_GRACE_MS, id)) {
            is HttpResult.Answered -> judge(target, result.response)
            is HttpResult.NotSent -> TargetResult.NotRun(NotRunCause.UNREACHABLE, result.reason, hasArrived = false, load = null)
            is HttpResult.Unknown -> TargetResult.Unknown(result.reason, isTimeout = result.reason.startsWith(TIMEOUT_REASON))
        }
    }

    private fun headersFor(target: TargetEntry, request: HttpRequest, remainingMs: Long): HttpHeaderList {
        val own = listOf(
            HttpHeader(names.deadlineMs, remainingMs.toString()),
            HttpHeader(names.expectedInstance, target.id),
        )
        val others = request.headers.lines.filterNot { line -> own.any { it.name.equals(line.name, ignoreCase = true) } }
        return HttpHeaderList(others + own)
    }

    private fun judge(target: TargetEntry, response: HttpResponse): TargetResult {
        val load = response.headers[names.load]?.let(::parseLoad)
        val isMisdirected = response.status == MISDIRECTED
        if (response.headers[names.notRun] != null || isMisdirected) {
            val answering = response.headers[names.instance]
            val cause = when {
                !isMisdirected -> NotRunCause.SHED
                answering != null && answering != target.id -> NotRunCause.OTHER_INSTANCE
                else -> NotRunCause.NOT_OWNER
            }
            return TargetResult.NotRun(cause, "status ${response.status} by ${answering ?: target.id}", hasArrived = true, load)
        }
        val isWhole = response.headers[names.signature] != null && response.headers["Content-Encoding"] == null
        if (response.status in SUCCESS && !isWhole) return TargetResult.Unknown("the response is not the target's own", isTimeout = false)
        return TargetResult.Answered(response, load)
    }

    private fun parseLoad(text: String): LoadReport? {
        val figures = text.split(',').map { it.trim().toIntOrNull() ?: return null }
        if (figures.size < LOAD_FIGURES) return null
        return LoadReport(figures[0], figures[1], figures[2], figures.getOrNull(LOAD_FIGURES)?.let { it / PERCENT })
    }

    private companion object {
        const val MISDIRECTED = 421
        const val LOAD_FIGURES = 3
        const val PERCENT = 100.0
        const val TIMEOUT_REASON = "no whole response"

        /** A target's own answer at the end of the time may take this long to arrive. */
        const val ANSWER_GRACE_MS = 30L
        val SUCCESS = 200..299
    }
}
