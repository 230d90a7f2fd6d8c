package yuccaflow.control

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo

internal class WitnessesTest {
    /** Live routers, [counts] of them per zone. Hosts and addresses are empty, because the choice of witnesses does not depend on them. */
    private fun routers(vararg counts: Int): List<RouterEntry> =
        counts.toList().flatMapIndexed { zone, count ->
            (1..count).map {
                RouterEntry(
                    RouterId("r$zone-$it"),
                    ZoneName("z$zone"),
                    "",
                    "",
                    "",
                    "",
                    emptyList(),
                    1,
                    RouterStage.LIVE,
                    null,
                )
            }
        }

    private fun witnessesPerZone(routers: List<RouterEntry>): List<List<Int>> {
        val zones = routers.associate { it.id to it.zone }
        return routers.map { self ->
            chooseWitnesses(self.id, self.zone, routers)
                .groupBy { zones.getValue(it) }
                .values
                .map { it.size }
                .sortedDescending()
        }
    }

    @Nested
    inner class Spread {
        @Test
        fun `no zone holds a majority of the witnesses, and the loss of any zone leaves a majority`() {
            expectThat(witnessesPerZone(routers(4, 4, 4))).all { isEqualTo(listOf(3, 2, 2)) }
            expectThat(witnessesPerZone(routers(3, 3, 3))).all { isEqualTo(listOf(3, 2, 2)) }
            expectThat(witnessesPerZone(routers(123, 123, 122, 122))).all { isEqualTo(listOf(2, 2, 2, 1)) }
            // Only routers of the first zone; the one that is skipped is in the same position as the others.
            expectThat(witnessesPerZone(routers(12, 1, 1)).drop(1).take(11)).all { get { maxOf { it } }.isLessThanOrEqualTo(2) }
        }

        @Test
        fun `two zones provide the same number of witnesses, and a single zone provides an odd number`() {
            expectThat(witnessesPerZone(routers(6, 6))).all { isEqualTo(listOf(3, 3)) }
            expectThat(witnessesPerZone(routers(12))).all { isEqualTo(listOf(7)) }
            expectThat(witnessesPerZone(routers(3))).all { isEqualTo(listOf(1)) }
            expectThat(witnessesPerZone(routers(1)).single()).isEmpty()
        }

        @Test
        fun `leaving routers are not chosen`() {
            val routers = routers(4, 4, 4)
            val leaving = routers.map { if (it.zone == ZoneName("z1")) it.copy(stage = RouterStage.LEAVING) else it }
            val chosen = chooseWitnesses(routers[0].id, routers[0].zone, leaving)
            expectThat(chosen.filter { it.value.startsWith("r1-") }).isEmpty()
        }
    }

    @Nested
    inner class RendezvousHashing {
        private val nodes = (1..10).map { TargetId("t$it") }

        @Test
        fun `the loss of a node affects only the keys for which it ranked first`() {
            val lost = nodes[3]
            for (key in 0 until 2_000) {
                val before = rendezvousChoice("$key", nodes)
                if (before != lost) expectThat(rendezvousChoice("$key", nodes - lost)).isEqualTo(before)
            }
        }

        @Test
        fun `each node ranks first for a share of the keys proportional to its weight`() {
            val firstPlaces = (0 until 4_000)
                .groupingBy {
                    rendezvousRank("$it", nodes) { node ->
                        if (node == nodes[0]) 5.0 else 1.0
                    }.first()
                }.eachCount()
            // Weights of 5/14 and 1/14 give 1,429 and 286 of the 4,000 keys. The bounds allow more than four standard deviations.
            expectThat(firstPlaces.getValue(nodes[0])).isIn(1_300..1_560)
            expectThat(firstPlaces.filterKeys { it != nodes[0] }.values).hasSize(9).all { isIn(210..360) }
        }

        @Test
        fun `the choice is the first in rank`() {
            expectThat(rendezvousChoice("k", nodes) { 2.0 }).isEqualTo(rendezvousRank("k", nodes) { 2.0 }.first())
        }
    }
}
