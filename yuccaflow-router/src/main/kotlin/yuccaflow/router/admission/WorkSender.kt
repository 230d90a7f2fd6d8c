package yuccaflow.router.admission

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import org.tinylog.Logger
import yuccaflow.base.TimerService
import yuccaflow.control.TargetId
import yuccaflow.control.TargetSpec
import yuccaflow.external.TargetApiClient
import yuccaflow.external.TargetClock
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

/** Assumed upper bound of the fraction by which the clock of a target is slower than the clock of this router. */
private const val MAX_CLOCK_DRIFT = 0.02

/** Compensates for the rounding of two clocks to whole milliseconds. */
private const val CLOCK_ROUNDING_MS = 2L

/** One attempt at a request, with the permit to send it now. It may run until [deadlineMs], which is local monotonic time. */
internal class PermittedAttempt(
    val request: ForwardRequest,
    val target: TargetSpec,
    val traceparent: String,
    val deadlineMs: Long,
    val permit: WorkPermit.Granted,
    /** Whether another attempt may follow. If so, the loss of this one says nothing about the speed of the target. */
    val mayBeRetried: Boolean,
)

/** Sends admitted requests to their target and frees their slots once they can no longer be running there. */
internal class WorkSender(
    private val targetApi: TargetApiClient,
    private val observer: TargetObserver,
    private val timer: TimerService,
) {
    /** Sends [attempt] in the slot of [tracked]. Completes [outcome] as soon as it is known, and returns once the slot is free again. */
    suspend fun send(
        attempt: PermittedAttempt,
        limiter: TargetLimiter,
        tracked: TrackedRequest,
        outcome: CompletableDeferred<ForwardOutcome>,
    ) {
        val sentMs = timer.nowMs()
        try {
            val result = workResult(attempt, sentMs)
            if (result is WorkResult.Unknown) tracked.mayRunUntilMs = executionEndMs(attempt)
            val lostEarly = attempt.mayBeRetried && result is WorkResult.Unknown
            recordResult(attempt.target.id, limiter, result, if (lostEarly) 0 else timer.nowMs() - sentMs)
            outcome.complete(outcomeOf(result))
            // The request may still be running. The target stops it at its deadline, which it enforces by its own clock.
            tracked.mayRunUntilMs?.let { timer.sleep((it - timer.nowMs()).coerceAtLeast(0)) }
        } finally {
            outcome.complete(ForwardOutcome.Unknown("the router stopped"))
            limiter.release(tracked)
        }
    }

    /** Asks [target] to stop a request whose caller no longer waits for the answer. */
    suspend fun cancel(target: TargetSpec, requestId: String) {
        SocketAddress.parseOrNull(target.address)?.let { targetApi.cancel(it, requestId) }
    }

    private suspend fun workResult(attempt: PermittedAttempt, nowMs: Long): WorkResult {
        val address = SocketAddress.parseOrNull(attempt.target.address)
            ?: return WorkResult.NotRun("expected IP:PORT as address, found ${attempt.target.address}", isShed = false, clock = null)
        val limits = WorkLimits(
            requestId = attempt.request.requestId,
            epoch = attempt.permit.epoch,
            primaryEpoch = attempt.permit.primaryEpoch,
            runBeforeClockMs = attempt.permit.clock?.clockMsAt(attempt.deadlineMs),
            timeoutMs = attempt.deadlineMs - nowMs,
        )
        return try {
            targetApi.sendWork(address, httpRequest(attempt), limits)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            Logger.error(e, "sending request {} to target {} failed", attempt.request.requestId, attempt.target.id)
            WorkResult.Unknown("internal error: ${e.message}")
        }
    }

    private fun httpRequest(attempt: PermittedAttempt): HttpRequest {
        val headers = HttpHeaderList(attempt.request.headers.map { HttpHeader(it.name, it.value) }).with("traceparent", attempt.traceparent)
        return HttpRequest(attempt.request.method, attempt.request.requestTarget, headers, attempt.request.body)
    }

    /** Returns the local time at which the target's clock has passed the deadline, even if it has run slow since its last reading. */
    private fun executionEndMs(attempt: PermittedAttempt): Long {
        val readAtMs = attempt.permit.clock?.readAtMs ?: return attempt.deadlineMs + CLOCK_ROUNDING_MS
        return attempt.deadlineMs + ((attempt.deadlineMs - readAtMs) * MAX_CLOCK_DRIFT).toLong() + CLOCK_ROUNDING_MS
    }

    private fun recordResult(target: TargetId, limiter: TargetLimiter, result: WorkResult, elapsedMs: Long) {
        when (result) {
            is WorkResult.Answered -> {
                recordClock(target, limiter, result.clock)
                limiter.recordAnswer(elapsedMs)
            }

            is WorkResult.NotRun -> {
                recordClock(target, limiter, result.clock)
                if (result.isShed) {
                    limiter.recordShed()
                } else if (result.clock == null) {
                    recordFailure(target, limiter, result.reason, elapsedMs)
                }
            }

            is WorkResult.Unknown -> recordFailure(target, limiter, result.reason, elapsedMs)
        }
    }

    private fun recordClock(target: TargetId, limiter: TargetLimiter, clock: TargetClock?) {
        if (clock == null) return
        limiter.recordInstance(clock.instance)
        observer.answered(target, clock)
    }

    private fun recordFailure(target: TargetId, limiter: TargetLimiter, reason: String, elapsedMs: Long) {
        limiter.recordFailure(elapsedMs)
        observer.failed(target, reason)
    }

    private fun outcomeOf(result: WorkResult): ForwardOutcome =
        when (result) {
            is WorkResult.Answered -> answered(result.response)

            is WorkResult.NotRun -> {
                val cause = when {
                    result.isShed -> NotRunCause.OVERLOADED
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
