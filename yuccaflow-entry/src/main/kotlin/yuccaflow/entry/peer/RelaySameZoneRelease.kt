package yuccaflow.entry.peer

import yuccaflow.entry.keys.FencedKeyRange
import yuccaflow.entry.keys.KeyGrantResult
import yuccaflow.entry.keys.SameZoneRelease
import yuccaflow.entry.keys.TargetEndpoint
import yuccaflow.http.SocketAddress

/** [SameZoneRelease] through the relay of a router in the target's zone. [relaysIn] returns the relay addresses of a zone. */
internal class RelaySameZoneRelease(
    private val client: RelayClient,
    private val relaysIn: (String) -> List<SocketAddress>,
) : SameZoneRelease {
    override suspend fun release(target: TargetEndpoint, range: FencedKeyRange): KeyGrantResult? {
        val call = RelayCall.Release(target.target, target.address.toString(), target.zone, range.from, range.to, range.generation)
        for (relay in relaysIn(target.zone).shuffled().take(MAX_ROUTERS)) {
            when (val answer = client.send(relay, call, TIMEOUT_MS)) {
                is RelayAnswer.Released -> return KeyGrantResult.Done(answer.handover)
                is RelayAnswer.OtherTarget -> return KeyGrantResult.OtherTarget(answer.target)
                else -> continue
            }
        }
        return null
    }

    private companion object {
        const val MAX_ROUTERS = 2
        const val TIMEOUT_MS = 1_200L
    }
}
