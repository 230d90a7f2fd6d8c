package yuccaflow.entry.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import yuccaflow.base.TimerService
import yuccaflow.http.SocketAddress

/**
 * Sends reads to several other routers, because the store may be silent for any of them too, and a router that has ended looks like one
 * that waits. Calls that change something must not be sent through it.
 *
 * @property peers returns the relay addresses of the other routers.
 */
internal class HedgedRelay(
    private val client: RelayClient,
    private val peers: () -> List<SocketAddress>,
    private val timer: TimerService,
    private val settings: RelaySettings,
) {
    /** The [answer] of the router with the relay address [peer]. */
    class PeerAnswer(
        val peer: SocketAddress,
        val answer: RelayAnswer,
    )

    /**
     * Returns the first usable answer to [call], or null if there is none. Two routers are asked at once, and another one whenever an
     * answer is unusable or none has arrived for [RelaySettings.hedgeDelayMs] after [waitMs], the wait of [call].
     */
    suspend fun send(call: RelayCall.Read, waitMs: Long): PeerAnswer? = coroutineScope {
        val remaining = peers().shuffled().take(settings.routersPerRead).iterator()
        val pending = ArrayList<Deferred<PeerAnswer>>()
        repeat(INITIAL_CALLS) { askNext(remaining, pending, call, waitMs) }
        while (pending.isNotEmpty()) {
            val answered = awaitAny(pending, waitMs + settings.hedgeDelayMs)
            val peerAnswer = answered?.await()
            if (peerAnswer != null && peerAnswer.answer.isUsable()) {
                coroutineContext.cancelChildren()
                return@coroutineScope peerAnswer
            }
            answered?.let(pending::remove)
            askNext(remaining, pending, call, waitMs)
        }
        null
    }

    private fun CoroutineScope.askNext(
        remaining: Iterator<SocketAddress>,
        pending: MutableList<Deferred<PeerAnswer>>,
        call: RelayCall.Read,
        waitMs: Long,
    ) {
        if (!remaining.hasNext()) return
        val peer = remaining.next()
        pending += async { PeerAnswer(peer, client.send(peer, call, waitMs + settings.callTimeoutMs)) }
    }

    /** Returns one of [pending] that is completed, or null if none is after [timeoutMs]. */
    private suspend fun CoroutineScope.awaitAny(pending: List<Deferred<PeerAnswer>>, timeoutMs: Long): Deferred<PeerAnswer>? {
        val timeout: Job = launch { timer.sleep(timeoutMs) }
        return select {
            pending.forEach { call -> call.onJoin { call } }
            timeout.onJoin { null }
        }.also { timeout.cancel() }
    }

    private fun RelayAnswer.isUsable(): Boolean = this is RelayAnswer.Records || this == RelayAnswer.Expired

    private companion object {
        /** Routers that are called at once, so that a single one that does not answer delays no read. */
        const val INITIAL_CALLS = 2
    }
}
