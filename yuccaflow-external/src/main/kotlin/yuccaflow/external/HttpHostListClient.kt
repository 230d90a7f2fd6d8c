package yuccaflow.external

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import yuccaflow.http.HttpClient
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResult
import yuccaflow.http.SocketAddress

private const val HOST_LIST_TIMEOUT_MS = 1_000L

/** Creates a client of the platform's host list at [address]. */
fun httpHostListClient(client: HttpClient, address: SocketAddress): HostListClient = HttpHostListClient(client, address)

internal class HttpHostListClient(
    private val client: HttpClient,
    private val address: SocketAddress,
) : HostListClient {
    override suspend fun hosts(): HostListResult =
        when (val result = client.send(address, HttpRequest("GET", "/hosts"), HOST_LIST_TIMEOUT_MS)) {
            is HttpResult.NotSent -> HostListResult.ListFailed(result.reason)
            is HttpResult.Unknown -> HostListResult.ListFailed(result.reason)
            is HttpResult.Answered -> {
                val body = result.response.takeIf { it.status == STATUS_OK }?.decode(HostsResponse.serializer())
                body?.let { HostListResult.Listed(it.hosts.map(HostJson::toHostEntry)) }
                    ?: HostListResult.ListFailed("expected a valid host list, found a response with status ${result.response.status}")
            }
        }
}

@Serializable
private class HostsResponse(
    val hosts: List<HostJson>,
)

@Serializable
private class HostJson(
    val host: String,
    val zone: String,
    val state: HostStateJson,
) {
    fun toHostEntry() = HostEntry(host, zone, if (state == HostStateJson.LIVE) HostState.LIVE else HostState.LEAVING)
}

@Serializable
private enum class HostStateJson {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}
