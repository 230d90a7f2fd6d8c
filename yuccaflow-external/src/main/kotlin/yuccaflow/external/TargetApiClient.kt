package yuccaflow.external

import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.SocketAddress

/** A key range in a grant; null [to] means unbounded. */
data class GrantedRange(
    val service: String,
    val from: String,
    val to: String?,
    val epoch: Long,
)

/** A reading of a target's own monotonic clock. [readAtMs] is the local monotonic time at which the answer arrived. */
data class TargetClock(
    val instance: String,
    val clockMs: Long,
    val readAtMs: Long,
) {
    /** The target's clock value that is reached no later than local time [localMs]. */
    fun clockMsAt(localMs: Long): Long = clockMs + (localMs - readAtMs)
}

/** A grant of all ranges of one target at once; it replaces the earlier grant of the same primary. */
data class GrantRequest(
    val ranges: List<GrantedRange>,
    val primaryEpoch: Long,
    val expiresAtClockMs: Long,
    val instance: String,
)

/** Result of a grant, a revocation or a probe. */
sealed interface TargetCallResult {
    /** The target carried out the request. */
    data class Done(
        val clock: TargetClock,
    ) : TargetCallResult

    /** The target answered and refused. [clock] is its present reading, if it sent one. */
    data class Refused(
        val status: Int,
        val reason: String,
        val clock: TargetClock?,
    ) : TargetCallResult

    /** No answer; the order may or may not have been carried out. */
    data class NoAnswer(
        val reason: String,
    ) : TargetCallResult
}

/** Result of sending work to a target. */
sealed interface WorkResult {
    /** The target ran the request and answered it. */
    data class Answered(
        val response: HttpResponse,
        val clock: TargetClock?,
    ) : WorkResult

    /** The request was certainly not run: it never left, or the target itself said so. [isShed] tells that the target was full. */
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

/** The limits that travel with one request to a target. */
data class WorkLimits(
    val requestId: String,
    val epoch: Long,
    val primaryEpoch: Long,
    val runBeforeClockMs: Long?,
    val timeoutMs: Long,
)

/** Orders to one target. */
interface TargetApiClient {
    /** Grants ranges until the expiry of [request]. */
    suspend fun grant(address: SocketAddress, request: GrantRequest, timeoutMs: Long): TargetCallResult

    /** Withdraws ranges; the target refuses work for them from then on if it checks fences. */
    suspend fun revoke(address: SocketAddress, ranges: List<GrantedRange>, timeoutMs: Long): TargetCallResult

    /** Sends [request] as work. */
    suspend fun sendWork(address: SocketAddress, request: HttpRequest, limits: WorkLimits): WorkResult

    /** Asks the target to cancel a running request. Best effort. */
    suspend fun cancel(address: SocketAddress, requestId: String)
}

/** A target's own report of its load; it may be seconds old or wrong. */
data class TargetLoadReport(
    val inFlight: Int,
    val slots: Int,
)

/** A target's health and load endpoints. Both lag or mislead, so they are hints. */
interface TargetHealthClient {
    /** Probes the target and reads its clock. */
    suspend fun probe(address: SocketAddress, timeoutMs: Long): TargetCallResult

    /** Reads the load report, or null when there is none. */
    suspend fun load(address: SocketAddress, timeoutMs: Long): TargetLoadReport?
}
