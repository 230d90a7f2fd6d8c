package yuccaflow.entry.routing

import yuccaflow.base.TimerService
import yuccaflow.entry.balance.TargetChoice
import yuccaflow.entry.balance.TargetChooser
import yuccaflow.entry.balance.TargetState
import yuccaflow.entry.telemetry.Events
import yuccaflow.entry.telemetry.RouterMeters
import yuccaflow.http.HttpResponse

/** Selects the targets of callers' requests, and builds the responses to requests that are refused. */
internal class TargetSelector(
    private val targetChooser: TargetChooser,
    private val keyOwnerChooser: KeyOwnerChooser,
    private val meters: RouterMeters,
    private val errorResponses: ErrorResponses,
    private val timer: TimerService,
    private val log: ExchangeLog,
) {
    /** Selects the target of the next attempt. Suspends for a while if the owner of the key is expected soon. */
    suspend fun select(exchange: Exchange): TargetChoice {
        val context = exchange.choiceContext(timer.nowMs())
        val choice =
            if (exchange.key == null) targetChooser.choose(context) else keyOwnerChooser.choose(exchange.key, context)
        if (choice is TargetChoice.Chosen) choice.decision?.let { meters.admission(exchange.serviceConfig.name, it.result.tag) }
        return choice
    }

    /** Returns whether [target] may still receive the request for which it was selected. */
    fun mayReceive(exchange: Exchange, target: TargetState): Boolean =
        if (exchange.key == null) targetChooser.mayReceive(target) else keyOwnerChooser.mayReceive(target)

    /** Refuses a request for which no target was selected. */
    fun refuse(exchange: Exchange, choice: TargetChoice.None): HttpResponse {
        val decision = choice.decision ?: return refuse(exchange, choice.reason, choice.retryAfterMs)
        meters.admission(exchange.serviceConfig.name, decision.result.tag)
        log.log(Events.REQUEST_REFUSED, exchange, null, choice.reason) {
            putDecision(decision)
            put("retry_after_ms", choice.retryAfterMs)
        }
        return respond(exchange, choice.reason) { errorResponses.refusedUntilPlace(exchange.id, choice.reason, choice.retryAfterMs) }
    }

    /** Refuses a request for which no target is left to try. */
    fun refuse(exchange: Exchange, reason: String, retryAfterMs: Long = OVERLOAD_RETRY_AFTER_MS): HttpResponse {
        log.log(Events.REQUEST_REFUSED, exchange, null, reason) { put("retry_after_ms", retryAfterMs) }
        return respond(exchange, reason) { errorResponses.refused(exchange.id, reason, retryAfterMs) }
    }

    /**
     * Refuses a request that [target] has turned away. If that [isLastTarget], the caller is not to return before a pause of the target is
     * over.
     */
    fun refuseAfter(exchange: Exchange, target: TargetState, result: TargetResult.NotRun, isLastTarget: Boolean): HttpResponse {
        val nowMs = timer.nowMs()
        val pauseRestMs = if (isLastTarget) target.pauseRestMs(nowMs) else 0
        return when {
            pauseRestMs > 0 -> refuse(exchange, result.reason, TargetChoice.paused("", pauseRestMs).retryAfterMs)
            exchange.table.hasLoadControl && result.notice?.showsFullTarget == true ->
                refuse(exchange, targetChooser.refusedByTarget(target, exchange.choiceContext(nowMs)))
            else -> refuse(exchange, result.reason)
        }
    }

    /** The response to a refused request says that it has not run only if no attempt may have run. */
    private fun respond(exchange: Exchange, reason: String, refusal: () -> HttpResponse): HttpResponse =
        if (exchange.possibleRuns > 0) errorResponses.unknown(exchange.id, "$reason; an earlier attempt may have run") else refusal()

    private companion object {
        const val OVERLOAD_RETRY_AFTER_MS = 100L
    }
}
