package yuccaflow.external

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import yuccaflow.base.TimerService
import yuccaflow.http.HttpClient
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResult
import yuccaflow.http.SocketAddress

/** Creates a client of the health and load endpoints of targets. [timer] gives the local time of their clock readings. */
fun httpTargetHealthClient(client: HttpClient, timer: TimerService): TargetHealthClient = HttpTargetHealthClient(client, timer)

internal class HttpTargetHealthClient(
    private val client: HttpClient,
    private val timer: TimerService,
) : TargetHealthClient {
    override suspend fun probe(address: SocketAddress, timeoutMs: Long): TargetCallResult =
        client.send(address, HttpRequest("GET", "/yuccaflow/health"), timeoutMs).toTargetCallResult(timer)

    override suspend fun load(address: SocketAddress, timeoutMs: Long): TargetLoadReport? {
        val result = client.send(address, HttpRequest("GET", "/yuccaflow/load"), timeoutMs)
        val response = (result as? HttpResult.Answered)?.response?.takeIf { it.status == STATUS_OK }
        return response?.decode(LoadResponse.serializer())?.let { TargetLoadReport(it.inFlight, it.slots) }
    }
}

@Serializable
private class LoadResponse(
    @SerialName("in_flight") val inFlight: Int,
    val slots: Int,
)
