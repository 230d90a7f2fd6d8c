package yuccaflow.entry.routing

import kotlinx.coroutines.test.runTest
import net.jqwik.api.ForAll
import net.jqwik.api.Group
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import net.jqwik.api.Tag
import net.jqwik.api.lifecycle.AfterContainer
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import kotlin.random.Random

/** Virtual duration of one random schedule. */
private const val SCHEDULE_MS = 20_000L

/** Random orders of answers, records, restarts and pauses. The router's own random choices are not seeded, so a run may differ slightly. */
internal class TargetWishesProperties {
    companion object {
        @JvmStatic
        @AfterContainer
        fun printTotals() = println(TargetWishesTotals)
    }

    @Group
    inner class GivenAnyOrderOfAnswersAndRecords {
        /** Guards against requests to a process later than 2 s after an answer in which it says that it leaves (DRAIN). */
        @Tag("known-red")
        @Property(tries = 20, seed = "20261206", shrinking = ShrinkingMode.OFF)
        fun noRequestReachesALeavingProcessLate(
            @ForAll seed: Long,
        ) = simulate(seed) { expectThat(it.lateRequests()).isEmpty() }

        /** Guards against more than two requests to a process during the pause for which it has asked (BUDGET). */
        @Property(tries = 20, seed = "20261207", shrinking = ShrinkingMode.OFF)
        fun atMostTwoRequestsReachAPausedProcess(
            @ForAll seed: Long,
        ) = simulate(seed) { expectThat(it.exceededPauses()).isEmpty() }
    }

    private fun simulate(seed: Long, check: (TargetWishesSimulation) -> Unit) = runTest {
        val simulation = TargetWishesSimulation(this, Random(seed))
        simulation.start()
        testScheduler.advanceTimeBy(SCHEDULE_MS)
        TargetWishesTotals.add(simulation)
        expectThat(simulation.servedCount).isGreaterThan(0)
        check(simulation)
    }
}
