package yuccaflow.bench

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNamingStrategy
import yuccaflow.http.HttpClient
import yuccaflow.http.HttpClientSettings
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpResult
import yuccaflow.http.SocketAddress
import yuccaflow.http.httpClient

/** JSON format of the stand-ins. */
@OptIn(ExperimentalSerializationApi::class)
internal val BenchJson: Json = Json {
    namingStrategy = JsonNamingStrategy.SnakeCase
    ignoreUnknownKeys = true
    encodeDefaults = true
}

/** HTTP client for the control addresses of stand-ins and the admin addresses of routers. */
internal object ControlClient {
    private const val TIMEOUT_MS = 5_000L
    private const val BODY_LIMIT_BYTES = 64 * 1_048_576
    private const val OK = 200
    private val client: HttpClient = httpClient(HttpClientSettings(bodyLimitBytes = BODY_LIMIT_BYTES))

    /** Returns the response, or null when none arrived. */
    suspend fun send(address: SocketAddress, method: String, path: String, body: String = "", timeoutMs: Long = TIMEOUT_MS): HttpResponse? {
        val result = client.send(address, HttpRequest(method, path, body = body.encodeToByteArray()), timeoutMs)
        return (result as? HttpResult.Answered)?.response
    }

    /** Returns the body of a response with status 200, or null when there is none. */
    suspend fun getOrNull(address: SocketAddress, path: String): String? =
        send(address, "GET", path)?.takeIf { it.status == OK }?.body?.decodeToString()

    suspend fun get(address: SocketAddress, path: String): String =
        checkNotNull(getOrNull(address, path)) { "GET $path at $address: expected status 200, found another status or no response" }

    suspend fun json(address: SocketAddress, path: String): JsonElement = BenchJson.parseToJsonElement(get(address, path))

    suspend fun post(address: SocketAddress, path: String, body: String) {
        val response = send(address, "POST", path, body)
        check(response?.status == OK) { "POST $path at $address: expected status 200, found ${response?.status}" }
    }
}
