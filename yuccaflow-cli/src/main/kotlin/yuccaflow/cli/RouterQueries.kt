package yuccaflow.cli

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import yuccaflow.control.AdminJson
import yuccaflow.http.HttpClient
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResult
import yuccaflow.http.SocketAddress

/** Result of asking a router. */
internal sealed interface RouterAnswer<out T> {
    /** The router answered. */
    data class Answered<T>(
        val report: T,
    ) : RouterAnswer<T>

    /** There is no usable answer. */
    data class NoAnswer(
        val reason: String,
    ) : RouterAnswer<Nothing>
}

/** Asks the admin servers of routers. */
internal class RouterQueries(
    private val client: HttpClient,
) {
    /** Reads the report at [path] of the router with this admin address. */
    suspend fun <T> ask(adminAddress: String, path: String, shape: DeserializationStrategy<T>): RouterAnswer<T> {
        val address = SocketAddress.parseOrNull(adminAddress) ?: return RouterAnswer.NoAnswer("'$adminAddress' is not an address")
        return when (val result = client.send(address, HttpRequest("GET", path), TIMEOUT_MS)) {
            is HttpResult.NotSent -> RouterAnswer.NoAnswer(result.reason)
            is HttpResult.Unknown -> RouterAnswer.NoAnswer(result.reason)
            is HttpResult.Answered -> try {
                if (result.response.status != OK) return RouterAnswer.NoAnswer("$address answered with status ${result.response.status}")
                RouterAnswer.Answered(AdminJson.decodeFromString(shape, result.response.body.decodeToString()))
            } catch (_: SerializationException) {
                RouterAnswer.NoAnswer("$address answered with another shape; is it the admin address of a router?")
            }
        }
    }

    private companion object {
        const val OK = 200
        const val TIMEOUT_MS = 1_000L
    }
}
