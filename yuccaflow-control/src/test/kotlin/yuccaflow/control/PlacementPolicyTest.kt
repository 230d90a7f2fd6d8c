package yuccaflow.control

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import strikt.assertions.none

internal class PlacementPolicyTest {
    private val starts = listOf("", "c", "f", "i", "l", "o", "r", "u", "x")
    private val simulation = PlacementSimulation(placementConfig(targets = 9, starts))

    private fun startRouters() {
        for (zone in listOf("brest", "rennes", "vannes")) repeat(3) { simulation.addRouter("$zone-$it", zone) }
        simulation.run(2_000)
        simulation.effective.clear()
    }

    private fun zoneOf(target: TargetId): ZoneName = simulation.config.targets
        .getValue(target)
        .zone

    private fun zoneOf(router: RouterId): ZoneName = simulation.table.routers
        .getValue(router)
        .zone

    private inline fun <reified T : ControlRecord> effective(): List<T> = simulation.effective.map { it.second }.filterIsInstance<T>()

    private fun mark(zone: String) {
        simulation.config = simulation.config.copy(leavingZones = setOf(ZoneName(zone)))
    }

    @Nested
    inner class Primaries {
        @Test
        fun `are routers of the target's zone, each with the same number of targets`() {
            startRouters()
            val primaries = simulation.table.primaries.values
            expectThat(primaries).hasSize(9).all { get { zoneOf(router) == zoneOf(target) }.isEqualTo(true) }
            simulation.run(10_000)
            expectThat(
                simulation.table.primaries.values
                    .groupBy { it.router },
            ).hasSize(9)
        }

        @Test
        fun `come from another zone only while the target's zone has no router`() {
            simulation.addRouter("brest-0", "brest")
            simulation.run(2_000)
            expectThat(
                simulation.table.primaries.values
                    .map { it.router }
                    .toSet(),
            ).isEqualTo(setOf(RouterId("brest-0")))
            simulation.addRouter("rennes-0", "rennes")
            simulation.run(2_000)
            val ofRennes = simulation.table.primaries.values
                .filter { zoneOf(it.target).value == "rennes" }
            expectThat(ofRennes).hasSize(3).all { get { router }.isEqualTo(RouterId("rennes-0")) }
            expectThat(effective<ControlRecord.PrimaryAssigned>().takeLast(3)).all { get { by }.isEqualTo(RouterId("brest-0")) }
        }

        @Test
        fun `are replaced within the zone when their lease has ended, without a change of owners`() {
            startRouters()
            val owners = simulation.ranges.map { it.owner }
            simulation.endRouter("brest-0")
            simulation.run(2_000)
            expectThat(
                simulation.table.primaries.values,
            ).all { get { zoneOf(router) == zoneOf(target) && simulation.table.isLive(router) }.isEqualTo(true) }
            expectThat(simulation.ranges.map { it.owner }).isEqualTo(owners)
        }

        @Test
        fun `move off hosts that are marked as leaving`() {
            startRouters()
            simulation.leavingHosts += "host-brest-1"
            simulation.run(2_000)
            expectThat(
                simulation.table.primaries.values
                    .map { it.router },
            ).none { isEqualTo(RouterId("brest-1")) }
        }

        @Test
        fun `are assigned by the second router in rank after half a second if the first does not act`() {
            startRouters()
            val planners = simulation.table.routers.keys - RouterId("brest-0")
            simulation.endRouter("brest-0")
            val rank = rendezvousRank(SERVICE.value, planners)
            expectThat(simulation.decide(rank[0]).filterIsInstance<ControlRecord.PrimaryAssigned>()).any { get { by }.isEqualTo(rank[0]) }
            expectThat(simulation.decide(rank[1])).isEmpty()
            simulation.stoppedRouters += rank[0]
            simulation.run(750)
            expectThat(effective<ControlRecord.PrimaryAssigned>()).all { get { by }.isEqualTo(rank[1]) }
        }
    }

    @Nested
    inner class Ranges {
        @Test
        fun `are assigned first owners at once, and no target more than its share`() {
            startRouters()
            expectThat(simulation.ranges.map { it.range.from }).isEqualTo(starts)
            expectThat(
                simulation.ranges
                    .groupBy { it.owner }
                    .values
                    .map { it.size },
            ).all { isLessThanOrEqualTo(2) }
        }

        @Test
        fun `of a lost target move, and no other ranges do`() {
            startRouters()
            val owners = simulation.ranges.associate { it.range to it.owner }
            val lost = simulation.ranges.first().owner
            simulation.lose(lost.value)
            simulation.run(700)
            expectThat(effective<ControlRecord.MoveStarted>()).isEmpty()
            simulation.run(1_500)
            val (moved, others) = simulation.ranges.partition { owners[it.range] == lost }
            expectThat(moved).all { get { owner }.isNotEqualTo(lost) }
            expectThat(others).all { get { owner }.isEqualTo(owners[this.subject.range]) }
        }

        @Test
        fun `move off a zone marked as leaving within seconds, at most four at a time to one target`() {
            simulation.config = placementConfig(targets = 9, ('A'..'Z').flatMap { listOf("$it", "${it}5") }.drop(1).let { listOf("") + it })
            startRouters()
            mark("brest")
            repeat(20) {
                simulation.step()
                val incoming = simulation.ranges
                    .mapNotNull { it.move?.to }
                    .groupingBy { it }
                    .eachCount()
                expectThat(incoming.values).all { isLessThanOrEqualTo(4) }
            }
            expectThat(simulation.ranges).all { get { zoneOf(owner).value }.isNotEqualTo("brest") }
        }

        @Test
        fun `of a lost zone are released after the run limit and assigned to other zones`() {
            startRouters()
            repeat(3) { simulation.endRouter("brest-$it") }
            val endedAtMs = simulation.nowMs
            simulation.run(4_000)
            expectThat(simulation.ranges).all { get { zoneOf(owner).value }.isNotEqualTo("brest") }
            val releases = simulation.effective.filter { it.second is ControlRecord.RangeReleased }.map { it.first - endedAtMs }
            expectThat(releases.min()).isGreaterThanOrEqualTo(500)
            expectThat(releases.max()).isLessThan(1_500)
        }

        @Test
        fun `stay with their owner if the destination is lost before the release`() {
            startRouters()
            val entry = simulation.ranges.first()
            val to = simulation.config.targets.keys
                .first { it != entry.owner }
            simulation.stoppedRouters += simulation.table.primaries
                .getValue(entry.owner)
                .router
            simulation.append(ControlRecord.MoveStarted(SERVICE, entry.range, entry.epoch, to))
            simulation.lose(to.value)
            simulation.run(3_000)
            expectThat(simulation.ranges.first()) {
                get { owner }.isEqualTo(entry.owner)
                get { move }.isNull()
            }
        }

        @Test
        fun `are withdrawn together with their service`() {
            startRouters()
            simulation.config = simulation.config.copy(services = emptyMap(), ranges = emptyMap())
            simulation.run(2_000)
            expectThat(simulation.ranges).isEmpty()
        }

        @Test
        fun `move off a withdrawn target whose primary has ended once the run limit is over`() {
            startRouters()
            val owner = simulation.ranges.first().owner
            simulation.endRouter(
                simulation.table.primaries
                    .getValue(owner)
                    .router.value,
            )
            simulation.config = simulation.config.copy(targets = simulation.config.targets - owner)
            simulation.run(250)
            expectThat(simulation.ranges.filter { it.owner == owner }).all { get { move?.to }.isNotEqualTo(owner) }
            simulation.run(2_500)
            expectThat(simulation.ranges).none { get { this.owner }.isEqualTo(owner) }
        }

        @Test
        fun `are split at new declared boundaries and keep their owners`() {
            startRouters()
            simulation.config = simulation.config.copy(ranges = declaredRanges(listOf("", "d", "f", "i", "l", "o", "r", "u", "x")))
            val ownerOfD = simulation.table.rangeOf(SERVICE, "d")?.owner
            simulation.run(2_000)
            expectThat(simulation.ranges.map { it.range.from }).contains("d")
            expectThat(simulation.table.rangeOf(SERVICE, "d")?.owner).isEqualTo(ownerOfD)
        }
    }

    @Nested
    inner class Loads {
        private fun maxOverMean(): Double = simulation
            .loads()
            .values
            .map { it.requestsPerSecond }
            .let { it.max() / it.average() }

        @Test
        fun `are balanced by one move at a time, after an imbalance of three seconds`() {
            startRouters()
            val crowded = simulation.ranges
                .groupBy { it.owner }
                .values
                .maxBy { it.size }
            expectThat(crowded.size).isGreaterThanOrEqualTo(2)
            simulation.ratesByKey = crowded.associate { it.range.from + "a" to 100.0 }
            simulation.run(2_500)
            expectThat(effective<ControlRecord.MoveStarted>()).isEmpty()
            simulation.run(2_000)
            expectThat(effective<ControlRecord.MoveStarted>()).hasSize(1)
            expectThat(maxOverMean()).isLessThan(9.0)
        }

        @Test
        fun `cause at most twelve moves per minute`() {
            startRouters()
            simulation.ratesByKey = ('a'..'z').associate { "$it" to 40.0 } + ('a'..'z').associate { "${it}q" to 60.0 + it.code }
            simulation.run(60_000)
            expectThat(effective<ControlRecord.MoveStarted>().size).isLessThanOrEqualTo(12)
        }

        @Test
        fun `of a hot key lead to a range of its own`() {
            startRouters()
            simulation.ratesByKey = ('a'..'z').associate { "$it" to 10.0 } + mapOf("dupont" to 200.0)
            simulation.run(5_000)
            expectThat(simulation.ranges.map { it.range }).contains(KeyRange("dupont", "dupont\u0000"))
        }

        @Test
        fun `that have been low for a minute allow split ranges to be merged`() {
            startRouters()
            simulation.ratesByKey = ('a'..'z').associate { "$it" to 10.0 } + mapOf("dupont" to 200.0)
            simulation.run(20_000)
            simulation.ratesByKey = ('a'..'z').associate { "$it" to 10.0 }
            simulation.run(40_000)
            expectThat(simulation.ranges.map { it.range.from }).contains("dupont")
            simulation.run(200_000)
            expectThat(simulation.ranges.map { it.range.from }).containsExactlyInAnyOrder(starts)
        }
    }
}
