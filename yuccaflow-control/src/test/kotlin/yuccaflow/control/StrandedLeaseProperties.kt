package yuccaflow.control

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import net.jqwik.api.lifecycle.AfterContainer
import strikt.api.expectThat
import strikt.assertions.isEmpty
import kotlin.random.Random

/**
 * Schedules of four routers in which all but one lose the log and that one directly after the lease of a router was ended, or without that. The others can
 * still reach each other, and the ended router may wake among them with what it had read before. Random schedules rarely get there.
 */
internal class StrandedLeaseProperties {
    /** Guards against leases that live on answers of ended witnesses, or on counting these as if they had answered. */
    @Property(tries = 100, seed = "20261207", shrinking = ShrinkingMode.OFF)
    fun routersCutOffWithAnEndedWitnessLoseTheirLeases(
        @ForAll seed: Long,
    ) {
        val world = SimWorld(Random(seed))
        listOf("brest-0", "brest-1", "rennes-0", "vannes-0").forEach { host ->
            val router = SimRouter(world, RouterId(host), ZoneName(host.substringBefore('-')), host)
            world.routers += router
            router.start()
        }
        world.runUntil(3_000)
        val (victim, kept) = world.routers.shuffled(world.random)
        when (world.random.nextInt(3)) {
            0 -> strand(world, kept)
            1 -> victim.kill()
            else -> victim.pause(world.random.nextLong(2_200, 3_600))
        }
        strandWhenEnded(world, victim, kept)
        world.runUntil(12_000)
        strandedTotals(world)
        expectThat(world.violations).isEmpty()
    }

    private fun strandWhenEnded(world: SimWorld, victim: SimRouter, kept: SimRouter) {
        world.after(10) {
            if (victim.id !in world.endedAtMs) {
                strandWhenEnded(world, victim, kept)
            } else {
                world.after(world.random.nextLong(0, 250)) { strand(world, kept) }
            }
        }
    }

    private fun strand(world: SimWorld, kept: SimRouter) {
        for (router in world.routers.filter { it !== kept }) {
            world.cut(router.host, "log", STRANDED_MS)
            world.cut(router.host, kept.host, STRANDED_MS)
            world.cut(kept.host, router.host, STRANDED_MS)
        }
    }

    private fun strandedTotals(world: SimWorld) {
        schedules++
        if (world.violations.isNotEmpty()) failed++
        ended += world.endedAtMs.size
    }

    companion object {
        /** Long enough for the router that keeps the log to end the leases of those that cannot confirm themselves. */
        private const val STRANDED_MS = 6_000L
        private var schedules = 0
        private var failed = 0
        private var ended = 0

        @JvmStatic
        @AfterContainer
        fun printTotals() = println("$schedules schedules, $failed failed, $ended ended leases, stranded")
    }
}
