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
    private val world = PlacementWorld(placementConfig(targets = 9, starts))

    private fun startAll() {
        for (zone in listOf("brest", "rennes", "vannes")) repeat(3) { world.addRouter("$zone-$it", zone) }
        world.run(2_000)
        world.effective.clear()
    }

    private fun zoneOf(target: TargetId): ZoneName = world.config.targets
        .getValue(target)
        .zone

    private fun zoneOf(router: RouterId): ZoneName = world.table.routers
        .getValue(router)
        .zone

    private inline fun <reified T : ControlRecord> effective(): List<T> = world.effective.map { it.second }.filterIsInstance<T>()

    private fun mark(zone: String) {
        world.config = world.config.copy(leavingZones = setOf(ZoneName(zone)))
    }

    @Nested
    inner class Primaries {
        @Test
        fun `are routers of the target's own zone, evenly used`() {
            startAll()
            val primaries = world.table.primaries.values
            expectThat(primaries).hasSize(9).all { get { zoneOf(router) == zoneOf(target) }.isEqualTo(true) }
            world.run(10_000)
            expectThat(
                world.table.primaries.values
                    .groupBy { it.router },
            ).hasSize(9)
        }

        @Test
        fun `come from another zone only while the own zone has no router`() {
            world.addRouter("brest-0", "brest")
            world.run(2_000)
            expectThat(
                world.table.primaries.values
                    .map { it.router }
                    .toSet(),
            ).isEqualTo(setOf(RouterId("brest-0")))
            world.addRouter("rennes-0", "rennes")
            world.run(2_000)
            val ofRennes = world.table.primaries.values
                .filter { zoneOf(it.target).value == "rennes" }
            expectThat(ofRennes).hasSize(3).all { get { router }.isEqualTo(RouterId("rennes-0")) }
            expectThat(effective<ControlRecord.PrimaryAssigned>().takeLast(3)).all { get { by }.isEqualTo(RouterId("brest-0")) }
        }

        @Test
        fun `are replaced within the zone when their lease has ended, and the owners stay`() {
            startAll()
            val owners = world.ranges.map { it.owner }
            world.endRouter("brest-0")
            world.run(2_000)
            expectThat(
                world.table.primaries.values,
            ).all { get { zoneOf(router) == zoneOf(target) && world.table.isLive(router) }.isEqualTo(true) }
            expectThat(world.ranges.map { it.owner }).isEqualTo(owners)
        }

        @Test
        fun `leave hosts that are marked as leaving`() {
            startAll()
            world.leavingHosts += "host-brest-1"
            world.run(2_000)
            expectThat(
                world.table.primaries.values
                    .map { it.router },
            ).none { isEqualTo(RouterId("brest-1")) }
        }

        @Test
        fun `are assigned by the next router in rank half a second later when the first does not act`() {
            startAll()
            val planners = world.table.routers.keys - RouterId("brest-0")
            world.endRouter("brest-0")
            val rank = rendezvousRank(SERVICE.value, planners)
            expectThat(world.decide(rank[0]).filterIsInstance<ControlRecord.PrimaryAssigned>()).any { get { by }.isEqualTo(rank[0]) }
            expectThat(world.decide(rank[1])).isEmpty()
            world.deadRouters += rank[0]
            world.run(750)
            expectThat(effective<ControlRecord.PrimaryAssigned>()).all { get { by }.isEqualTo(rank[1]) }
        }
    }

    @Nested
    inner class Ranges {
        @Test
        fun `get first owners at once, no target with more than its share`() {
            startAll()
            expectThat(world.ranges.map { it.range.from }).isEqualTo(starts)
            expectThat(
                world.ranges
                    .groupBy { it.owner }
                    .values
                    .map { it.size },
            ).all { isLessThanOrEqualTo(2) }
        }

        @Test
        fun `of a lost target move, and no others`() {
            startAll()
            val owners = world.ranges.associate { it.range to it.owner }
            val lost = world.ranges.first().owner
            world.lose(lost.value)
            world.run(700)
            expectThat(effective<ControlRecord.MoveStarted>()).isEmpty()
            world.run(1_500)
            val (touched, others) = world.ranges.partition { owners[it.range] == lost }
            expectThat(touched).all { get { owner }.isNotEqualTo(lost) }
            expectThat(others).all { get { owner }.isEqualTo(owners[this.subject.range]) }
        }

        @Test
        fun `leave a marked zone within seconds, at most four at a time to one target`() {
            world.config = placementConfig(targets = 9, ('A'..'Z').flatMap { listOf("$it", "${it}5") }.drop(1).let { listOf("") + it })
            startAll()
            mark("brest")
            repeat(20) {
                world.step()
                val incoming = world.ranges
                    .mapNotNull { it.move?.to }
                    .groupingBy { it }
                    .eachCount()
                expectThat(incoming.values).all { isLessThanOrEqualTo(4) }
            }
            expectThat(world.ranges).all { get { zoneOf(owner).value }.isNotEqualTo("brest") }
        }

        @Test
        fun `of a lost zone are released only after the run limit, then served elsewhere`() {
            startAll()
            repeat(3) { world.endRouter("brest-$it") }
            val endedAtMs = world.nowMs
            world.run(4_000)
            expectThat(world.ranges).all { get { zoneOf(owner).value }.isNotEqualTo("brest") }
            val releases = world.effective.filter { it.second is ControlRecord.RangeReleased }.map { it.first - endedAtMs }
            expectThat(releases.min()).isGreaterThanOrEqualTo(500)
            expectThat(releases.max()).isLessThan(1_500)
        }

        @Test
        fun `return to the old owner when the destination is lost before the release`() {
            startAll()
            val entry = world.ranges.first()
            val to = world.config.targets.keys
                .first { it != entry.owner }
            world.deadRouters += world.table.primaries
                .getValue(entry.owner)
                .router
            world.append(ControlRecord.MoveStarted(SERVICE, entry.range, entry.epoch, to))
            world.lose(to.value)
            world.run(3_000)
            expectThat(world.ranges.first()) {
                get { owner }.isEqualTo(entry.owner)
                get { move }.isNull()
            }
        }

        @Test
        fun `are withdrawn with their service`() {
            startAll()
            world.config = world.config.copy(services = emptyMap(), ranges = emptyMap())
            world.run(2_000)
            expectThat(world.ranges).isEmpty()
        }

        @Test
        fun `leave a withdrawn target whose primary ended after the run limit`() {
            startAll()
            val owner = world.ranges.first().owner
            world.endRouter(
                world.table.primaries
                    .getValue(owner)
                    .router.value,
            )
            world.config = world.config.copy(targets = world.config.targets - owner)
            world.run(250)
            expectThat(world.ranges.filter { it.owner == owner }).all { get { move?.to }.isNotEqualTo(owner) }
            world.run(2_500)
            expectThat(world.ranges).none { get { this.owner }.isEqualTo(owner) }
        }

        @Test
        fun `are split at new declared boundaries and keep their owners`() {
            startAll()
            world.config = world.config.copy(ranges = declaredRanges(listOf("", "d", "f", "i", "l", "o", "r", "u", "x")))
            val ownerOfD = world.table.rangeOf(SERVICE, "d")?.owner
            world.run(2_000)
            expectThat(world.ranges.map { it.range.from }).contains("d")
            expectThat(world.table.rangeOf(SERVICE, "d")?.owner).isEqualTo(ownerOfD)
        }
    }

    @Nested
    inner class Loads {
        private fun maxOverMean(): Double = world
            .loads()
            .values
            .map { it.requestsPerSecond }
            .let { it.max() / it.average() }

        @Test
        fun `are evened out by one move at a time, after three seconds`() {
            startAll()
            val crowded = world.ranges
                .groupBy { it.owner }
                .values
                .maxBy { it.size }
            expectThat(crowded.size).isGreaterThanOrEqualTo(2)
            world.rates = crowded.associate { it.range.from + "a" to 100.0 }
            world.run(2_500)
            expectThat(effective<ControlRecord.MoveStarted>()).isEmpty()
            world.run(2_000)
            expectThat(effective<ControlRecord.MoveStarted>()).hasSize(1)
            expectThat(maxOverMean()).isLessThan(9.0)
        }

        @Test
        fun `move ranges at most twelve times a minute`() {
            startAll()
            world.rates = ('a'..'z').associate { "$it" to 40.0 } + ('a'..'z').associate { "${it}q" to 60.0 + it.code }
            world.run(60_000)
            expectThat(effective<ControlRecord.MoveStarted>().size).isLessThanOrEqualTo(12)
        }

        @Test
        fun `of one hot key get a range of their own`() {
            startAll()
            world.rates = ('a'..'z').associate { "$it" to 10.0 } + mapOf("dupont" to 200.0)
            world.run(5_000)
            expectThat(world.ranges.map { it.range }).contains(KeyRange("dupont", "dupont\u0000"))
        }

        @Test
        fun `that have been low for a minute let parts of a range merge again`() {
            startAll()
            world.rates = ('a'..'z').associate { "$it" to 10.0 } + mapOf("dupont" to 200.0)
            world.run(20_000)
            world.rates = ('a'..'z').associate { "$it" to 10.0 }
            world.run(40_000)
            expectThat(world.ranges.map { it.range.from }).contains("dupont")
            world.run(200_000)
            expectThat(world.ranges.map { it.range.from }).containsExactlyInAnyOrder(starts)
        }
    }
}
