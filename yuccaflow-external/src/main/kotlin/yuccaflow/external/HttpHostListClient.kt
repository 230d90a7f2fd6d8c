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
                val answer = result.response.takeIf { it.status == STATUS_OK }?.decode(HostsAnswer.serializer())
                answer?.let { HostListResult.Listed(it.hosts.map(HostLine::toEntry)) }
                    ?: HostListResult.ListFailed("the host list answered with status ${result.response.status} and no valid list")
            }
        }
}

@Serializable
private class HostsAnswer(
    val hosts: List<HostLine>,
)

@Serializable
private class HostLine(
    val host: String,
    val zone: String,
    val state: HostLineState,
) {
    fun toEntry() = HostEntry(host, zone, if (state == HostLineState.LIVE) HostState.LIVE else HostState.LEAVING)
}

@Serializable
private enum class HostLineState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}
