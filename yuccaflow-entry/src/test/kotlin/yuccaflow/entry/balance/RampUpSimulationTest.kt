package yuccaflow.entry.balance

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull

/** Compares the sums of five runs with and without load control. */
@DisplayName("A target that starts while 28 routers send requests to its service")
class RampUpSimulationTest {
    private fun run(hasLoadControl: Boolean, slowFactor: Double) = (1..RUNS)
        .map { RampUpSimulation(hasLoadControl, slowFactor, slowMs = 3_000, routerCount = 28, seed = it).run() }
        .onEach { println("load control $hasLoadControl, slow factor $slowFactor: $it") }

    /** Guards against routers that all prefer the new target and fill its queue while it is slow. */
    @Test
    fun `gets fewer requests that it refuses or answers late while it is slow`() {
        val without = run(hasLoadControl = false, slowFactor = 8.0)
        val with = run(hasLoadControl = true, slowFactor = 8.0)
        expectThat(with.sumOf { it.refusedByTarget + it.lateResponses }).isLessThan(without.sumOf { it.refusedByTarget + it.lateResponses })
    }

    /** Guards against a ramp that leaves a sound target idle because each router sends it only two requests per second. */
    @Test
    fun `carries its full share within three seconds if it is sound`() {
        run(hasLoadControl = false, slowFactor = 1.0)
        val with = run(hasLoadControl = true, slowFactor = 1.0)
        with.forEach { figures ->
            expectThat(figures.fullShareAfterMs).isNotNull().isLessThanOrEqualTo(3_000)
        }
    }

    private companion object {
        const val RUNS = 5
    }
}
