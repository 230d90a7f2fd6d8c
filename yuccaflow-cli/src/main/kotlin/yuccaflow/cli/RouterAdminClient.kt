package yuccaflow.cli

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import yuccaflow.control.AdminJson
import yuccaflow.http.HttpClient
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResult
import yuccaflow.http.SocketAddress

/** Result of a query to the admin server of a router. */
internal sealed interface RouterQueryResult<out T> {
    /** The router sent the report. */
    data class Answered<T>(
        val report: T,
    ) : RouterQueryResult<T>

    /** There was no response, or it was not a valid report. */
    data class NoAnswer(
        val reason: String,
    ) : RouterQueryResult<Nothing>
}

/** A client of the admin servers of routers. */
internal class RouterAdminClient(
    private val client: HttpClient,
) {
    /** Fetches the report at [path] from the router with the admin address [adminAddress], given as IP:PORT. */
    suspend fun <T> query(adminAddress: String, path: String, deserializer: DeserializationStrategy<T>): RouterQueryResult<T> {
        val address =
            SocketAddress.parseOrNull(adminAddress)
                ?: return RouterQueryResult.NoAnswer("expected IP:PORT as admin address, found '$adminAddress'")
        return when (val result = client.send(address, HttpRequest("GET", path), TIMEOUT_MS)) {
            is HttpResult.NotSent -> RouterQueryResult.NoAnswer(result.reason)
            is HttpResult.Unknown -> RouterQueryResult.NoAnswer(result.reason)
            is HttpResult.Answered -> try {
                if (result.response.status != STATUS_OK) {
                    return RouterQueryResult.NoAnswer("expected status 200 from $address, found ${result.response.status}")
                }
                RouterQueryResult.Answered(AdminJson.decodeFromString(deserializer, result.response.body.decodeToString()))
            } catch (_: SerializationException) {
                RouterQueryResult.NoAnswer(
                    "expected a report from $address, found an invalid response; check that this is the admin address of a router",
                )
            }
        }
    }

    private companion object {
        const val STATUS_OK = 200
        const val TIMEOUT_MS = 1_000L
    }
}
