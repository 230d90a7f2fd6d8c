package yuccaflow.external

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.Json
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.headersOf

internal const val STATUS_OK = 200
internal val SUCCESS_STATUSES = 200..299

private val BODY_JSON = Json { ignoreUnknownKeys = true }

/** Decodes the JSON body, or returns null if it does not match [deserializer]. */
internal fun <T> HttpResponse.decode(deserializer: DeserializationStrategy<T>): T? = try {
    BODY_JSON.decodeFromString(deserializer, body.decodeToString())
} catch (_: SerializationException) {
    null
}

/** Creates a POST request with [value] as its JSON body. */
internal fun <T> jsonPost(path: String, serializer: SerializationStrategy<T>, value: T): HttpRequest =
    HttpRequest("POST", path, headersOf("Content-Type" to "application/json"), BODY_JSON.encodeToString(serializer, value).toByteArray())
