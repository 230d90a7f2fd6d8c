package yuccaflow.entry.routing

import yuccaflow.base.TimerService
import yuccaflow.entry.balance.LoadReport
import yuccaflow.entry.balance.TargetChooser
import yuccaflow.entry.balance.TargetState
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events
import yuccaflow.entry.telemetry.RouterMeters

/** Records what the attempts of requests show about the targets. */
internal class TargetFeedback(
    private val directory: TargetDirectory,
    private val chooser: TargetChooser,
    private val meters: RouterMeters,
    private val timer: TimerService,
    private val events: EventLog,
) {
    /** Records what [target] says about itself in the answer to a request that was sent at [sentAtMs]. */
    fun recordNotice(exchange: Exchange, target: TargetState, notice: TargetNotice, sentAtMs: Long) {
        notice.load?.let { recordLoad(exchange, target, it) }
        recordPause(exchange, target, notice.pause)
        if (!notice.isLeaving || target.saysItLeaves) return
        directory.recordLeaving(target, sentAtMs, exchange.id)
        meters.targetNotice(exchange.serviceConfig.name, "leaving")
    }

    private fun recordPause(exchange: Exchange, target: TargetState, request: PauseRequest) {
        if (request == PauseRequest.None) return
        val service = exchange.serviceConfig.name
        if (request !is PauseRequest.Pause) return meters.targetNotice(service, "invalid_pause")
        val wasPaused = target.pauseRestMs(timer.nowMs()) > 0
        val untilMs = timer.nowMs() + request.durationMs
        target.pauseUntil(untilMs)
        // The answer may come from an incarnation whose entry was read while the request was in progress.
        directory.latestOf(target).takeIf { it.entry.address == target.entry.address }?.pauseUntil(untilMs)
        meters.targetNotice(service, "pause")
        if (wasPaused) return
        events.log(Events.TARGET_PAUSED) {
            put("target", target.entry.id)
            put("request", exchange.id)
            put("for_ms", request.durationMs)
        }
    }

    private fun recordLoad(exchange: Exchange, target: TargetState, load: LoadReport) {
        val hasLoadControl = exchange.table.hasLoadControl
        target.recordLoad(load, timer.nowMs(), weighsByAge = hasLoadControl)
        if (hasLoadControl) chooser.observeQueue(target, exchange.route)
    }

    /**
     * Records that [target] has turned a request away. That is no failure if the target asks for a pause, in which it gets no requests
     * anyway, or if it is full. A full owner that counts as failed would get suspected, and all of its keys refused although it serves
     * them.
     */
    fun recordShed(exchange: Exchange, target: TargetState, result: TargetResult.NotRun) {
        target.recordRefusal()
        val isFull = exchange.table.hasLoadControl && result.notice?.showsFullTarget == true
        if (isFull || result.notice?.pause is PauseRequest.Pause) return
        recordFailure(target, isUnreachable = false, result.reason)
    }

    /** Records a failure of [target]. */
    fun recordFailure(target: TargetState, isUnreachable: Boolean, reason: String) {
        if (!target.recordFailure(timer.nowMs(), isUnreachable)) return
        events.log(Events.TARGET_SUSPECTED) {
            put("target", target.entry.id)
            put("reason", reason)
            put("failures_in_a_row", target.failuresInARow)
        }
    }

    /** Records that [target] has served a request. */
    fun recordSuccess(target: TargetState, nowMs: Long) {
        if (target.suspectedUntilMs > 0) events.log(Events.TARGET_RECOVERED) { put("target", target.entry.id) }
        target.recordSuccess(nowMs)
    }
}
