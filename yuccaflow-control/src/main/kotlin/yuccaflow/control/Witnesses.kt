package yuccaflow.control

/** Maximum number of witnesses per router: tolerates the loss of a zone and one more router at a cost independent of the system's size. */
private const val MAX_WITNESSES = 7

/** Size of the smallest set of witnesses that keeps a majority when it loses one. */
private const val MIN_SPREAD_WITNESSES = 3

/**
 * Chooses up to 7 witnesses for router [self] in [zone] among the live ones of [routers]; routers that are leaving are not chosen.
 *
 * With three or more zones no zone holds a majority of the witnesses, and the loss of any one zone leaves a majority. With two zones both
 * provide the same number, so that neither holds a majority. A single zone provides an odd number.
 */
fun chooseWitnesses(self: RouterId, zone: ZoneName, routers: Collection<RouterEntry>): List<RouterId> {
    val candidates = routers.filter { it.id != self && it.stage == RouterStage.LIVE }.groupBy({ it.zone }, { it.id })
    // The router's own zone comes last and so provides the smaller share, since it may be partitioned off together with the router.
    val zones = rendezvousRank(self.value, candidates.keys).sortedBy { it == zone }
    val ranked = zones.map { rendezvousRank(self.value, candidates.getValue(it)) }
    for (size in MAX_WITNESSES downTo MIN_SPREAD_WITNESSES step 2) {
        val perZone = (size - 1) / 2
        if (ranked.sumOf { minOf(it.size, perZone) } >= size) return roundRobin(ranked.map { it.take(perZone) }).take(size)
    }
    if (ranked.isEmpty()) return emptyList()
    if (ranked.size == 1) return ranked.single().let { it.take(minOf(MAX_WITNESSES, it.size - 1 + it.size % 2)) }
    val perZone = minOf(MAX_WITNESSES / ranked.size, ranked.minOf { it.size })
    return roundRobin(ranked.map { it.take(perZone) })
}

private fun <T> roundRobin(lists: List<List<T>>): List<T> {
    val longest = lists.maxOfOrNull { it.size } ?: 0
    return (0 until longest).flatMap { index -> lists.mapNotNull { it.getOrNull(index) } }
}
