package yuccaflow.external

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import yuccaflow.base.TimerService
import yuccaflow.http.HttpClient
import yuccaflow.http.HttpHeader
import yuccaflow.http.HttpHeaderList
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpResult
import yuccaflow.http.SocketAddress

/** Creates a client of the HTTP API of targets. [timer] gives the local time of their clock readings. */
fun httpTargetApiClient(client: HttpClient, timer: TimerService): TargetApiClient = HttpTargetApiClient(client, timer)

internal class HttpTargetApiClient(
    private val client: HttpClient,
    private val timer: TimerService,
) : TargetApiClient {
    override suspend fun grant(address: SocketAddress, request: GrantRequest, timeoutMs: Long): TargetCallResult {
        val body = GrantBody(request.ranges.map(::RangeJson), request.primaryEpoch, request.expiresAtClockMs, request.instance)
        return client.send(address, jsonPost("/yuccaflow/grants", GrantBody.serializer(), body), timeoutMs).toTargetCallResult(timer)
    }

    override suspend fun revoke(address: SocketAddress, ranges: List<GrantedRange>, timeoutMs: Long): TargetCallResult {
        val body = RevokeBody(ranges.map(::RangeJson))
        return client.send(address, jsonPost("/yuccaflow/revoke", RevokeBody.serializer(), body), timeoutMs).toTargetCallResult(timer)
    }

    override suspend fun sendWork(address: SocketAddress, request: HttpRequest, limits: WorkLimits): WorkResult {
        val workRequest = HttpRequest(request.method, request.target, workHeaders(request.headers, limits), request.body)
        return when (val result = client.send(address, workRequest, limits.timeoutMs, limits.requestId)) {
            is HttpResult.NotSent -> WorkResult.NotRun(result.reason, isShed = false, clock = null)
            is HttpResult.Unknown -> WorkResult.Unknown(result.reason)
            is HttpResult.Answered -> toWorkResult(result.response, limits)
        }
    }

    override suspend fun cancel(address: SocketAddress, requestId: String) {
        client.send(address, HttpRequest("POST", "/yuccaflow/cancel/$requestId"), CANCEL_TIMEOUT_MS)
    }

    private fun toWorkResult(response: HttpResponse, limits: WorkLimits): WorkResult {
        val clock = response.targetClock(timer.nowMs())
        val outcome = response.headers[OUTCOME_HEADER]
        return when {
            // Without the expected id, this may be the response to another request.
            response.headers[REQUEST_ID_HEADER] != limits.requestId -> WorkResult.Unknown("the answer does not carry the request id")
            outcome == OUTCOME_NOT_RUN -> WorkResult.NotRun(
                response.refusalReason(),
                isShed = response.status == STATUS_SERVICE_UNAVAILABLE,
                clock = clock,
            )
            outcome != null -> WorkResult.Unknown("the target answered with outcome $outcome")
            else -> WorkResult.Answered(response, clock)
        }
    }

    private fun workHeaders(headers: HttpHeaderList, limits: WorkLimits): HttpHeaderList {
        // Targets trust these headers, so those of the caller must not be passed on.
        val kept = headers.lines.filterNot {
            it.name.startsWith(HEADER_PREFIX, ignoreCase = true) || it.name.equals(REQUEST_ID_HEADER, ignoreCase = true)
        }
        val added = listOfNotNull(
            HttpHeader(REQUEST_ID_HEADER, limits.requestId),
            HttpHeader("Yuccaflow-Epoch", limits.epoch.toString()),
            HttpHeader("Yuccaflow-Primary-Epoch", limits.primaryEpoch.toString()),
            limits.runBeforeClockMs?.let { HttpHeader("Yuccaflow-Run-Before", it.toString()) },
        )
        return HttpHeaderList(kept + added)
    }

    private companion object {
        const val HEADER_PREFIX = "Yuccaflow-"
        const val STATUS_SERVICE_UNAVAILABLE = 503

        /** Cancellation only saves work at the target, so a long wait for it does not pay off. */
        const val CANCEL_TIMEOUT_MS = 500L
    }
}

@Serializable
private class RangeJson(
    val service: String,
    val from: String,
    val to: String?,
    val epoch: Long,
) {
    constructor(range: GrantedRange) : this(range.service, range.from, range.to, range.epoch)
}

@Serializable
private class GrantBody(
    val ranges: List<RangeJson>,
    @SerialName("primary_epoch") val primaryEpoch: Long,
    @SerialName("expires_at_clock_ms") val expiresAtClockMs: Long,
    val instance: String,
)

@Serializable
private class RevokeBody(
    val ranges: List<RangeJson>,
)
