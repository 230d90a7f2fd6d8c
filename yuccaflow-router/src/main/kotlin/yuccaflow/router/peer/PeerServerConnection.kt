package yuccaflow.router.peer

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.tinylog.Logger
import yuccaflow.base.TimerService
import yuccaflow.control.RouterId
import java.util.concurrent.atomic.AtomicInteger

/** Limit of the calls of one connection that are handled concurrently. */
private const val CALL_LIMIT = 4_096

/** Limit of the answers that wait to be written to one connection. */
private const val ANSWER_QUEUE_FRAMES = 256

/** The server side of one connection from router [from]. */
internal class PeerServerConnection(
    private val socket: PeerSocket,
    private val from: RouterId,
    private val isKnownPeer: (RouterId) -> Boolean,
    private val handler: PeerHandler,
    private val timer: TimerService,
    /** Scope of the calls, which go on when the connection is lost. */
    private val callScope: CoroutineScope,
) {
    private val answers = Channel<ByteArray>(ANSWER_QUEUE_FRAMES)
    private val runningCalls = AtomicInteger()

    /** Monotonic time at which the last frame was received. */
    @Volatile
    var lastFrameMs: Long = timer.nowMs()
        private set

    /** Serves calls until the connection is lost. */
    suspend fun run() {
        try {
            coroutineScope {
                launch { for (bytes in answers) socket.output.writeFrame(bytes) }
                readCalls()
            }
        } finally {
            close()
        }
    }

    fun close() {
        socket.close()
        answers.close()
    }

    private suspend fun readCalls(): Nothing {
        while (true) {
            val frame = socket.input.readFrame()
            lastFrameMs = timer.nowMs()
            val message = frame.message
            val rejection = message?.let { rejectionOf(it) }
            when {
                message == null -> answers.send(encodeFrame(frame))
                rejection != null -> answers.send(encodeFrame(PeerFrame(frame.callId, rejection)))
                else -> start(frame.callId, message)
            }
        }
    }

    /** Returns the answer that refuses [message] before any of it is handled, or null when the message is accepted. */
    private fun rejectionOf(message: PeerMessage): PeerMessage? {
        val reason = when {
            !isAllowed(message) -> "router $from is not in the control table"
            runningCalls.get() >= CALL_LIMIT -> "$CALL_LIMIT calls of router $from are being handled"
            else -> return null
        }
        return if (message is PeerMessage.ForwardRequest) {
            PeerMessage.ForwardAnswer(ForwardOutcome.NotRun(reason, NotRunCause.NOT_RESPONSIBLE), load = null)
        } else {
            PeerMessage.Failure(reason)
        }
    }

    /** Returns whether [message] may be handled. A router that is not registered yet may only send what it needs to register. */
    private fun isAllowed(message: PeerMessage): Boolean =
        when (message) {
            is PeerMessage.SnapshotQuery, is PeerMessage.ReadLog, is PeerMessage.AppendLog -> true
            else -> isKnownPeer(from)
        }

    private fun start(callId: Long, message: PeerMessage) {
        runningCalls.incrementAndGet()
        callScope.launch {
            try {
                answer(callId, handle(message))
            } finally {
                runningCalls.decrementAndGet()
            }
        }
    }

    private suspend fun handle(message: PeerMessage): PeerMessage =
        try {
            handler.handle(from, message)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            Logger.error(e, "Failed to handle a message from router {}", from)
            PeerMessage.Failure("internal error: ${e.message}")
        }

    private suspend fun answer(callId: Long, message: PeerMessage) {
        val bytes = encodeFrame(PeerFrame(callId, message)).takeIf { it.size <= PEER_FRAME_LIMIT_BYTES }
            ?: encodeFrame(PeerFrame(callId, PeerMessage.Failure("the answer exceeds $PEER_FRAME_LIMIT_BYTES bytes")))
        try {
            answers.send(bytes)
        } catch (e: ClosedSendChannelException) {
            Logger.debug("Dropped the answer to a call from router {}, because the connection is closed: {}", from, e.message)
        }
    }
}
