package yuccaflow.entry.peer

import yuccaflow.base.TimerService
import yuccaflow.entry.store.JoinResult
import yuccaflow.entry.store.KeyedAppendResult
import yuccaflow.entry.store.KeyedChange
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.RouterGroup
import yuccaflow.entry.store.SnapshotResult
import yuccaflow.entry.store.StreamReadResult
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events
import yuccaflow.http.SocketAddress

/**
 * Settings of the way to the store through other routers.
 *
 * @property directRetryMs how long calls go through other routers after a direct call has failed.
 * @property routersPerCall how many other routers are asked for one call.
 * @property longestWaitMs the longest wait for records that another router is asked to hold.
 * @property callMs time for one call beside the wait.
 */
internal data class RelaySettings(
    val directRetryMs: Long = 1_000,
    val routersPerCall: Int = 2,
    val longestWaitMs: Long = 2_000,
    val callMs: Long = 700,
)

/**
 * The store and the group, reached directly or, while they turn this router away or cannot be reached from it, through another router.
 *
 * A write that got no answer is not sent again, because it may have been carried out. [peers] lists the other routers' relay addresses.
 */
internal class FailoverStoreAccess(
    private val direct: DirectStoreAccess,
    private val client: RelayClient,
    private val peers: () -> List<SocketAddress>,
    private val timer: TimerService,
    private val events: EventLog,
    private val settings: RelaySettings = RelaySettings(),
) : KeyedStore,
    RouterGroup {
    private var relayedSinceMs: Long? = null

    override suspend fun snapshot(stream: KeyedStream): SnapshotResult {
        val call = RelayCall.Snapshot(stream)
        return served({ direct.snapshot(stream) }, { it is SnapshotResult.Failed }) {
            (relayed(call) as? RelayAnswer.Records)?.let { SnapshotResult.Snapshot(it.records.toRecords(), it.endOffset) }
        }
    }

    override suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long): StreamReadResult {
        val relayedWaitMs = waitMs.coerceAtMost(settings.longestWaitMs)
        val call = RelayCall.Read(stream, fromOffset, relayedWaitMs)
        return served({ direct.read(stream, fromOffset, waitMs) }, { it is StreamReadResult.Failed }, isWaiting = true) {
            when (val answer = relayed(call, relayedWaitMs)) {
                is RelayAnswer.Records -> StreamReadResult.Read(answer.records.toRecords(), answer.endOffset)
                RelayAnswer.Expired -> StreamReadResult.Expired
                else -> null
            }
        }
    }

    override suspend fun append(stream: KeyedStream, changes: List<KeyedChange>, expectedEndOffset: Long?): KeyedAppendResult {
        val call = RelayCall.Append(stream, changes.toRelayedChanges(), expectedEndOffset)
        val directly = suspend { direct.append(stream, changes, expectedEndOffset) }
        return served(directly, { it is KeyedAppendResult.NotAppended }) {
            when (val answer = relayed(call)) {
                is RelayAnswer.Appended -> KeyedAppendResult.Appended(answer.firstOffset)
                is RelayAnswer.Conflict -> KeyedAppendResult.Conflict(answer.endOffset)
                is RelayAnswer.Unknown -> KeyedAppendResult.Unknown(answer.reason)
                else -> null
            }
        }
    }

    override suspend fun join(member: String, generation: Long, ttlMs: Long): JoinResult {
        val call = RelayCall.Join(member, generation, ttlMs)
        return served({ direct.join(member, generation, ttlMs) }, { it is JoinResult.Failed }) {
            (relayed(call) as? RelayAnswer.Joined)?.let { JoinResult.Joined(it.generation, it.isCandidate) }
        }
    }

    override suspend fun members(): Set<String>? =
        served({ direct.members() }, { it == null }) { (relayed(RelayCall.Members) as? RelayAnswer.MemberList)?.members }

    override suspend fun leave(member: String) {
        if (direct.isServed) direct.leave(member) else relayed(RelayCall.Leave(member))
    }

    /**
     * Calls [directly], or [throughPeers] where that is better or the direct call failed. A read that waits would learn late whether the
     * store serves this router again, so after a failure only short calls are tried directly.
     */
    private suspend fun <T> served(
        directly: suspend () -> T,
        hasFailed: (T) -> Boolean,
        isWaiting: Boolean = false,
        throughPeers: suspend () -> T?,
    ): T {
        if (!direct.isServed && (isWaiting || !isRetryDue())) return throughPeers() ?: directly()
        val result = directly()
        if (!hasFailed(result)) {
            noteDirect()
            return result
        }
        return throughPeers() ?: result
    }

    private fun isRetryDue(): Boolean = direct.failedAtMs?.let { timer.nowMs() - it >= settings.directRetryMs } ?: true

    /** The first useful answer of a few other routers, or null when none is served or the call may not be repeated. */
    private suspend fun relayed(call: RelayCall, waitMs: Long = 0): RelayAnswer? {
        for (peer in peers().shuffled().take(settings.routersPerCall)) {
            val answer = client.send(peer, call, waitMs + settings.callMs)
            val isUseless = answer == RelayAnswer.NotServed || (answer is RelayAnswer.Unknown && call !is RelayCall.Append)
            if (isUseless) continue
            noteRelayed(peer)
            return answer
        }
        return null
    }

    private fun noteRelayed(peer: SocketAddress) {
        if (relayedSinceMs != null) return
        relayedSinceMs = timer.nowMs()
        events.log(Events.RELAY_STARTED) { put("peer", peer.toString()) }
    }

    private fun noteDirect() {
        val sinceMs = relayedSinceMs ?: return
        relayedSinceMs = null
        events.log(Events.RELAY_ENDED) { put("after_ms", timer.nowMs() - sinceMs) }
    }
}
