package yuccaflow.standins

import kotlinx.coroutines.awaitCancellation
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNamingStrategy
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import yuccaflow.http.HttpHeaderList
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpServerLimits
import yuccaflow.http.SocketAddress
import yuccaflow.http.headersOf
import java.util.concurrent.atomic.AtomicReference

/** JSON format of the stand-ins. */
@OptIn(ExperimentalSerializationApi::class)
internal val StandinJson: Json = Json {
    namingStrategy = JsonNamingStrategy.SnakeCase
    encodeDefaults = true
    ignoreUnknownKeys = true
}

/** Limits of the stand-ins' servers. The timeouts are long, because long polls and frozen targets must not run into them. */
internal val StandinLimits: HttpServerLimits =
    HttpServerLimits(requestTimeoutMs = 600_000, idleTimeoutMs = 600_000, bodyLimitBytes = 8_388_608)

internal const val OK = 200
internal const val CREATED = 201
internal const val BAD_REQUEST = 400
internal const val NOT_FOUND = 404
internal const val REQUEST_TIMEOUT = 408
internal const val GONE = 410
internal const val PRECONDITION_FAILED = 412
internal const val UNAVAILABLE = 503

internal fun jsonResponse(status: Int, text: String, headers: HttpHeaderList = HttpHeaderList.Empty): HttpResponse =
    HttpResponse(status, headers.with("Content-Type", "application/json"), text.encodeToByteArray())

internal fun notFound(): HttpResponse = jsonResponse(NOT_FOUND, """{"error":"not found"}""")

internal inline fun <reified T> jsonResponse(status: Int, value: T, headers: HttpHeaderList = headersOf()): HttpResponse =
    jsonResponse(status, StandinJson.encodeToString(value), headers)

/** The value of the query parameter [name], or null. */
internal fun HttpRequest.query(name: String): String? =
    target
        .substringAfter('?', "")
        .split('&')
        .firstOrNull { it.startsWith("$name=") }
        ?.substringAfter('=')

/** Parses `IP:PORT`; throws [IllegalArgumentException] when [text] is malformed. */
internal fun parseAddress(text: String): SocketAddress =
    requireNotNull(SocketAddress.parseOrNull(text)) { "expected an address of the form IP:PORT, found \"$text\"" }

/** Prints the line that tells a launcher that the stand-in accepts connections, then waits for the process to be stopped. */
internal suspend fun serveUntilStopped(standin: String, addresses: Map<String, String>): Nothing {
    println(StandinJson.encodeToString(mapOf("standin" to standin) + addresses))
    awaitCancellation()
}

/** Settings of a stand-in that can be changed at run time, among them its fault injection. Updates are atomic. */
internal class Switches<T : Any>(
    initial: T,
    private val serializer: KSerializer<T>,
) {
    private val state = AtomicReference(initial)

    val current: T get() = state.get()

    fun update(change: (T) -> T): T = state.updateAndGet(change)

    /**
     * Replaces the fields that [patch] contains and ignores unknown ones. Throws [SerializationException] or [IllegalArgumentException]
     * when the patch is malformed.
     */
    fun patch(patch: JsonObject): T = update { old ->
        val fields = StandinJson.encodeToJsonElement(serializer, old).jsonObject
        StandinJson.decodeFromJsonElement(serializer, JsonObject(fields + patch.filterKeys { it in fields }))
    }

    /** Handles `GET /switches` and `POST /switches`. */
    fun handle(request: HttpRequest): HttpResponse = rejectingMalformedRequests {
        if (request.method == "POST") patch(request.jsonBody())
        jsonResponse(OK, StandinJson.encodeToString(serializer, current))
    }
}

/** Parses the request body as a JSON object. */
internal fun HttpRequest.jsonBody(): JsonObject =
    StandinJson.decodeFromString<JsonElement>(body.decodeToString()).jsonObject

/** Runs [block] and answers with status 400 when it rejects the request as malformed. */
internal inline fun rejectingMalformedRequests(block: () -> HttpResponse): HttpResponse =
    try {
        block()
    } catch (exception: IllegalArgumentException) {
        jsonResponse(BAD_REQUEST, mapOf("error" to (exception.message ?: "malformed request")))
    }
