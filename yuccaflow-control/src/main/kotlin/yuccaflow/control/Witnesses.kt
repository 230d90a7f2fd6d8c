package yuccaflow.control

/** Most witnesses of a router: enough to bear the loss of a zone and one more, with a cost that does not grow with the system. */
private const val MAX_WITNESSES = 7

/** The smallest set that can lose a member and keep a majority. */
private const val MIN_SPREAD_WITNESSES = 3

/**
 * Chooses the witnesses of router [self] in [zone] among the live ones of [routers]: up to 7, such that no zone has a majority and the
 * loss of any one zone leaves one. Where there are two zones, both give the same number, so that neither has a majority; where there is
 * one, it gives an odd number. Routers that are leaving are not chosen.
 */
fun chooseWitnesses(self: RouterId, zone: ZoneName, routers: Collection<RouterEntry>): List<RouterId> {
    val candidates = routers.filter { it.id != self && it.stage == RouterStage.LIVE }.groupBy({ it.zone }, { it.id })
    // The own zone comes last and so gets the smaller share: it is the one that may be cut off together with this router.
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
