package yuccaflow.control

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random

/** Time without an effective record after which the placement counts as settled: longer than all delays of the policy. */
private const val SETTLED_MS = 75_000L

/** Time within which the placement must settle after the last disturbance. */
private const val SETTLE_LIMIT_MS = 600_000L

private val ZONE_NAMES = listOf("brest", "rennes", "vannes")

internal class PlacementProperties {
    /** Guards against ranges that no router plans for and against endless moves. */
    @Property(tries = 24, seed = "20261206", shrinking = ShrinkingMode.OFF)
    fun thePlacementSettlesAfterDisturbances(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val simulation = PlacementSimulation(placementConfig(6 + random.nextInt(7), randomStarts(random)))
        for (zone in ZONE_NAMES) repeat(2) { simulation.addRouter("$zone-$it", zone) }
        simulation.ratesByKey = randomRates(random)
        repeat(30) { round ->
            disturb(simulation, random, round)
            simulation.run(random.nextLong(250, 4_000))
        }
        endDisturbances(simulation, random)
        val disturbancesEndedAtMs = simulation.nowMs
        while (simulation.nowMs - maxOf(disturbancesEndedAtMs, simulation.effective.lastOrNull()?.first ?: 0) < SETTLED_MS) {
            simulation.step()
            if (simulation.nowMs - disturbancesEndedAtMs >= SETTLE_LIMIT_MS) println(simulation.effective.takeLast(12).joinToString("\n"))
            expectThat(simulation.nowMs - disturbancesEndedAtMs).isLessThan(SETTLE_LIMIT_MS)
        }
        expectSettled(simulation)
    }

    private fun expectSettled(simulation: PlacementSimulation) {
        val declared = simulation.config.ranges.values
            .map { it.range }
        expectThat(declared.flatMap { range -> uncovered(range, simulation.ranges.map { it.range }) }).isEmpty()
        expectThat(simulation.ranges).all {
            get { move }.isNull()
            get { simulation.config.targets[owner]?.let { simulation.config.isInService(it) } }.isEqualTo(true)
        }
        expectThat(simulation.config.targets.values).all {
            get { simulation.table.primaries[id]?.let { simulation.table.isLive(it.router) } ?: false }.isTrue()
        }
    }

    private fun randomStarts(random: Random): List<String> = listOf("") + ('b'..'z').filter { random.nextInt(4) == 0 }.map { "$it" }

    private fun randomRates(random: Random): Map<String, Double> =
        ('a'..'z').flatMap { listOf("$it", "$it$it") }.associateWith {
            if (random.nextInt(12) == 0) 300.0 else random.nextDouble(0.0, 30.0)
        }

    private fun disturb(simulation: PlacementSimulation, random: Random, round: Int) {
        val targets = simulation.config.targets
        val target = targets.keys.random(random)
        when (random.nextInt(10)) {
            0 -> simulation.lose(target.value)
            1 -> simulation.unreachableSinceMs.clear()
            2 -> simulation.config = simulation.config.copy(leavingZones = setOf(ZoneName(ZONE_NAMES.random(random))))
            3 -> simulation.config = simulation.config.copy(leavingZones = emptySet())
            4 -> simulation.config = simulation.config.copy(ranges = declaredRanges(randomStarts(random)))
            5 -> if (targets.size > 4) simulation.config = simulation.config.copy(targets = targets - target)
            6 -> simulation.config = simulation.config.copy(targets = targets + placementTarget(100 + round).let { it.id to it })
            7 -> simulation.ratesByKey = randomRates(random)
            8 -> replaceRouter(simulation, random, round)
            else -> startRandomMove(simulation, random)
        }
    }

    private fun replaceRouter(simulation: PlacementSimulation, random: Random, round: Int) {
        val router = simulation.table.routers.values
            .filter { it.stage == RouterStage.LIVE }
            .random(random)
        simulation.endRouter(router.id.value)
        if (random.nextBoolean()) simulation.run(1_000)
        simulation.addRouter("${router.zone}-again-$round", router.zone.value)
    }

    private fun startRandomMove(simulation: PlacementSimulation, random: Random) {
        val entry = simulation.ranges.randomOrNull(random) ?: return
        simulation.append(
            ControlRecord.MoveStarted(
                SERVICE,
                entry.range,
                entry.epoch,
                simulation.config.targets.keys
                    .random(random),
            ),
        )
    }

    private fun endDisturbances(simulation: PlacementSimulation, random: Random) {
        simulation.unreachableSinceMs.clear()
        val leaving = if (random.nextBoolean()) setOf(ZoneName("vannes")) else emptySet()
        simulation.config = simulation.config.copy(leavingZones = leaving)
    }
}
