package yuccaflow.entry.peer

import yuccaflow.entry.keys.PlannerProbe
import yuccaflow.entry.keys.PlannerTerm
import yuccaflow.http.SocketAddress

/** [PlannerProbe] by the relay of the planner's router. [relayOf] returns the relay address of a router, or null. */
internal class RelayPlannerProbe(
    private val client: RelayClient,
    private val relayOf: (String) -> SocketAddress?,
) : PlannerProbe {
    override suspend fun isActing(planner: PlannerTerm): Boolean {
        val relay = relayOf(planner.node) ?: return false
        val answer = client.send(relay, RelayCall.PlannerState(planner.life), TIMEOUT_MS)
        return answer is RelayAnswer.PlannerState && answer.isActing
    }

    private companion object {
        /** A planner that is lost without a trace is replaced this much later. */
        const val TIMEOUT_MS = 400L
    }
}
