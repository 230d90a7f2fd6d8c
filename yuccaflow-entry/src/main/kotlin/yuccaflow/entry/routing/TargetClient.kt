package yuccaflow.entry.routing

import yuccaflow.entry.balance.LoadReport
import yuccaflow.entry.directory.TargetEntry
import yuccaflow.http.HttpClient
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpResult

/** Why a target did not run a request. */
internal enum class NotRunCause {
    /** No connection could be made, or the request was not sent. */
    UNREACHABLE,

    /** The target rejected the request, because it is full or could not answer in time. */
    SHED,

    /** Another target answered at the address. */
    OTHER_INSTANCE,

    /** The target does not own the key. */
    NOT_OWNER,
}

/**
 * What a target says about itself in an answer, apart from the outcome of the request.
 *
 * @property load its load, or null if it does not tell.
 * @property isLeaving whether it says that it leaves. It then stays leaving until its process ends.
 * @property pause the pause for which it asks when it turns a request away.
 */
internal class TargetNotice(
    val load: LoadReport?,
    val isLeaving: Boolean,
    val pause: PauseRequest,
) {
    val showsFullTarget: Boolean get() = load?.showsNoFreeSlot == true
}

/** Result of sending a request to a target. */
internal sealed interface TargetResult {
    /** The target ran the request. [response] is complete, and a successful one carries the target's signature. */
    class Answered(
        val response: HttpResponse,
        val notice: TargetNotice,
    ) : TargetResult

    /**
     * The request did not run and never will. If it [hasArrived] at the target, another attempt counts against the retry budget.
     * [notice] is null if the target itself did not answer.
     */
    class NotRun(
        val cause: NotRunCause,
        val reason: String,
        val hasArrived: Boolean,
        val notice: TargetNotice?,
    ) : TargetResult

    /** The request was withdrawn right before it would have been sent. */
    data object Withdrawn : TargetResult

    /** The request may have run. [isTimeout] tells whether its deadline has passed. */
    class Unknown(
        val reason: String,
        val isTimeout: Boolean,
    ) : TargetResult
}

/** Sends requests directly to targets, which verify the expected instance and the ownership of keys themselves. */
internal class TargetClient(
    private val client: HttpClient,
    private val names: HeaderNames,
) {
    /**
     * Sends [request], whose deadline is [timeoutMs] away, and classifies the result. The wait for a connection takes time, so
     * [remainingAtSendMs] is called right before the first byte leaves. It returns the time until the deadline, or null if [target] may not
     * receive the request any more; then nothing is sent.
     */
    suspend fun send(target: TargetEntry, request: HttpRequest, timeoutMs: Long, remainingAtSendMs: () -> Long?): TargetResult {
        val prepare = { unsent: HttpRequest -> remainingAtSendMs()?.let { addressed(unsent, target, it) } }
        val id = request.headers[names.requestId]
        return when (val result = client.send(target.address, request, timeoutMs + RESPONSE_GRACE_MS, id, prepare)) {
            is HttpResult.Answered -> classify(target, result.response)
            is HttpResult.NotSent ->
                if (result.isWithdrawn) {
                    TargetResult.Withdrawn
                } else {
                    TargetResult.NotRun(NotRunCause.UNREACHABLE, result.reason, hasArrived = false, notice = null)
                }
            is HttpResult.Unknown -> TargetResult.Unknown(result.reason, isTimeout = result.reason.startsWith(TIMEOUT_REASON_PREFIX))
        }
    }

    /** Returns [request] with the headers for [target] and a deadline that is [remainingMs] away. */
    private fun addressed(request: HttpRequest, target: TargetEntry, remainingMs: Long): HttpRequest {
        val headers = request.headers.with(names.deadlineMs, remainingMs.toString()).with(names.expectedInstance, target.id)
        return HttpRequest(request.method, request.target, headers, request.body)
    }

    private fun classify(target: TargetEntry, response: HttpResponse): TargetResult {
        val notice = TargetNotice(
            load = response.headers[names.load]?.let(::parseLoad),
            isLeaving = response.headers[names.leaving] == LEAVING,
            pause = if (response.status == UNAVAILABLE) PauseRequest.of(response.headers) else PauseRequest.None,
        )
        val isMisdirected = response.status == MISDIRECTED
        if (response.headers[names.notRun] != null || isMisdirected) {
            val answeringInstance = response.headers[names.instance]
            val cause = when {
                !isMisdirected -> NotRunCause.SHED
                answeringInstance != null && answeringInstance != target.id -> NotRunCause.OTHER_INSTANCE
                else -> NotRunCause.NOT_OWNER
            }
            val ownNotice = notice.takeIf { cause != NotRunCause.OTHER_INSTANCE }
            return TargetResult.NotRun(
                cause,
                "status ${response.status} by ${answeringInstance ?: target.id}",
                hasArrived = true,
                ownNotice,
            )
        }
        val isAuthentic = response.headers[names.signature] != null && response.headers["Content-Encoding"] == null
        if (response.status in SUCCESS_STATUSES &&
            !isAuthentic
        ) {
            return TargetResult.Unknown("the response is not the target's own", isTimeout = false)
        }
        return TargetResult.Answered(response, notice)
    }

    private fun parseLoad(text: String): LoadReport? {
        val fields = text.split(',').map { field -> field.trim().toIntOrNull()?.takeIf { it in 0..MAX_LOAD_FIELD } ?: return null }
        if (fields.size < REQUIRED_LOAD_FIELDS) return null
        return LoadReport(fields[0], fields[1], fields[2], fields.getOrNull(REQUIRED_LOAD_FIELDS)?.let { it / PERCENT })
    }

    private companion object {
        const val MISDIRECTED = 421
        const val UNAVAILABLE = 503
        const val LEAVING = "1"
        const val REQUIRED_LOAD_FIELDS = 3

        /** No target has that many requests or is that many percent slower. Sums of two such fields do not overflow. */
        const val MAX_LOAD_FIELD = 1_000_000
        const val PERCENT = 100.0

        /** How the reasons of the HTTP client's time-outs begin. */
        const val TIMEOUT_REASON_PREFIX = "no whole response"

        /** How long a response that the target sends at the deadline may take to arrive. */
        const val RESPONSE_GRACE_MS = 30L
        val SUCCESS_STATUSES = 200..299
    }
}
