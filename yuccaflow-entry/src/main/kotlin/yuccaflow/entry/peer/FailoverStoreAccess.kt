package yuccaflow.entry.peer

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
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
 * Settings of store calls that are relayed through other routers.
 *
 * @property directRetryMs time after a failed direct call until the next direct attempt.
 * @property routersPerCall number of other routers that are tried for one call, in sequence.
 * @property routersPerRead number of other routers that are tried for one read of following records, partly in parallel.
 * @property hedgeDelayMs time without an answer, in addition to the wait of a read, after which another router is asked as well.
 * @property maxWaitMs longest wait for records in a relayed read.
 * @property callTimeoutMs time for one call in addition to its wait.
 */
internal data class RelaySettings(
    val directRetryMs: Long = 1_000,
    val routersPerCall: Int = 2,
    val routersPerRead: Int = 4,
    val hedgeDelayMs: Long = 250,
    val maxWaitMs: Long = 2_000,
    val callTimeoutMs: Long = 700,
)

/**
 * Calls the store and the router group directly, or through another router while they refuse this router or are unreachable for it.
 *
 * An append without an answer is not repeated, because it may have been carried out.
 *
 * @property peers returns the relay addresses of the other routers.
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
    private val hedgedRelay = HedgedRelay(client, peers, timer, settings)
    private var relayedSinceMs: Long? = null

    override suspend fun snapshot(stream: KeyedStream, onArriving: () -> Unit): SnapshotResult {
        val call = RelayCall.Snapshot(stream)
        return withFailover({ direct.snapshot(stream, onArriving) }, { it is SnapshotResult.Failed }) {
            (callPeers(call) as? RelayAnswer.Records)?.let { SnapshotResult.Snapshot(it.records.toRecords(), it.endOffset, it.era) }
        }
    }

    override suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long, onArriving: (Long) -> Unit): StreamReadResult {
        val relayedWaitMs = waitMs.coerceAtMost(settings.maxWaitMs)
        val call = RelayCall.Read(stream, fromOffset, relayedWaitMs)
        var isArriving = false
        val directly = suspend {
            direct.read(stream, fromOffset, waitMs) { endOffset ->
                isArriving = true
                onArriving(endOffset)
            }
        }
        // An answer that is arriving needs no second one, which would only fill the same link.
        val hedge = suspend { if (isArriving) null else readThroughPeers(call, relayedWaitMs) }.takeIf { waitMs == 0L }
        return withFailover(directly, { it is StreamReadResult.Failed }, isLongPoll = true, hedge) {
            readThroughPeersWhileUnavailable(call, relayedWaitMs)
        }
    }

    override suspend fun append(stream: KeyedStream, changes: List<KeyedChange>, expectedEndOffset: Long?): KeyedAppendResult {
        val call = RelayCall.Append(stream, changes.toRelayedChanges(), expectedEndOffset)
        val directly = suspend { direct.append(stream, changes, expectedEndOffset) }
        return withFailover(directly, { it is KeyedAppendResult.NotAppended }) {
            when (val answer = callPeers(call)) {
                is RelayAnswer.Appended -> KeyedAppendResult.Appended(answer.firstOffset, answer.era)
                is RelayAnswer.Conflict -> KeyedAppendResult.Conflict(answer.endOffset, answer.era)
                is RelayAnswer.Unknown -> KeyedAppendResult.Unknown(answer.reason)
                else -> null
            }
        }
    }

    override suspend fun join(member: String, generation: Long, ttlMs: Long): JoinResult {
        val call = RelayCall.Join(member, generation, ttlMs)
        return withFailover({ direct.join(member, generation, ttlMs) }, { it is JoinResult.Failed }) {
            (callPeers(call) as? RelayAnswer.Joined)?.let { JoinResult.Joined(it.generation, it.isCandidate) }
        }
    }

    override suspend fun members(): Set<String>? =
        withFailover({ direct.members() }, { it == null }) { (callPeers(RelayCall.Members) as? RelayAnswer.MemberList)?.members }

    override suspend fun leave(member: String) {
        if (direct.isAvailable) direct.leave(member) else callPeers(RelayCall.Leave(member))
    }

    /**
     * Calls [directly], or [throughPeers] if the direct call fails or has failed recently. After a failure, only short calls are tried
     * directly, because a long-polling read would show late whether the store is available again. [hedge] is called as well if the direct
     * call takes long.
     */
    private suspend fun <T> withFailover(
        directly: suspend () -> T,
        hasFailed: (T) -> Boolean,
        isLongPoll: Boolean = false,
        hedge: (suspend () -> T?)? = null,
        throughPeers: suspend () -> T?,
    ): T {
        if (!direct.isAvailable && (isLongPoll || !isRetryDue())) return throughPeers() ?: directly()
        val directlyRecorded = suspend { directly().also { if (!hasFailed(it)) recordDirectCall() } }
        val result = if (hedge == null) directlyRecorded() else withHedge(directlyRecorded, hedge)
        return if (hasFailed(result)) throughPeers() ?: result else result
    }

    /**
     * Calls [directly], and [hedge] too if there is no result after [RelaySettings.hedgeDelayMs]: a silent store shows only at the timeout
     * of the direct call. Returns the first result. One of [hedge] says nothing about the store, so that has to be checked then.
     */
    private suspend fun <T> withHedge(directly: suspend () -> T, hedge: suspend () -> T?): T = coroutineScope {
        val directCall = async { directly() }
        val hedgedCall = async {
            timer.sleep(settings.hedgeDelayMs)
            hedge() ?: awaitCancellation()
        }
        select {
            directCall.onAwait { it }
            hedgedCall.onAwait {
                direct.requestCheck()
                it
            }
        }.also {
            directCall.cancel()
            hedgedCall.cancel()
        }
    }

    private fun isRetryDue(): Boolean = direct.failedAtMs?.let { timer.nowMs() - it >= settings.directRetryMs } ?: true

    /** Returns the first usable answer of a few other routers, or null if there is none. An append with unknown outcome is not repeated. */
    private suspend fun callPeers(call: RelayCall): RelayAnswer? {
        for (peer in peers().shuffled().take(settings.routersPerCall)) {
            val answer = client.send(peer, call, settings.callTimeoutMs)
            val isUnusable = answer == RelayAnswer.NotServed || (answer is RelayAnswer.Unknown && call !is RelayCall.Append)
            if (isUnusable) continue
            recordRelayedCall(peer)
            return answer
        }
        return null
    }

    private suspend fun readThroughPeers(call: RelayCall.Read, waitMs: Long): StreamReadResult? {
        val relayed = hedgedRelay.send(call, waitMs) ?: return null
        recordRelayedCall(relayed.peer)
        return when (val answer = relayed.answer) {
            is RelayAnswer.Records -> StreamReadResult.Read(answer.records.toRecords(), answer.endOffset, answer.era)
            RelayAnswer.Expired -> StreamReadResult.Expired
            else -> null
        }
    }

    /**
     * Reads as [readThroughPeers] does, but returns null as soon as the store is available to this router: other routers may keep the call
     * waiting, or not answer it at all.
     */
    private suspend fun readThroughPeersWhileUnavailable(call: RelayCall.Read, waitMs: Long): StreamReadResult? = coroutineScope {
        val relayed = async { readThroughPeers(call, waitMs) }
        val available = async { direct.awaitAvailable() }
        select {
            relayed.onAwait { it }
            available.onAwait { null }
        }.also {
            relayed.cancel()
            available.cancel()
        }
    }

    private fun recordRelayedCall(peer: SocketAddress) {
        if (relayedSinceMs != null) return
        relayedSinceMs = timer.nowMs()
        events.log(Events.RELAY_STARTED) { put("peer", peer.toString()) }
    }

    private fun recordDirectCall() {
        val sinceMs = relayedSinceMs ?: return
        relayedSinceMs = null
        events.log(Events.RELAY_ENDED) { put("after_ms", timer.nowMs() - sinceMs) }
    }
}
