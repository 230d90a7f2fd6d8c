package yuccaflow.router.membership

import org.tinylog.Logger
import yuccaflow.control.ControlRecord
import yuccaflow.control.Snapshot
import yuccaflow.control.decodeControlRecord
import yuccaflow.external.LogRecord
import yuccaflow.external.ReadResult
import yuccaflow.external.Streams
import yuccaflow.http.SocketAddress
import yuccaflow.router.peer.PeerMessage
import yuccaflow.router.peer.PeerResult

/** Gives the replica its first state: from the log's beginning, from a checkpoint, or from a peer. */
internal class Bootstrap(
    private val parts: MembershipContext,
    private val peerAddresses: () -> List<SocketAddress>,
) {
    /** Returns once there is a state to follow from. */
    suspend fun load() {
        while (!fromLog() && !fromPeers()) {
            Logger.warn("found no state to start from, neither in the log nor at {} peers", peerAddresses().size)
            parts.timer.sleep(RETRY_PAUSE_MS)
        }
    }

    /** Takes a newer state after records that were still needed have expired. */
    suspend fun reload() {
        val config = parts.access.read(Streams.CONFIG, parts.replica.state.value.config.position + 1, 1, 0)
        val firstConfig = (config as? ReadResult.Expired)?.firstOffset ?: 0
        val control = parts.access.read(Streams.CONTROL, 1, 1, 0)
        val firstControl = (control as? ReadResult.Expired)?.firstOffset ?: 1
        if (!fromCheckpoint(firstControl) { it.configPosition + 1 >= firstConfig }) fromPeers()
    }

    /** Reads up to the end, so that the registration that follows names witnesses that are live now. */
    private suspend fun fromLog(): Boolean {
        while (true) {
            when (val result = parts.access.read(Streams.CONTROL, parts.table.position + 1, PAGE_RECORDS, 0)) {
                is ReadResult.Read -> {
                    parts.replica.applyControl(result.records)
                    if (result.records.isEmpty() || parts.table.position + 1 >= result.endOffset) return true
                }
                is ReadResult.Expired -> if (!fromCheckpoint(result.firstOffset) { true }) return false
                is ReadResult.ReadFailed -> return false
            }
        }
    }

    /** Loads the first checkpoint from which the records still kept lead on without a gap. */
    private suspend fun fromCheckpoint(firstOffset: Long, accept: (Snapshot) -> Boolean): Boolean {
        val kept = mutableListOf<LogRecord>()
        var next = firstOffset
        while (true) {
            val page = parts.access.read(Streams.CONTROL, next, PAGE_RECORDS, 0) as? ReadResult.Read ?: return false
            kept += page.records
            val snapshot = page.records.firstNotNullOfOrNull { snapshotIn(it) { it.tablePosition + 1 >= firstOffset && accept(it) } }
            if (snapshot != null) {
                parts.replica.load(snapshot)
                parts.replica.applyControl(kept)
                return true
            }
            next = page.records.lastOrNull()?.let { it.offset + 1 } ?: return false
        }
    }

    private fun snapshotIn(record: LogRecord, accept: (Snapshot) -> Boolean): Snapshot? =
        (decodeControlRecord(record.data) as? ControlRecord.Checkpoint)?.snapshot?.takeIf(accept)

    private suspend fun fromPeers(): Boolean {
        for (address in peerAddresses()) {
            val result = parts.peers.call(address, PeerMessage.SnapshotQuery, SNAPSHOT_TIMEOUT_MS)
            val answer = (result as? PeerResult.Answered)?.message as? PeerMessage.SnapshotAnswer ?: continue
            Logger.info("took the state at control position {} from peer {}", answer.snapshot.tablePosition, address)
            parts.replica.load(answer.snapshot)
            return true
        }
        return false
    }

    private companion object {
        const val PAGE_RECORDS = 500
        const val RETRY_PAUSE_MS = 200L
        const val SNAPSHOT_TIMEOUT_MS = 1_000L
    }
}
