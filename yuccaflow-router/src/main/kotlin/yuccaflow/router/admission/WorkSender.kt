package yuccaflow.router.admission

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import org.tinylog.Logger
import yuccaflow.base.TimerService
import yuccaflow.control.TargetId
import yuccaflow.control.TargetSpec
import yuccaflow.external.TargetClock
import yuccaflow.external.TargetOrders
import yuccaflow.external.WorkLimits
import yuccaflow.external.WorkResult
import yuccaflow.http.HttpHeader
import yuccaflow.http.HttpHeaderList
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.SocketAddress
import yuccaflow.router.ownership.TargetObserver
import yuccaflow.router.ownership.WorkPermit
import yuccaflow.router.peer.ForwardOutcome
import yuccaflow.router.peer.HeaderLine
import yuccaflow.router.peer.NotRunCause
import yuccaflow.router.peer.PeerMessage.ForwardRequest

/** Part by which the clock of a target may run slower than ours, as the design assumes. */
private const val CLOCK_DRIFT = 0.02

/** Added where a limit that is exact in real time is counted in whole milliseconds of two clocks. */
private const val CLOCK_ROUNDING_MS = 2L

/** One request that may be sent now. */
internal class PermittedAttempt(
    val request: ForwardRequest,
    val target: TargetSpec,
    val traceparent: String,
    val deadlineMs: Long,
    val permit: WorkPermit.Granted,
    /** Tells that another attempt may follow: a lost one then says nothing of the target's speed. */
    val isFirstOfTwo: Boolean,
)

/** Sends admitted work and gives its slot back when it can no longer run at the target. */
internal class WorkSender(
    private val orders: TargetOrders,
    private val observer: TargetObserver,
    private val timer: TimerService,
) {
    /** Sends [order] in the slot of [work]. Completes [outcome] as soon as it is known, and returns when the slot is free again. */
    suspend fun send(order: PermittedAttempt, lane: TargetLimiter, work: TrackedRequest, outcome: CompletableDeferred<ForwardOutcome>) {
        val sentMs = timer.nowMs()
        try {
            val result = workResult(order, sentMs)
            if (result is WorkResult.Unknown) work.lostUntilMs = runsUntilMs(order)
            val lostEarly = order.isFirstOfTwo && result is WorkResult.Unknown
            note(order.target.id, lane, result, if (lostEarly) 0 else timer.nowMs() - sentMs)
            outcome.complete(outcomeOf(result))
            // The request may still run at the target; it stops there at its deadline, which the target keeps by its own clock.
            work.lostUntilMs?.let { timer.sleep((it - timer.nowMs()).coerceAtLeast(0)) }
        } finally {
            outcome.complete(ForwardOutcome.Unknown("the router stopped"))
            lane.finish(work)
        }
    }

    /** Asks the target to stop a request whose answer nobody waits for. */
    suspend fun cancel(target: TargetSpec, requestId: String) {
        SocketAddress.parseOrNull(target.address)?.let { orders.cancel(it, requestId) }
    }

    private suspend fun workResult(order: PermittedAttempt, nowMs: Long): WorkResult {
        val address = SocketAddress.parseOrNull(order.target.address)
            ?: return WorkResult.NotRun("expected IP:PORT as address, found ${order.target.address}", shed = false, clock = null)
        val limits = WorkLimits(
            requestId = order.request.requestId,
            epoch = order.permit.epoch,
            primaryEpoch = order.permit.primaryEpoch,
            runBeforeClockMs = order.permit.clock?.atLocal(order.deadlineMs),
            timeoutMs = order.deadlineMs - nowMs,
        )
        return try {
            orders.work(address, httpRequest(order), limits)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            Logger.error(e, "Sending request {} to {} failed", order.request.requestId, order.target.id)
            WorkResult.Unknown("internal error: ${e.message}")
        }
    }

    private fun httpRequest(order: PermittedAttempt): HttpRequest {
        val headers = HttpHeaderList(order.request.headers.map { HttpHeader(it.name, it.value) }).with("traceparent", order.traceparent)
        return HttpRequest(order.request.method, order.request.requestTarget, headers, order.request.body)
    }

    /** Time at which the target's clock has passed the request's run-before even if that clock is slow since it was last read. */
    private fun runsUntilMs(order: PermittedAttempt): Long {
        val readAtMs = order.permit.clock?.readAtMs ?: return order.deadlineMs + CLOCK_ROUNDING_MS
        return order.deadlineMs + ((order.deadlineMs - readAtMs) * CLOCK_DRIFT).toLong() + CLOCK_ROUNDING_MS
    }

    private fun note(target: TargetId, lane: TargetLimiter, result: WorkResult, elapsedMs: Long) {
        when (result) {
            is WorkResult.Answered -> {
                seen(target, lane, result.clock)
                lane.answered(elapsedMs)
            }

            is WorkResult.NotRun -> {
                seen(target, lane, result.clock)
                if (result.shed) {
                    lane.shed()
                } else if (result.clock == null) {
                    failed(target, lane, result.reason, elapsedMs)
                }
            }

            is WorkResult.Unknown -> failed(target, lane, result.reason, elapsedMs)
        }
    }

    private fun seen(target: TargetId, lane: TargetLimiter, clock: TargetClock?) {
        if (clock == null) return
        lane.seen(clock.instance)
        observer.answered(target, clock)
    }

    private fun failed(target: TargetId, lane: TargetLimiter, reason: String, elapsedMs: Long) {
        lane.failed(elapsedMs)
        observer.failed(target, reason)
    }

    private fun outcomeOf(result: WorkResult): ForwardOutcome =
        when (result) {
            is WorkResult.Answered -> answered(result.response)

            is WorkResult.NotRun -> {
                val cause = when {
                    result.shed -> NotRunCause.OVERLOADED
                    result.clock == null -> NotRunCause.UNREACHABLE
                    else -> NotRunCause.NOT_RESPONSIBLE
                }
                ForwardOutcome.NotRun(result.reason, cause)
            }

            is WorkResult.Unknown -> ForwardOutcome.Unknown(result.reason)
        }

    private fun answered(response: HttpResponse) =
        ForwardOutcome.Answered(response.status, response.headers.lines.map { HeaderLine(it.name, it.value) }, response.body)
}
