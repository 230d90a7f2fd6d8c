package yuccaflow.external

import kotlinx.serialization.Serializable
import yuccaflow.base.TimerService
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpResult

internal const val REQUEST_ID_HEADER = "X-Request-Id"
internal const val OUTCOME_HEADER = "Yuccaflow-Outcome"
internal const val OUTCOME_NOT_RUN = "not-run"
private const val CLOCK_HEADER = "Yuccaflow-Clock-Ms"
private const val INSTANCE_HEADER = "Yuccaflow-Instance"

@Serializable
private class RefusalBody(
    val reason: String? = null,
    val error: String? = null,
)

/** Returns the target's clock reading in this response, which arrived at local time [receivedAtMs], or null if it has none. */
internal fun HttpResponse.targetClock(receivedAtMs: Long): TargetClock? {
    val clockMs = headers[CLOCK_HEADER]?.toLongOrNull() ?: return null
    val instance = headers[INSTANCE_HEADER] ?: return null
    return TargetClock(instance, clockMs, receivedAtMs)
}

/** Returns the reason that the target gives in the body, or the status if it gives none. */
internal fun HttpResponse.refusalReason(): String {
    val body = decode(RefusalBody.serializer())
    return body?.reason ?: body?.error ?: "status $status"
}

/** Converts the HTTP result of a grant, a revocation or a probe. */
internal fun HttpResult.toTargetCallResult(timer: TimerService): TargetCallResult = when (this) {
    is HttpResult.NotSent -> TargetCallResult.NoAnswer(reason)
    is HttpResult.Unknown -> TargetCallResult.NoAnswer(reason)
    is HttpResult.Answered -> {
        val clock = response.targetClock(timer.nowMs())
        when {
            response.status !in SUCCESS_STATUSES -> TargetCallResult.Refused(response.status, response.refusalReason(), clock)
            clock == null -> TargetCallResult.NoAnswer("the answer carries no clock of the target")
            else -> TargetCallResult.Done(clock)
        }
    }
}
