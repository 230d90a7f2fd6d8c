package yuccaflow.router.peer

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.base.TimerService
import yuccaflow.control.RouterId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/** Limit of the frames that wait to be written to one connection. */
private const val QUEUE_LIMIT_FRAMES = 1_024

/** Limit of the bytes that wait to be written to one connection: four frames of the maximum size. */
private const val QUEUE_LIMIT_BYTES = 4L * PEER_FRAME_LIMIT_BYTES

/** Silence after which a connection with pending calls is probed. */
internal const val PROBE_AFTER_MS: Long = 100

/** Silence after which a connection with pending calls is closed as dead. A live peer answers a probe well before this. */
internal const val DEAD_AFTER_MS: Long = 400

/** The client side of one connection to a peer. Calls are multiplexed; answers are matched to them by call id. */
internal class PeerClientConnection(
    private val socket: PeerSocket,
    /** The id of this router that was sent in the handshake. */
    val localId: RouterId,
    private val timer: TimerService,
) {
    private enum class Stage { QUEUED, SENDING, ABANDONED }

    private class Call(
        val id: Long,
        val bytes: ByteArray,
    ) {
        val stage = AtomicReference(Stage.QUEUED)
        val result = CompletableDeferred<PeerResult>()
    }

    private val calls = ConcurrentHashMap<Long, Call>()
    private val queue = Channel<Call>(QUEUE_LIMIT_FRAMES)
    private val queuedBytes = AtomicLong()
    private val lastCallId = AtomicLong(NO_CALL_ID)
    private val pendingCalls = AtomicInteger()
    private val closeReason = AtomicReference<String?>(null)
    private val probing = AtomicBoolean()

    @Volatile private var retired = false

    @Volatile private var silentSinceMs = timer.nowMs()

    @Volatile private var lastUsedMs = timer.nowMs()

    /** Whether new calls are accepted. */
    val isOpen: Boolean get() = closeReason.get() == null && !retired

    /** Time since the last call began, or 0 while calls are pending. */
    fun idleForMs(): Long = if (pendingCalls.get() > 0) 0 else timer.nowMs() - lastUsedMs

    /** Sends calls and receives answers until the connection is lost or closed. */
    suspend fun run() {
        val reason = try {
            coroutineScope {
                launch { writeCalls() }
                readAnswers()
            }
        } catch (e: CancellationException) {
            close("connection closed")
            throw e
        } catch (e: Exception) {
            "connection lost: ${e.message}"
        }
        close(reason)
    }

    suspend fun call(message: PeerMessage, timeoutMs: Long): PeerResult {
        val id = lastCallId.incrementAndGet()
        val bytes = encodeFrame(PeerFrame(id, message))
        if (bytes.size > PEER_FRAME_LIMIT_BYTES) {
            return PeerResult.NotSent("expected a message of at most $PEER_FRAME_LIMIT_BYTES bytes, found ${bytes.size}")
        }
        lastUsedMs = timer.nowMs()
        val call = Call(id, bytes)
        if (pendingCalls.getAndIncrement() == 0) silentSinceMs = timer.nowMs()
        try {
            if (!enqueue(call)) return PeerResult.NotSent(closeReason.get() ?: "too many messages wait for this peer")
            return withTimeoutOrNull(timeoutMs) { call.result.await() } ?: timedOut(call, timeoutMs)
        } finally {
            call.stage.compareAndSet(Stage.QUEUED, Stage.ABANDONED)
            calls.remove(id)
            if (pendingCalls.decrementAndGet() == 0 && retired) close("connection replaced")
        }
    }

    /** Accepts no further calls and closes the connection once the pending ones are complete. */
    fun retire() {
        retired = true
        if (pendingCalls.get() == 0) close("connection replaced")
    }

    /** Probes the connection after [PROBE_AFTER_MS] of silence and closes it after [DEAD_AFTER_MS]. Must be called periodically. */
    fun checkSilence() {
        if (pendingCalls.get() == 0 || closeReason.get() != null) return
        val silentMs = timer.nowMs() - silentSinceMs
        when {
            silentMs >= DEAD_AFTER_MS -> close("nothing received for $silentMs ms")
            silentMs >= PROBE_AFTER_MS && probing.compareAndSet(false, true) -> probe()
        }
    }

    /** Restarts the measurement of silence, after a pause of this process in which nothing could be read. */
    fun resetSilence() {
        silentSinceMs = timer.nowMs()
    }

    /**
     * Closes the connection. Pending calls that were not written yet end with [PeerResult.NotSent], all others with
     * [PeerResult.NoAnswer].
     */
    fun close(reason: String) {
        if (!closeReason.compareAndSet(null, reason)) return
        socket.close()
        queue.close()
        calls.values.forEach { fail(it, reason) }
    }

    private fun enqueue(call: Call): Boolean {
        if (queuedBytes.addAndGet(call.bytes.size.toLong()) > QUEUE_LIMIT_BYTES) {
            queuedBytes.addAndGet(-call.bytes.size.toLong())
            return false
        }
        calls[call.id] = call
        val queued = queue.trySend(call).isSuccess
        if (!queued) queuedBytes.addAndGet(-call.bytes.size.toLong())
        return queued
    }

    private fun timedOut(call: Call, timeoutMs: Long): PeerResult =
        if (call.stage.compareAndSet(Stage.QUEUED, Stage.ABANDONED)) {
            PeerResult.NotSent("not written within $timeoutMs ms")
        } else {
            PeerResult.NoAnswer("no answer within $timeoutMs ms")
        }

    private fun fail(call: Call, reason: String) {
        val neverSent = call.stage.compareAndSet(Stage.QUEUED, Stage.ABANDONED)
        call.result.complete(if (neverSent) PeerResult.NotSent(reason) else PeerResult.NoAnswer(reason))
    }

    /** Sends a frame without a message, which the peer returns unchanged. Its bytes do not count towards [queuedBytes]. */
    private fun probe() {
        queue.trySend(Call(NO_CALL_ID, encodeFrame(PeerFrame(NO_CALL_ID, null))))
    }

    private suspend fun writeCalls() {
        for (call in queue) {
            if (call.id != NO_CALL_ID) queuedBytes.addAndGet(-call.bytes.size.toLong())
            if (call.stage.compareAndSet(Stage.QUEUED, Stage.SENDING)) socket.output.writeFrame(call.bytes)
        }
    }

    private suspend fun readAnswers(): Nothing {
        while (true) {
            val frame = socket.input.readFrame()
            silentSinceMs = timer.nowMs()
            probing.set(false)
            // A frame without a message is the answer to a probe.
            val message = frame.message ?: continue
            calls.remove(frame.callId)?.result?.complete(PeerResult.Answered(message))
        }
    }
}
