package yuccaflow.router.membership

import io.micrometer.core.instrument.MeterRegistry
import org.tinylog.Logger
import yuccaflow.base.TimerService
import yuccaflow.external.AppendResult
import yuccaflow.external.LogService
import yuccaflow.external.ReadResult
import yuccaflow.http.SocketAddress
import yuccaflow.router.peer.PeerClient
import yuccaflow.router.peer.PeerMessage
import yuccaflow.router.peer.PeerResult
import yuccaflow.router.telemetry.MetricNames

/**
 * The log service as this router can reach it: directly, or through a peer while the direct way fails.
 *
 * [peerAddresses] lists the peers to try, the most promising ones first.
 */
internal class FailoverLogClient(
    private val log: LogService,
    private val peers: PeerClient,
    private val timer: TimerService,
    private val registry: MeterRegistry,
    private val peerAddresses: () -> List<SocketAddress>,
) {
    @Volatile
    private var directFailedAtMs: Long? = null

    @Volatile
    private var lastUseful: SocketAddress? = null

    /** Appends directly, or through a peer when that fails. The result is certain only when every attempt was. */
    suspend fun append(stream: String, data: ByteArray, kind: String): AppendResult {
        val result = appendAnyWay(stream, data)
        val name = when (result) {
            is AppendResult.Appended -> "appended"
            is AppendResult.NotAppended -> "not-appended"
            is AppendResult.AppendUnknown -> "unknown"
        }
        registry.counter(MetricNames.APPENDS, "record", kind, "result", name).increment()
        if (result !is AppendResult.Appended) Logger.debug("append of {}: {}", kind, result)
        return result
    }

    private suspend fun appendAnyWay(stream: String, data: ByteArray): AppendResult {
        val attempts = mutableListOf<AppendResult>()
        if (!isDirectFailing()) attempts += appendDirect(stream, data)
        for (address in candidates()) {
            if (attempts.lastOrNull() is AppendResult.Appended) break
            attempts += appendThrough(address, stream, data)
        }
        return attempts.lastOrNull { it is AppendResult.Appended }
            ?: attempts.lastOrNull { it is AppendResult.AppendUnknown }
            ?: attempts.lastOrNull()
            ?: AppendResult.NotAppended("the log service does not answer, and no peer is known")
    }

    /** Reads directly, or through a peer when that fails. Only records that come from the log service itself are returned. */
    suspend fun read(stream: String, fromOffset: Long, maxRecords: Int, waitMs: Long): ReadResult {
        var result: ReadResult = ReadResult.ReadFailed("the log service does not answer, and no peer is known")
        if (!isDirectFailing()) result = readDirect(stream, fromOffset, maxRecords, waitMs)
        for (address in candidates()) {
            if (result !is ReadResult.ReadFailed) return result
            result = readThrough(address, stream, fromOffset, maxRecords, waitMs)
        }
        return result
    }

    /** Appends without the help of peers. */
    suspend fun appendDirect(stream: String, data: ByteArray): AppendResult {
        val result = log.append(stream, data)
        note(result is AppendResult.Appended)
        return result
    }

    /** Reads without the help of peers. */
    suspend fun readDirect(stream: String, fromOffset: Long, maxRecords: Int, waitMs: Long): ReadResult {
        val result = log.read(stream, fromOffset, maxRecords, waitMs)
        note(result !is ReadResult.ReadFailed)
        return result
    }

    /** Whether a direct attempt failed so recently that another one would only cost its timeout. */
    fun isDirectFailing(): Boolean = directFailedAtMs?.let { timer.nowMs() - it < DIRECT_PAUSE_MS } ?: false

    private fun note(succeeded: Boolean) {
        directFailedAtMs = if (succeeded) null else timer.nowMs()
    }

    private fun candidates(): List<SocketAddress> {
        val useful = lastUseful
        return (listOfNotNull(useful) + peerAddresses().filter { it != useful }).take(PEERS_TRIED)
    }

    private suspend fun appendThrough(address: SocketAddress, stream: String, data: ByteArray): AppendResult =
        when (val result = peers.call(address, PeerMessage.AppendLog(stream, data), PEER_TIMEOUT_MS)) {
            is PeerResult.NotSent -> AppendResult.NotAppended(result.reason)
            is PeerResult.NoAnswer -> AppendResult.AppendUnknown(result.reason)
            is PeerResult.Answered -> {
                val answer = result.message as? PeerMessage.AppendLogAnswer
                val offset = answer?.offset
                lastUseful = if (offset == null) null else address
                when {
                    answer == null -> AppendResult.NotAppended("peer $address refused the append")
                    offset != null -> AppendResult.Appended(offset)
                    answer.unknown -> AppendResult.AppendUnknown(answer.reason)
                    else -> AppendResult.NotAppended(answer.reason)
                }
            }
        }

    private suspend fun readThrough(address: SocketAddress, stream: String, fromOffset: Long, maxRecords: Int, waitMs: Long): ReadResult {
        val message = PeerMessage.ReadLog(stream, fromOffset, maxRecords, waitMs)
        val answer = (peers.call(address, message, waitMs + PEER_TIMEOUT_MS) as? PeerResult.Answered)?.message as? PeerMessage.ReadLogAnswer
        lastUseful = if (answer == null || answer.failure != null || answer.fromMemory) null else address
        return when {
            answer == null -> ReadResult.ReadFailed("peer $address did not answer")
            answer.fromMemory -> ReadResult.ReadFailed("peer $address cannot reach the log service")
            else -> answer.toReadResult()
        }
    }

    private companion object {
        /** A silent log service costs a connection timeout on each attempt; within this time peers are asked instead. */
        const val DIRECT_PAUSE_MS = 500L
        const val PEER_TIMEOUT_MS = 800L
        const val PEERS_TRIED = 3
    }
}
