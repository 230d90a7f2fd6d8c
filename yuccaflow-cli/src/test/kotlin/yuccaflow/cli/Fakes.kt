package yuccaflow.cli

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow
import kotlinx.coroutines.runBlocking
import yuccaflow.base.TimerService
import yuccaflow.control.AdminJson
import yuccaflow.control.ConfigRecord
import yuccaflow.control.ControlRecord
import yuccaflow.control.RouterId
import yuccaflow.control.StatusReport
import yuccaflow.control.ZoneName
import yuccaflow.control.decodeConfigRecord
import yuccaflow.control.encodeConfigRecord
import yuccaflow.control.encodeControlRecord
import yuccaflow.external.AppendResult
import yuccaflow.external.LogRecord
import yuccaflow.external.LogService
import yuccaflow.external.ReadResult
import yuccaflow.external.Streams
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpServerLimits
import yuccaflow.http.SocketAddress
import yuccaflow.http.httpServer

/** Fault that affects one append. */
enum class AppendFault { NONE, ANSWER_LOST, RECORD_LOST, TAKES_EFFECT_LATE, REFUSED }

/** An in-memory log service that simulates faults. */
internal class FakeLog : LogService {
    private val streams = mutableMapOf<String, MutableList<ByteArray>>()
    private val firstOffsets = mutableMapOf<String, Long>()
    private var delayedRecord: ByteArray? = null

    /** Faults of the next appends, in order. */
    val appendFaults = ArrayDeque<AppendFault>()
    var appendCount = 0
    var isReadable: () -> Boolean = { true }

    /** Called once, before the next append takes effect. Simulates a concurrent publisher. */
    var onNextAppend: () -> Unit = {}

    fun add(stream: String, data: ByteArray): Long {
        val records = streams.getOrPut(stream) { mutableListOf() }
        records += data
        return records.size.toLong()
    }

    fun add(record: ConfigRecord) = add(Streams.CONFIG, encodeConfigRecord(record))

    fun add(record: ControlRecord) = add(Streams.CONTROL, encodeControlRecord(record))

    fun expireBefore(stream: String, offset: Long) {
        firstOffsets[stream] = offset
    }

    fun configRecords(): List<ConfigRecord?> = streams[Streams.CONFIG].orEmpty().map(::decodeConfigRecord)

    override suspend fun append(stream: String, data: ByteArray): AppendResult {
        appendCount++
        onNextAppend().also { onNextAppend = {} }
        delayedRecord?.let { add(stream, it) }
        delayedRecord = null
        return when (appendFaults.removeFirstOrNull() ?: AppendFault.NONE) {
            AppendFault.NONE -> AppendResult.Appended(add(stream, data))
            AppendFault.ANSWER_LOST -> AppendResult.AppendUnknown("no answer").also { add(stream, data) }
            AppendFault.RECORD_LOST -> AppendResult.AppendUnknown("no answer")
            AppendFault.TAKES_EFFECT_LATE -> AppendResult.AppendUnknown("no answer").also { delayedRecord = data }
            AppendFault.REFUSED -> AppendResult.NotAppended("connection refused")
        }
    }

    override suspend fun read(stream: String, fromOffset: Long, maxRecords: Int, waitMs: Long): ReadResult {
        if (!isReadable()) return ReadResult.ReadFailed("no answer")
        val first = firstOffsets[stream] ?: 1
        if (fromOffset < first) return ReadResult.Expired(first)
        val records = streams[stream].orEmpty()
        val found = records
            .withIndex()
            .drop((fromOffset - 1).toInt())
            .take(maxRecords)
            .map { LogRecord(it.index + 1L, it.value) }
        return ReadResult.Read(found, first, records.size + 1L)
    }
}

/** A timer whose time advances only by [sleep], which returns at once. [onSleep] is called after each advance. */
internal class AutoAdvancingTimer(
    var onSleep: () -> Unit = {},
) : TimerService {
    private var now = 0L

    override fun nowMs(): Long = now

    override fun every(periodMs: Long): Flow<Long> = emptyFlow()

    override suspend fun sleep(durationMs: Long) {
        now += durationMs
        onSleep()
    }
}

/** The admin server of a live router that has read `config` up to [configPosition] and returns the JSON of [reports] by path. */
internal class FakeRouter(
    val id: String,
    var configPosition: Long = 0,
) : AutoCloseable {
    val reports = mutableMapOf<String, String>()
    private val server = httpServer(SocketAddress("127.0.0.1", 0), HttpServerLimits()) { respond(it) }
    val address: SocketAddress = server.address

    fun registration() = ControlRecord.RouterRegistered(
        RouterId(id),
        ZoneName("brest"),
        "host-$id",
        "127.0.0.1:1",
        address.toString(),
        "127.0.0.1:2",
        emptyList(),
    )

    override fun close() = runBlocking { server.close(0) }

    private fun respond(request: HttpRequest): HttpResponse {
        val status = StatusReport(RouterId(id), "host-$id", ZoneName("brest"), "LIVE", 900, 1, configPosition, 1, emptyList())
        val body = if (request.path == "/status") AdminJson.encodeToString(StatusReport.serializer(), status) else reports[request.path]
        return if (body == null) HttpResponse(404) else HttpResponse(200, body = body.toByteArray())
    }
}
