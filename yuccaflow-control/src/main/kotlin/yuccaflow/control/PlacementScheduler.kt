package yuccaflow.control

/** A proposed record. [subject] names what the record is meant to change and identifies the proposal across calls. */
internal data class PlacementAction(
    val service: ServiceName,
    val subject: String,
    val record: ControlRecord,
    /** True if this router should act at once, because it alone can append the record or is the first to know that it is needed. */
    val isImmediate: Boolean = false,
)

/**
 * Decides when this router appends a proposed record.
 *
 * All routers propose the same actions. The router of rank 0 for a service acts at once and each following rank
 * [PlacementSettings.rankDelayMs] later, so that usually only one of them appends the record.
 */
internal class PlacementScheduler(
    private val settings: PlacementSettings,
) {
    private class Proposal(
        val firstSeenMs: Long,
        var returnedAtMs: Long?,
        var record: ControlRecord?,
    )

    private val proposals = mutableMapOf<Pair<ServiceName, String>, Proposal>()

    /**
     * Returns the records of [actions] that this router should append at [nowMs]. [rankOfSelf] returns its rank among the planners of a
     * service, or null if it is not one of them.
     */
    fun due(nowMs: Long, actions: List<PlacementAction>, rankOfSelf: (ServiceName) -> Int?): List<ControlRecord> {
        proposals.keys.retainAll(actions.map { it.service to it.subject }.toSet())
        return actions.filter { action -> isDue(nowMs, action, rankOfSelf) }.map { it.record }
    }

    private fun isDue(nowMs: Long, action: PlacementAction, rankOfSelf: (ServiceName) -> Int?): Boolean {
        val proposal = proposals.getOrPut(action.service to action.subject) { Proposal(nowMs, returnedAtMs = null, record = null) }
        val rank = if (action.isImmediate) 0 else rankOfSelf(action.service) ?: return false
        val isTurn = nowMs - proposal.firstSeenMs >= rank * settings.rankDelayMs
        val isRecentlyReturned =
            proposal.record == action.record && proposal.returnedAtMs?.let { nowMs - it < settings.retryAfterMs } == true
        if (!isTurn || isRecentlyReturned) return false
        proposal.returnedAtMs = nowMs
        proposal.record = action.record
        return true
    }
}
