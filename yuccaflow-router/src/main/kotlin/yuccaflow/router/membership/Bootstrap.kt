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

/** Loads the initial state of the [Replica]: from the start of the log, from a checkpoint in it, or from a peer. */
internal class Bootstrap(
    private val context: MembershipContext,
    private val peerAddresses: () -> List<SocketAddress>,
) {
    /** Retries until an initial state is loaded. */
    suspend fun load() {
        while (!fromLog() && !fromPeers()) {
            Logger.warn("no initial state available from the log or from {} known peers; retrying", peerAddresses().size)
            context.timer.sleep(RETRY_DELAY_MS)
        }
    }

    /** Loads a newer state after records that were still needed have expired from the log. */
    suspend fun reload() {
        val config = context.logClient.read(Streams.CONFIG, context.replica.state.value.config.position + 1, 1, 0)
        val firstConfig = (config as? ReadResult.Expired)?.firstOffset ?: 0
        val control = context.logClient.read(Streams.CONTROL, 1, 1, 0)
        val firstControl = (control as? ReadResult.Expired)?.firstOffset ?: 1
        if (!fromCheckpoint(firstControl) { it.configPosition + 1 >= firstConfig }) fromPeers()
    }

    /** Reads `control` up to its end, so that the registration that follows names witnesses that are live at present. */
    private suspend fun fromLog(): Boolean {
        while (true) {
            when (val result = context.logClient.read(Streams.CONTROL, context.table.position + 1, PAGE_RECORDS, 0)) {
                is ReadResult.Read -> {
                    context.replica.applyControl(result.records)
                    if (result.records.isEmpty() || context.table.position + 1 >= result.endOffset) return true
                }
                is ReadResult.Expired -> if (!fromCheckpoint(result.firstOffset) { true }) return false
                is ReadResult.ReadFailed -> return false
            }
        }
    }

    /** Loads the first accepted checkpoint from which the retained records, starting at [firstOffset], continue without a gap. */
    private suspend fun fromCheckpoint(firstOffset: Long, accept: (Snapshot) -> Boolean): Boolean {
        val records = mutableListOf<LogRecord>()
        var next = firstOffset
        while (true) {
            val page = context.logClient.read(Streams.CONTROL, next, PAGE_RECORDS, 0) as? ReadResult.Read ?: return false
            records += page.records
            val snapshot = page.records.firstNotNullOfOrNull { snapshotIn(it) { it.tablePosition + 1 >= firstOffset && accept(it) } }
            if (snapshot != null) {
                context.replica.load(snapshot)
                context.replica.applyControl(records)
                return true
            }
            next = page.records.lastOrNull()?.let { it.offset + 1 } ?: return false
        }
    }

    private fun snapshotIn(record: LogRecord, accept: (Snapshot) -> Boolean): Snapshot? =
        (decodeControlRecord(record.data) as? ControlRecord.Checkpoint)?.snapshot?.takeIf(accept)

    private suspend fun fromPeers(): Boolean {
        for (address in peerAddresses()) {
            val result = context.peers.call(address, PeerMessage.SnapshotQuery, SNAPSHOT_TIMEOUT_MS)
            val answer = (result as? PeerResult.Answered)?.message as? PeerMessage.SnapshotAnswer ?: continue
            Logger.info("loaded the state at control position {} from peer {}", answer.snapshot.tablePosition, address)
            context.replica.load(answer.snapshot)
            return true
        }
        return false
    }

    private companion object {
        const val PAGE_RECORDS = 500
        const val RETRY_DELAY_MS = 200L
        const val SNAPSHOT_TIMEOUT_MS = 1_000L
    }
}
