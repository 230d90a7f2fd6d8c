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

/** Faults of the log service. */
@Serializable
internal data class LogSwitches(
    /** Requests get no answer and have no effect. */
    val down: Boolean = false,
    /** Requests are answered 503 at once and have no effect. */
    val refuse: Boolean = false,
    /** Delay of each request before it takes effect. */
    val slowMs: Long = 0,
    /** The next appends that take effect but get no answer. */
    val loseAppendAnswers: Int = 0,
    val retentionMs: Long = Long.MAX_VALUE,
    val retentionCount: Int = Int.MAX_VALUE,
)

@Serializable
private data class RecordBody(
    val offset: Long,
    val data: String,
)

@Serializable
private data class ReadBody(
    val first: Long,
    val end: Long,
    val records: List<RecordBody>,
)

private const val DEFAULT_MAX_RECORDS = 1_000

/** The platform's log service, in memory. */
internal class LogStandin(
    private val nowMs: () -> Long = { System.nanoTime() / NANOS_PER_MS },
) : HttpHandler {
    val switches = Switches(LogSwitches(), LogSwitches.serializer())
    private val streams = ConcurrentHashMap<String, MemoryStream>()

    override suspend fun handle(request: HttpRequest): HttpResponse {
        if (request.path == "/switches") return switches.handle(request)
        if (!request.path.startsWith("/streams/")) return notFound()
        failIfDown()
        if (switches.now.refuse) return jsonResponse(UNAVAILABLE, mapOf("error" to "refused by switch"))
        delay(switches.now.slowMs)
        val stream = streams.computeIfAbsent(request.path.removePrefix("/streams/")) { MemoryStream() }
        return if (request.method == "POST") append(stream, request) else read(stream, request)
    }

    private suspend fun failIfDown() {
        if (switches.now.down) awaitCancellation()
    }

    private suspend fun append(stream: MemoryStream, request: HttpRequest): HttpResponse {
        val offset = stream.append(request.body, nowMs())
        var lose = false
        switches.update {
            lose = it.loseAppendAnswers > 0
            if (lose) it.copy(loseAppendAnswers = it.loseAppendAnswers - 1) else it
        }
        if (lose) awaitCancellation()
        return jsonResponse(CREATED, mapOf("offset" to offset))
    }

    private suspend fun read(stream: MemoryStream, request: HttpRequest): HttpResponse {
        val from = request.query("from")?.toLongOrNull() ?: 1
        val max = request.query("max")?.toIntOrNull() ?: DEFAULT_MAX_RECORDS
        val waitMs = request.query("wait_ms")?.toLongOrNull() ?: 0
        if (waitMs > 0) withTimeoutOrNull(waitMs) { stream.end.first { it > from } }
        failIfDown()
        stream.expire(nowMs() - switches.now.retentionMs, switches.now.retentionCount)
        val body = stream.read(from, max)
        if (from < body.first) return jsonResponse(GONE, mapOf("first" to body.first))
        return jsonResponse(OK, body)
    }

    private class MemoryStream {
        private class Stored(
            val offset: Long,
            val data: ByteArray,
            val appendedAtMs: Long,
        )

        private val records = ArrayDeque<Stored>()
        val end = MutableStateFlow(1L)

        fun append(data: ByteArray, nowMs: Long): Long = synchronized(records) {
            val offset = end.value
            records.addLast(Stored(offset, data, nowMs))
            end.value = offset + 1
            offset
        }

        fun expire(oldestMs: Long, count: Int): Unit = synchronized(records) {
            while (records.size > count || (records.isNotEmpty() && records.first().appendedAtMs < oldestMs)) records.removeFirst()
        }

        fun read(from: Long, max: Int): ReadBody = synchronized(records) {
            val first = records.firstOrNull()?.offset ?: end.value
            val skip = (from - first).coerceIn(0, records.size.toLong()).toInt()
            val upTo = minOf(records.size.toLong(), skip + max.toLong()).toInt()
            val encoder = Base64.getEncoder()
            val found = if (from < first) emptyList() else records.subList(skip, upTo)
            ReadBody(first, end.value, found.map { RecordBody(it.offset, encoder.encodeToString(it.data)) })
        }
    }
}

internal const val NANOS_PER_MS = 1_000_000L
