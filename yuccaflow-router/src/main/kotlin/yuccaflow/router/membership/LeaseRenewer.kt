package yuccaflow.router.membership

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.control.RouterEntry
import yuccaflow.control.RouterId
import yuccaflow.control.RouterStage
import yuccaflow.external.ReadResult
import yuccaflow.external.Streams
import yuccaflow.http.SocketAddress
import yuccaflow.router.peer.PeerMessage
import yuccaflow.router.peer.PeerResult
import java.util.concurrent.atomic.AtomicBoolean

/** Confirms this router's lease by heartbeats to its witnesses, and by reads of `control` while too few witnesses answer. */
internal class LeaseRenewer(
    private val context: MembershipContext,
) {
    private val isReadingLog = AtomicBoolean()

    /** Runs until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        context.timer.every(context.settings.timing.heartbeatMs).collect {
            val entry = context.self?.takeIf { it.stage != RouterStage.ENDED }
            entry?.witnesses?.forEach { witness -> launch { sendHeartbeat(entry, witness) } }
            if (entry != null && isConfirmationOld()) launch { confirmThroughLog(entry.id) }
        }
    }

    private fun isConfirmationOld(): Boolean {
        val ageMs = context.timer.nowMs() - (context.lease.validUntilMs - context.settings.timing.leaseMs)
        return context.lease.validUntilMs < context.timer.nowMs() || ageMs >= context.settings.timing.heartbeatMs * LOG_READ_AFTER_PERIODS
    }

    private suspend fun sendHeartbeat(entry: RouterEntry, witness: RouterId) {
        if (!context.table.isLive(witness)) return
        val address = context.addressOf(witness) ?: return
        val sentAtMs = context.timer.nowMs()
        val message = PeerMessage.Heartbeat(entry.id, context.table.position)
        val result = context.peers.call(address, message, context.settings.timing.heartbeatMs * ANSWER_TIMEOUT_PERIODS)
        val answer = (result as? PeerResult.Answered)?.message as? PeerMessage.HeartbeatAnswer ?: return
        if (!answer.confirmed || answer.witness != witness) return
        context.lease.heartbeatAnswered(entry.id, witness, sentAtMs, answer.controlPosition)
        if (answer.controlPosition > context.table.position) catchUp(address, answer.controlPosition)
    }

    /** Reads the records up to [position] from a witness that is ahead of this router. It may have them in memory while the log is down. */
    private suspend fun catchUp(address: SocketAddress, position: Long) {
        // Usually the stream follower reads the same records within a few milliseconds.
        withTimeoutOrNull(FOLLOWER_WAIT_MS) { context.replica.state.first { it.table.position >= position } }
        while (context.table.position < position) {
            val before = context.table.position
            val message = PeerMessage.ReadLog(Streams.CONTROL, before + 1, PAGE_RECORDS, 0)
            val result = context.peers.call(address, message, READ_TIMEOUT_MS) as? PeerResult.Answered ?: return
            val read = (result.message as? PeerMessage.ReadLogAnswer)?.toReadResult() as? ReadResult.Read ?: return
            context.replica.applyControl(read.records)
            if (context.table.position == before) return
        }
    }

    private suspend fun confirmThroughLog(id: RouterId) {
        if (!isReadingLog.compareAndSet(false, true)) return
        try {
            while (true) {
                val beganMs = context.timer.nowMs()
                val read =
                    context.logClient.read(Streams.CONTROL, context.table.position + 1, PAGE_RECORDS, 0) as? ReadResult.Read ?: return
                context.replica.applyControl(read.records)
                if (context.table.position + 1 >= read.endOffset) {
                    context.lease.logConfirmed(id, beganMs)
                    return
                }
                if (read.records.isEmpty()) return
            }
        } finally {
            isReadingLog.set(false)
        }
    }

    private companion object {
        /** A heartbeat answer that takes longer would extend the lease by very little. */
        const val ANSWER_TIMEOUT_PERIODS = 2

        /** Age of the last confirmation after which the log is read. While the witnesses answer, no confirmation gets this old. */
        const val LOG_READ_AFTER_PERIODS = 2
        const val FOLLOWER_WAIT_MS = 20L
        const val READ_TIMEOUT_MS = 500L
        const val PAGE_RECORDS = 500
    }
}
