package yuccaflow.external

import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.SocketAddress

/** The key range from [from] up to but excluding [to], granted under the fencing token [epoch]. A null [to] means unbounded. */
data class GrantedRange(
    val service: String,
    val from: String,
    val to: String?,
    val epoch: Long,
)

/**
 * A reading of a target's monotonic clock.
 *
 * [instance] identifies the running process of the target; the clocks of two instances are not comparable. [readAtMs] is the local
 * monotonic time at which the response with the reading arrived.
 */
data class TargetClock(
    val instance: String,
    val clockMs: Long,
    val readAtMs: Long,
) {
    /**
     * Returns a time of the target's clock that it reaches no later than the local time [localMs], provided that it does not run slower
     * than the local clock. It may reach it earlier, since the reading was already some time old when it arrived.
     */
    fun clockMsAt(localMs: Long): Long = clockMs + (localMs - readAtMs)
}

/**
 * Grants all ranges of one target at once. Replaces the earlier grant of the same primary, and expires at [expiresAtClockMs] of the
 * clock of the target's [instance].
 */
data class GrantRequest(
    val ranges: List<GrantedRange>,
    val primaryEpoch: Long,
    val expiresAtClockMs: Long,
    val instance: String,
)

/** Result of a grant, a revocation or a probe. */
sealed interface TargetCallResult {
    /** The target completed the call. */
    data class Done(
        val clock: TargetClock,
    ) : TargetCallResult

    /** The target rejected the call. [clock] is its current reading, if the response has one. */
    data class Refused(
        val status: Int,
        val reason: String,
        val clock: TargetClock?,
    ) : TargetCallResult

    /** There was no valid response; the target may or may not have completed the call. */
    data class NoAnswer(
        val reason: String,
    ) : TargetCallResult
}

/** Result of sending a caller's request to a target. */
sealed interface WorkResult {
    /** The target ran the request and responded to it. */
    data class Answered(
        val response: HttpResponse,
        val clock: TargetClock?,
    ) : WorkResult

    /**
     * The request is known not to have run, because it was never sent or because the target said so. [isShed] is true if the target
     * rejected it for lack of capacity.
     */
    data class NotRun(
        val reason: String,
        val isShed: Boolean,
        val clock: TargetClock?,
    ) : WorkResult

    /** The request may or may not have run. */
    data class Unknown(
        val reason: String,
    ) : WorkResult
}

/**
 * Identity, fencing tokens and time limits that are sent along with one request.
 *
 * The target checks [epoch] and [primaryEpoch] if it supports fencing. It neither starts nor continues the request after
 * [runBeforeClockMs] of its own clock. The client waits [timeoutMs] for the response.
 */
data class WorkLimits(
    val requestId: String,
    val epoch: Long,
    val primaryEpoch: Long,
    val runBeforeClockMs: Long?,
    val timeoutMs: Long,
)

/** A client of the API of targets: control calls, and requests of callers. */
interface TargetApiClient {
    /** Grants the ranges of [request] until it expires. */
    suspend fun grant(address: SocketAddress, request: GrantRequest, timeoutMs: Long): TargetCallResult

    /** Revokes [ranges]. From then on, the target rejects requests for them if it supports fencing. */
    suspend fun revoke(address: SocketAddress, ranges: List<GrantedRange>, timeoutMs: Long): TargetCallResult

    /** Sends [request] to be run under [limits]. */
    suspend fun sendWork(address: SocketAddress, request: HttpRequest, limits: WorkLimits): WorkResult

    /** Asks the target to cancel a running request. Best effort: failures are ignored. */
    suspend fun cancel(address: SocketAddress, requestId: String)
}

/** A target's own report of its load. It may be inaccurate or several seconds old. */
data class TargetLoadReport(
    val inFlight: Int,
    val slots: Int,
)

/** A client of the health and load endpoints of targets. What they report may be stale or wrong, so it serves only as a hint. */
interface TargetHealthClient {
    /** Probes the target and reads its clock. */
    suspend fun probe(address: SocketAddress, timeoutMs: Long): TargetCallResult

    /** Reads the load report. Returns null if the target sends no valid report in time. */
    suspend fun load(address: SocketAddress, timeoutMs: Long): TargetLoadReport?
}
