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

/** Confirms this router's lease: by heartbeats to its witnesses, and by reads of `control` while these confirm too little. */
internal class LeaseRenewer(
    private val parts: MembershipContext,
) {
    private val isReadingLog = AtomicBoolean()

    /** Runs until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        parts.timer.every(parts.settings.timing.heartbeatMs).collect {
            val entry = parts.self?.takeIf { it.stage != RouterStage.ENDED }
            entry?.witnesses?.forEach { witness -> launch { askWitness(entry, witness) } }
            if (entry != null && isConfirmationOld()) launch { confirmByLog(entry.id) }
        }
    }

    private fun isConfirmationOld(): Boolean {
        val ageMs = parts.timer.nowMs() - (parts.lease.validUntilMs - parts.settings.timing.leaseMs)
        return parts.lease.validUntilMs < parts.timer.nowMs() || ageMs >= parts.settings.timing.heartbeatMs * LOG_AFTER_PERIODS
    }

    private suspend fun askWitness(entry: RouterEntry, witness: RouterId) {
        if (!parts.table.isLive(witness)) return
        val address = parts.addressOf(witness) ?: return
        val sentAtMs = parts.timer.nowMs()
        val message = PeerMessage.Heartbeat(entry.id, parts.table.position)
        val result = parts.peers.call(address, message, parts.settings.timing.heartbeatMs * ANSWER_TIMEOUT_PERIODS)
        val answer = (result as? PeerResult.Answered)?.message as? PeerMessage.HeartbeatAnswer ?: return
        if (!answer.confirmed || answer.witness != witness) return
        parts.lease.heartbeatAnswered(entry.id, witness, sentAtMs, answer.controlPosition)
        if (answer.controlPosition > parts.table.position) catchUp(address, answer.controlPosition)
    }

    /** Reads what a witness has read before this router; the witness may have it in memory while the log is down. */
    private suspend fun catchUp(address: SocketAddress, position: Long) {
        // The follower is usually only a moment behind.
        withTimeoutOrNull(FOLLOWER_WAIT_MS) { parts.replica.state.first { it.table.position >= position } }
        while (parts.table.position < position) {
            val before = parts.table.position
            val message = PeerMessage.ReadLog(Streams.CONTROL, before + 1, PAGE_RECORDS, 0)
            val result = parts.peers.call(address, message, READ_TIMEOUT_MS) as? PeerResult.Answered ?: return
            val read = (result.message as? PeerMessage.ReadLogAnswer)?.toReadResult() as? ReadResult.Read ?: return
            parts.replica.applyControl(read.records)
            if (parts.table.position == before) return
        }
    }

    private suspend fun confirmByLog(id: RouterId) {
        if (!isReadingLog.compareAndSet(false, true)) return
        try {
            while (true) {
                val beganMs = parts.timer.nowMs()
                val read = parts.access.read(Streams.CONTROL, parts.table.position + 1, PAGE_RECORDS, 0) as? ReadResult.Read ?: return
                parts.replica.applyControl(read.records)
                if (parts.table.position + 1 >= read.endOffset) {
                    parts.lease.logConfirmed(id, beganMs)
                    return
                }
                if (read.records.isEmpty()) return
            }
        } finally {
            isReadingLog.set(false)
        }
    }

    private companion object {
        /** An answer that takes longer would confirm little of the lease that is left. */
        const val ANSWER_TIMEOUT_PERIODS = 2

        /** While the witnesses answer, no confirmation gets this old, and the log is not read for the lease. */
        const val LOG_AFTER_PERIODS = 2
        const val FOLLOWER_WAIT_MS = 20L
        const val READ_TIMEOUT_MS = 500L
        const val PAGE_RECORDS = 500
    }
}
