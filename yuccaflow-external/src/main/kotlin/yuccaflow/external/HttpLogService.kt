package yuccaflow.external

import kotlinx.serialization.Serializable
import yuccaflow.http.HttpClient
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpResult
import yuccaflow.http.SocketAddress
import yuccaflow.http.headersOf
import java.util.Base64

/** Time to wait for the log service beyond the wait that a read asks for. */
const val DEFAULT_LOG_TIMEOUT_MS: Long = 2_000

/**
 * Creates a client of the platform's log service at [address]. The body limit of [client] must admit the largest read, whose records
 * are in Base64.
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
            is HttpResult.Answered -> appended(result.response)
        }
    }

    override suspend fun read(stream: String, fromOffset: Long, maxRecords: Int, waitMs: Long): ReadResult {
        val request = HttpRequest("GET", "/streams/$stream?from=$fromOffset&max=$maxRecords&wait_ms=$waitMs")
        return when (val result = client.send(address, request, timeoutMs + waitMs)) {
            is HttpResult.NotSent -> ReadResult.ReadFailed(result.reason)
            is HttpResult.Unknown -> ReadResult.ReadFailed(result.reason)
            is HttpResult.Answered -> readAnswer(result.response, fromOffset)
        }
    }

    private fun appended(response: HttpResponse): AppendResult {
        val answer = response.decode(AppendAnswer.serializer())
        return when {
            response.status in SUCCESS && answer != null -> AppendResult.Appended(answer.offset)
            response.status in CALLER_ERRORS -> AppendResult.NotAppended(
                "the log service refused the record with status ${response.status}",
            )
            else -> AppendResult.AppendUnknown("the log service answered with status ${response.status} and no offset")
        }
    }

    private fun readAnswer(response: HttpResponse, fromOffset: Long): ReadResult = when (response.status) {
        STATUS_OK -> response.decode(ReadAnswer.serializer())?.toRead(fromOffset)
        EXPIRED -> response.decode(ExpiredAnswer.serializer())?.let { ReadResult.Expired(it.first) }
        else -> null
    } ?: ReadResult.ReadFailed("the log service answered with status ${response.status} and no valid records")

    private companion object {
        const val EXPIRED = 410

        /** A refusal of the request itself; the service says that it did not accept the record. */
        val CALLER_ERRORS = 400..499
    }
}

@Serializable
private class AppendAnswer(
    val offset: Long,
)

@Serializable
private class ExpiredAnswer(
    val first: Long,
)

@Serializable
private class ReadAnswer(
    val first: Long,
    val end: Long,
    val records: List<RecordLine>,
) {
    /** Returns null when records are missing in between, which would make readers disagree. */
    fun toRead(fromOffset: Long): ReadResult? {
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
private class RecordLine(
    val offset: Long,
    val data: String,
)
