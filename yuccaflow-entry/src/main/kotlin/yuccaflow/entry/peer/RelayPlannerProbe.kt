package yuccaflow.entry.peer

import yuccaflow.entry.keys.PlannerTerm
import yuccaflow.entry.keys.planner.PlannerProbe
import yuccaflow.http.SocketAddress

/** [PlannerProbe] that calls the relay of the planner's router. [relayOf] returns the relay address of a router, or null if not known. */
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
        /** If the planner stopped without closing its connections, its replacement is delayed by this time. */
        const val TIMEOUT_MS = 400L
    }
}
