package yuccaflow.external

import kotlinx.serialization.Serializable
import yuccaflow.http.HttpClient
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpResult
import yuccaflow.http.SocketAddress
import yuccaflow.http.headersOf
import java.util.Base64

/** Default time to wait for a response of the log service, in addition to the wait that a read requests from the service. */
const val DEFAULT_LOG_TIMEOUT_MS: Long = 2_000

/**
 * Creates a client of the platform's log service at [address].
 *
 * The body limit of [client] must allow for the largest read, whose records are encoded in Base64. A call fails if there is no response
 * within [timeoutMs], to which a read adds the wait that it requests from the service.
 */
fun httpLogService(client: HttpClient, address: SocketAddress, timeoutMs: Long = DEFAULT_LOG_TIMEOUT_MS): LogService =
    HttpLogService(client, address, timeoutMs)

internal class HttpLogService(
    private val client: HttpClient,
    private val address: SocketAddress,
    private val timeoutMs: Long,
) : LogService {
    override suspend fun append(stream: String, data: ByteArray): AppendResult {
        val request = HttpRequest("POST", "/streams/$stream", headersOf("Content-Type" to "application/octet-stream"), data)
        return when (val result = client.send(address, request, timeoutMs)) {
            is HttpResult.NotSent -> AppendResult.NotAppended(result.reason)
            is HttpResult.Unknown -> AppendResult.AppendUnknown(result.reason)
            is HttpResult.Answered -> toAppendResult(result.response)
        }
    }

    override suspend fun read(stream: String, fromOffset: Long, maxRecords: Int, waitMs: Long): ReadResult {
        val request = HttpRequest("GET", "/streams/$stream?from=$fromOffset&max=$maxRecords&wait_ms=$waitMs")
        return when (val result = client.send(address, request, timeoutMs + waitMs)) {
            is HttpResult.NotSent -> ReadResult.ReadFailed(result.reason)
            is HttpResult.Unknown -> ReadResult.ReadFailed(result.reason)
            is HttpResult.Answered -> toReadResult(result.response, fromOffset)
        }
    }

    private fun toAppendResult(response: HttpResponse): AppendResult {
        val body = response.decode(AppendResponse.serializer())
        return when {
            response.status in SUCCESS_STATUSES && body != null -> AppendResult.Appended(body.offset)
            response.status in CLIENT_ERRORS -> AppendResult.NotAppended(
                "the log service refused the record with status ${response.status}",
            )
            else -> AppendResult.AppendUnknown("the log service answered with status ${response.status} and no offset")
        }
    }

    private fun toReadResult(response: HttpResponse, fromOffset: Long): ReadResult = when (response.status) {
        STATUS_OK -> response.decode(ReadResponse.serializer())?.toReadResult(fromOffset)
        STATUS_GONE -> response.decode(ExpiredResponse.serializer())?.let { ReadResult.Expired(it.first) }
        else -> null
    } ?: ReadResult.ReadFailed("the log service answered with status ${response.status} and no valid records")

    private companion object {
        /** The requested offset has expired. */
        const val STATUS_GONE = 410

        /** The service rejected the request itself, so it has not stored the record. */
        val CLIENT_ERRORS = 400..499
    }
}

@Serializable
private class AppendResponse(
    val offset: Long,
)

@Serializable
private class ExpiredResponse(
    val first: Long,
)

@Serializable
private class ReadResponse(
    val first: Long,
    val end: Long,
    val records: List<RecordJson>,
) {
    /** Returns null if a record is missing or cannot be decoded. Readers that skipped it would end up with different states. */
    fun toReadResult(fromOffset: Long): ReadResult? {
        if (records.withIndex().any { (index, record) -> record.offset != fromOffset + index }) return null
        val decoded = try {
            records.map { LogRecord(it.offset, Base64.getDecoder().decode(it.data)) }
        } catch (_: IllegalArgumentException) {
            return null
        }
        return ReadResult.Read(decoded, first, end)
    }
}

@Serializable
private class RecordJson(
    val offset: Long,
    val data: String,
)
