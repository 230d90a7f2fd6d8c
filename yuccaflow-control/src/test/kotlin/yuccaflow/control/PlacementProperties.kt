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

/** Time without a record after which the policy counts as quiet: longer than all of its delays. */
private const val QUIET_MS = 75_000L

/** Time within which a healthy system must have become quiet. */
private const val SETTLE_LIMIT_MS = 600_000L

private val ZONE_NAMES = listOf("brest", "rennes", "vannes")

internal class PlacementProperties {
    /** Guards against ranges that nobody takes care of and against moves that never end. */
    @Property(tries = 24, seed = "20261206", shrinking = ShrinkingMode.OFF)
    fun aHealthySystemSettlesAndGoesQuiet(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val world = PlacementWorld(placementConfig(6 + random.nextInt(7), randomStarts(random)))
        for (zone in ZONE_NAMES) repeat(2) { world.addRouter("$zone-$it", zone) }
        world.rates = randomRates(random)
        repeat(30) { round ->
            disturb(world, random, round)
            world.run(random.nextLong(250, 4_000))
        }
        heal(world, random)
        val healedAtMs = world.nowMs
        while (world.nowMs - maxOf(healedAtMs, world.effective.lastOrNull()?.first ?: 0) < QUIET_MS) {
            world.step()
            if (world.nowMs - healedAtMs >= SETTLE_LIMIT_MS) println(world.effective.takeLast(12).joinToString("\n"))
            expectThat(world.nowMs - healedAtMs).isLessThan(SETTLE_LIMIT_MS)
        }
        expectSettled(world)
    }

    private fun expectSettled(world: PlacementWorld) {
        val declared = world.config.ranges.values
            .map { it.range }
        expectThat(declared.flatMap { range -> uncovered(range, world.ranges.map { it.range }) }).isEmpty()
        expectThat(world.ranges).all {
            get { move }.isNull()
            get { world.config.targets[owner]?.let { world.config.isInService(it) } }.isEqualTo(true)
        }
        expectThat(world.config.targets.values).all {
            get { world.table.primaries[id]?.let { world.table.isLive(it.router) } ?: false }.isTrue()
        }
    }

    private fun randomStarts(random: Random): List<String> = listOf("") + ('b'..'z').filter { random.nextInt(4) == 0 }.map { "$it" }

    private fun randomRates(random: Random): Map<String, Double> =
        ('a'..'z').flatMap { listOf("$it", "$it$it") }.associateWith {
            if (random.nextInt(12) ==
                0
            ) {
                300.0
            } else {
                random.nextDouble(0.0, 30.0)
            }
        }

    private fun disturb(world: PlacementWorld, random: Random, round: Int) {
        val targets = world.config.targets
        val target = targets.keys.random(random)
        when (random.nextInt(10)) {
            0 -> world.lose(target.value)
            1 -> world.unreachableSinceMs.clear()
            2 -> world.config = world.config.copy(leavingZones = setOf(ZoneName(ZONE_NAMES.random(random))))
            3 -> world.config = world.config.copy(leavingZones = emptySet())
            4 -> world.config = world.config.copy(ranges = declaredRanges(randomStarts(random)))
            5 -> if (targets.size > 4) world.config = world.config.copy(targets = targets - target)
            6 -> world.config = world.config.copy(targets = targets + placementTarget(100 + round).let { it.id to it })
            7 -> world.rates = randomRates(random)
            8 -> replaceRouter(world, random, round)
            else -> startRandomMove(world, random)
        }
    }

    private fun replaceRouter(world: PlacementWorld, random: Random, round: Int) {
        val router = world.table.routers.values
            .filter { it.stage == RouterStage.LIVE }
            .random(random)
        world.endRouter(router.id.value)
        if (random.nextBoolean()) world.run(1_000)
        world.addRouter("${router.zone}-again-$round", router.zone.value)
    }

    private fun startRandomMove(world: PlacementWorld, random: Random) {
        val entry = world.ranges.randomOrNull(random) ?: return
        world.append(
            ControlRecord.MoveStarted(
                SERVICE,
                entry.range,
                entry.epoch,
                world.config.targets.keys
                    .random(random),
            ),
        )
    }

    private fun heal(world: PlacementWorld, random: Random) {
        world.unreachableSinceMs.clear()
        val leaving = if (random.nextBoolean()) setOf(ZoneName("vannes")) else emptySet()
        world.config = world.config.copy(leavingZones = leaving)
    }
}
