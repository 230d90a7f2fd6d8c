package yuccaflow.standins

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import yuccaflow.http.HttpHandler
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap

/** Fault injection switches of the log service. */
@Serializable
internal data class LogSwitches(
    /** Requests get no response and have no effect. */
    val down: Boolean = false,
    /** Requests are answered with 503 at once and have no effect. */
    val refuse: Boolean = false,
    /** Delay before a request takes effect. */
    val slowMs: Long = 0,
    /** Number of appends, starting with the next, that take effect but get no response. */
    val loseAppendAnswers: Int = 0,
    val retentionMs: Long = Long.MAX_VALUE,
    val retentionCount: Int = Int.MAX_VALUE,
)

@Serializable
private data class RecordEntry(
    val offset: Long,
    val data: String,
)

@Serializable
private data class ReadResponse(
    val first: Long,
    val end: Long,
    val records: List<RecordEntry>,
)

private const val DEFAULT_MAX_RECORDS = 1_000

/** In-memory implementation of the platform's log service. */
internal class LogStandin(
    private val nowMs: () -> Long = { System.nanoTime() / NANOS_PER_MS },
) : HttpHandler {
    val switches = Switches(LogSwitches(), LogSwitches.serializer())
    private val streams = ConcurrentHashMap<String, MemoryStream>()

    override suspend fun handle(request: HttpRequest): HttpResponse {
        if (request.path == "/switches") return switches.handle(request)
        if (!request.path.startsWith("/streams/")) return notFound()
        suspendIfDown()
        if (switches.current.refuse) return jsonResponse(UNAVAILABLE, mapOf("error" to "refused by switch"))
        delay(switches.current.slowMs)
        val stream = streams.computeIfAbsent(request.path.removePrefix("/streams/")) { MemoryStream() }
        return if (request.method == "POST") append(stream, request) else read(stream, request)
    }

    private suspend fun suspendIfDown() {
        if (switches.current.down) awaitCancellation()
    }

    private suspend fun append(stream: MemoryStream, request: HttpRequest): HttpResponse {
        val offset = stream.append(request.body, nowMs())
        var losesAnswer = false
        switches.update {
            losesAnswer = it.loseAppendAnswers > 0
            if (losesAnswer) it.copy(loseAppendAnswers = it.loseAppendAnswers - 1) else it
        }
        if (losesAnswer) awaitCancellation()
        return jsonResponse(CREATED, mapOf("offset" to offset))
    }

    private suspend fun read(stream: MemoryStream, request: HttpRequest): HttpResponse {
        val from = request.query("from")?.toLongOrNull() ?: 1
        val max = request.query("max")?.toIntOrNull() ?: DEFAULT_MAX_RECORDS
        val waitMs = request.query("wait_ms")?.toLongOrNull() ?: 0
        if (waitMs > 0) withTimeoutOrNull(waitMs) { stream.end.first { it > from } }
        suspendIfDown()
        stream.expire(nowMs() - switches.current.retentionMs, switches.current.retentionCount)
        val body = stream.read(from, max)
        if (from < body.first) return jsonResponse(GONE, mapOf("first" to body.first))
        return jsonResponse(OK, body)
    }

    private class MemoryStream {
        private class StoredRecord(
            val offset: Long,
            val data: ByteArray,
            val appendedAtMs: Long,
        )

        private val records = ArrayDeque<StoredRecord>()
        val end = MutableStateFlow(1L)

        fun append(data: ByteArray, nowMs: Long): Long = synchronized(records) {
            val offset = end.value
            records.addLast(StoredRecord(offset, data, nowMs))
            end.value = offset + 1
            offset
        }

        fun expire(oldestMs: Long, count: Int): Unit = synchronized(records) {
            while (records.size > count || (records.isNotEmpty() && records.first().appendedAtMs < oldestMs)) records.removeFirst()
        }

        fun read(from: Long, max: Int): ReadResponse = synchronized(records) {
            val first = records.firstOrNull()?.offset ?: end.value
            val startIndex = (from - first).coerceIn(0, records.size.toLong()).toInt()
            val endIndex = minOf(records.size.toLong(), startIndex + max.toLong()).toInt()
            val encoder = Base64.getEncoder()
            val found = if (from < first) emptyList() else records.subList(startIndex, endIndex)
            ReadResponse(first, end.value, found.map { RecordEntry(it.offset, encoder.encodeToString(it.data)) })
        }
    }
}

internal const val NANOS_PER_MS = 1_000_000L
