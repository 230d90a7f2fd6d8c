package yuccaflow.entry.routing

import yuccaflow.base.TimerService
import yuccaflow.entry.admission.AdmissionDecision
import yuccaflow.entry.balance.TargetState
import yuccaflow.entry.telemetry.EventFields
import yuccaflow.entry.telemetry.EventLog

/** Logs the decisions on callers' requests with what they were based on. */
internal class ExchangeLog(
    private val timer: TimerService,
    private val events: EventLog,
) {
    /** Logs a decision on [exchange], with additional [fields]. */
    fun log(event: String, exchange: Exchange, target: TargetState?, outcome: String, fields: EventFields.() -> Unit = {}) =
        events.log(event) {
            putExchange(exchange, target, outcome)
            fields()
        }

    private fun EventFields.putExchange(exchange: Exchange, target: TargetState?, outcome: String) {
        val nowMs = timer.nowMs()
        put("request", exchange.id)
        put("route", exchange.route.name)
        put("service", exchange.serviceConfig.name)
        put("config_version", exchange.table.version)
        put("key", exchange.key)
        put("outcome", outcome)
        put("elapsed_ms", nowMs - exchange.startedAtMs)
        put("remaining_ms", exchange.deadlineAtMs - nowMs)
        put("sends", exchange.possibleRuns)
        put("refusals", exchange.refusals)
        if (target != null) {
            put("target", target.entry.id)
            put("target_zone", target.entry.zone)
            put("target_known_for_ms", nowMs - target.seenAtMs)
            put("target_draining_for_ms", target.draining?.let { nowMs - it.readAtMs })
            put("occupancy", target.occupancy(nowMs))
            put("slots", target.entry.slots)
            put("is_cold", target.coldUntilMs > nowMs)
        }
    }
}

/** Adds the inputs of a decision of admission control. */
internal fun EventFields.putDecision(decision: AdmissionDecision) {
    put("decision", decision.result.tag)
    put("expected_ms", decision.estimate.expectedMs.toLong())
    put("queue_ms", decision.estimate.queueMs.toLong())
    put("limit_ms", decision.limitMs.toLong())
}
