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
 * Reads and appends to the log service directly, or through a peer while direct calls fail.
 *
 * [peerAddresses] returns the peers to try, in order of preference.
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
    private var lastWorkingPeer: SocketAddress? = null

    /** Appends directly, or through peers if that fails. A failure is certain only if it was certain for every attempt. */
    suspend fun append(stream: String, data: ByteArray, kind: String): AppendResult {
        val result = appendWithFailover(stream, data)
        val name = when (result) {
            is AppendResult.Appended -> "appended"
            is AppendResult.NotAppended -> "not-appended"
            is AppendResult.AppendUnknown -> "unknown"
        }
        registry.counter(MetricNames.APPENDS, "record", kind, "result", name).increment()
        if (result !is AppendResult.Appended) Logger.debug("appending {} failed: {}", kind, result)
        return result
    }

    private suspend fun appendWithFailover(stream: String, data: ByteArray): AppendResult {
        val attempts = mutableListOf<AppendResult>()
        if (!isDirectFailing()) attempts += appendDirect(stream, data)
        for (address in peersToTry()) {
            if (attempts.lastOrNull() is AppendResult.Appended) break
            attempts += appendViaPeer(address, stream, data)
        }
        return attempts.lastOrNull { it is AppendResult.Appended }
            ?: attempts.lastOrNull { it is AppendResult.AppendUnknown }
            ?: attempts.lastOrNull()
            ?: AppendResult.NotAppended("the log service does not answer, and no peer is known")
    }

    /** Reads directly, or through peers if that fails. Only returns records that come from the log service, not from a peer's memory. */
    suspend fun read(stream: String, fromOffset: Long, maxRecords: Int, waitMs: Long): ReadResult {
        var result: ReadResult = ReadResult.ReadFailed("the log service does not answer, and no peer is known")
        if (!isDirectFailing()) result = readDirect(stream, fromOffset, maxRecords, waitMs)
        for (address in peersToTry()) {
            if (result !is ReadResult.ReadFailed) return result
            result = readViaPeer(address, stream, fromOffset, maxRecords, waitMs)
        }
        return result
    }

    /** Appends directly only. */
    suspend fun appendDirect(stream: String, data: ByteArray): AppendResult {
        val result = log.append(stream, data)
        recordDirectResult(result is AppendResult.Appended)
        return result
    }

    /** Reads directly only. */
    suspend fun readDirect(stream: String, fromOffset: Long, maxRecords: Int, waitMs: Long): ReadResult {
        val result = log.read(stream, fromOffset, maxRecords, waitMs)
        recordDirectResult(result !is ReadResult.ReadFailed)
        return result
    }

    /** Whether a direct call failed so recently that another one would probably only time out as well. */
    fun isDirectFailing(): Boolean = directFailedAtMs?.let { timer.nowMs() - it < DIRECT_RETRY_DELAY_MS } ?: false

    private fun recordDirectResult(succeeded: Boolean) {
        directFailedAtMs = if (succeeded) null else timer.nowMs()
    }

    private fun peersToTry(): List<SocketAddress> {
        val preferred = lastWorkingPeer
        return (listOfNotNull(preferred) + peerAddresses().filter { it != preferred }).take(MAX_PEERS_TRIED)
    }

    private suspend fun appendViaPeer(address: SocketAddress, stream: String, data: ByteArray): AppendResult =
        when (val result = peers.call(address, PeerMessage.AppendLog(stream, data), PEER_TIMEOUT_MS)) {
            is PeerResult.NotSent -> AppendResult.NotAppended(result.reason)
            is PeerResult.NoAnswer -> AppendResult.AppendUnknown(result.reason)
            is PeerResult.Answered -> {
                val answer = result.message as? PeerMessage.AppendLogAnswer
                val offset = answer?.offset
                lastWorkingPeer = if (offset == null) null else address
                when {
                    answer == null -> AppendResult.NotAppended("peer $address refused the append")
                    offset != null -> AppendResult.Appended(offset)
                    answer.unknown -> AppendResult.AppendUnknown(answer.reason)
                    else -> AppendResult.NotAppended(answer.reason)
                }
            }
        }

    private suspend fun readViaPeer(address: SocketAddress, stream: String, fromOffset: Long, maxRecords: Int, waitMs: Long): ReadResult {
        val message = PeerMessage.ReadLog(stream, fromOffset, maxRecords, waitMs)
        val answer = (peers.call(address, message, waitMs + PEER_TIMEOUT_MS) as? PeerResult.Answered)?.message as? PeerMessage.ReadLogAnswer
        lastWorkingPeer = if (answer == null || answer.failure != null || answer.fromMemory) null else address
        return when {
            answer == null -> ReadResult.ReadFailed("peer $address did not answer")
            answer.fromMemory -> ReadResult.ReadFailed("peer $address cannot reach the log service")
            else -> answer.toReadResult()
        }
    }

    private companion object {
        /** An unresponsive log service costs a connection timeout per call, so peers are used instead for this long after a failure. */
        const val DIRECT_RETRY_DELAY_MS = 500L
        const val PEER_TIMEOUT_MS = 800L
        const val MAX_PEERS_TRIED = 3
    }
}
