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

/** JSON as all stand-ins read and write it. */
@OptIn(ExperimentalSerializationApi::class)
internal val StandinJson: Json = Json {
    namingStrategy = JsonNamingStrategy.SnakeCase
    encodeDefaults = true
    ignoreUnknownKeys = true
}

/** Limits of the stand-ins' servers: long polls and frozen answers must not run into a server timeout. */
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

/** The query parameter [name] of the request, or null. */
internal fun HttpRequest.query(name: String): String? =
    target
        .substringAfter('?', "")
        .split('&')
        .firstOrNull { it.startsWith("$name=") }
        ?.substringAfter('=')

/** Returns the address that [text] names, which must be `IP:PORT`. */
internal fun addressOf(text: String): SocketAddress =
    requireNotNull(SocketAddress.parseOrNull(text)) { "expected an address as IP:PORT, found \"$text\"" }

/** Prints the one line that tells a launcher that the stand-in serves, then waits for the process to be stopped. */
internal suspend fun serveUntilStopped(standin: String, addresses: Map<String, String>): Nothing {
    println(StandinJson.encodeToString(mapOf("standin" to standin) + addresses))
    awaitCancellation()
}

/** The fault switches of one stand-in, changed as a whole by JSON objects that name only what changes. */
internal class Switches<T : Any>(
    initial: T,
    private val serializer: KSerializer<T>,
) {
    private val current = AtomicReference(initial)

    /** The switches now. */
    val now: T get() = current.get()

    /** Changes the switches by [change]. */
    fun update(change: (T) -> T): T = current.updateAndGet(change)

    /** Overlays the fields of [patch]; throws [SerializationException] or [IllegalArgumentException] when it is malformed. */
    fun patch(patch: JsonObject): T = update { old ->
        val fields = StandinJson.encodeToJsonElement(serializer, old).jsonObject
        StandinJson.decodeFromJsonElement(serializer, JsonObject(fields + patch.filterKeys { it in fields }))
    }

    /** Answers `GET /switches` and `POST /switches`. */
    fun handle(request: HttpRequest): HttpResponse = answeringMistakes {
        if (request.method == "POST") patch(request.jsonBody())
        jsonResponse(OK, StandinJson.encodeToString(serializer, now))
    }
}

/** The JSON object in the body of the request. */
internal fun HttpRequest.jsonBody(): JsonObject =
    StandinJson.decodeFromString<JsonElement>(body.decodeToString()).jsonObject

/** Runs [block] and turns a malformed message into status 400. */
internal inline fun answeringMistakes(block: () -> HttpResponse): HttpResponse =
    try {
        block()
    } catch (mistake: IllegalArgumentException) {
        jsonResponse(BAD_REQUEST, mapOf("error" to (mistake.message ?: "malformed request")))
    }
