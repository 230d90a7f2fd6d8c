package yuccaflow.entry.peer

import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import kotlin.random.Random

@DisplayName("A record that waits at the store miss")
class MissedRecordTest {
    private fun TestScope.simulation(seed: Int, missedShare: Double) =
        StreamFollowingSimulation(this, ROUTERS, Random(seed), missedShare).also { it.advance(SETTLED_MS) }

    private fun StreamFollowingSimulation.expectInForceEverywhere(appends: Int, random: Random) = repeat(appends) {
        expectThat(append(withinMs = IN_FORCE_MS)).all { isNotNull().isLessThanOrEqualTo(IN_FORCE_MS) }
        advance(random.nextLong(MAX_GAP_MS))
    }

    /** Guards against a change that some routers have at once and others seconds later, when the next one is published (CONFIG). */
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `is read by all routers within two seconds`(seed: Int) = runTest {
        val simulation = simulation(seed, missedShare = 0.7)
        simulation.planner = simulation.routers.first().relay
        simulation.expectInForceEverywhere(appends = 8, Random(seed))
    }

    /** Guards against records that are read late if the planner, through which routers exchange their positions, is lost or not known. */
    @ParameterizedTest
    @ValueSource(ints = [11, 12, 13, 14])
    fun `is read by all routers within two seconds without a planner`(seed: Int) = runTest {
        val simulation = simulation(seed, missedShare = 0.7)
        simulation.expectInForceEverywhere(appends = 4, Random(seed))
        simulation.planner = simulation.routers.first().relay
        simulation.routers.first().stopAnswering()
        simulation.expectInForceEverywhere(appends = 4, Random(seed))
    }

    /** Guards against records that are read late if every single wait at the store misses what is appended. */
    @Test
    fun `is read by all routers within two seconds even if no wait notices anything`() = runTest {
        val simulation = simulation(seed = 21, missedShare = 1.0)
        simulation.planner = simulation.routers.first().relay
        simulation.expectInForceEverywhere(appends = 5, Random(21))
    }

    /** Guards against a router that notices only after seconds that the store is silent, and applies a change that late (CONFIG). */
    @ParameterizedTest
    @ValueSource(ints = [41, 42, 43, 44, 45, 46])
    fun `is read within two seconds by routers that the store does not answer any more`(seed: Int) = runTest {
        val simulation = simulation(seed, missedShare = 0.7)
        val random = Random(seed)
        simulation.planner = simulation.routers.first().relay
        repeat(SILENCES) {
            val cut = simulation.routers.shuffled(random).take(SILENT_ROUTERS)
            cut.forEach { it.isStoreSilent = true }
            simulation.advance(random.nextLong(MAX_GAP_MS))
            simulation.expectInForceEverywhere(appends = 2, random)
            cut.forEach { it.isStoreSilent = false }
            simulation.advance(SETTLED_MS)
        }
    }

    /** Guards against calls to the store that grow with the routers, which cost more than they help at 88 routers. */
    @Test
    fun `costs few calls while no records are appended`() = runTest {
        val simulation = simulation(seed = 31, missedShare = 0.7)
        simulation.planner = simulation.routers.first().relay
        simulation.advance(SETTLED_MS)
        val before = simulation.routers.sumOf { it.reads }
        simulation.advance(QUIET_MS)
        val callsPerRouter = (simulation.routers.sumOf { it.reads } - before) / ROUTERS.toDouble()
        expectThat(callsPerRouter).isLessThan(QUIET_MS / POLLING_MS.toDouble() / 2)
    }

    /** Guards against a burst of calls beyond the limit of all routers, because they all date their views from the planner's read. */
    @Test
    fun `does not make all routers call the store at the same time when the planner is lost`() = runTest {
        val simulation = simulation(seed = 41, missedShare = 0.7)
        simulation.planner = simulation.routers.first().relay
        simulation.advance(SETTLED_MS)
        simulation.routers.first().stopAnswering()
        val callsByInterval = List((QUIET_MS / CALL_INTERVAL_MS).toInt()) {
            val before = simulation.routers.sumOf { it.reads }
            simulation.advance(CALL_INTERVAL_MS)
            simulation.routers.sumOf { it.reads } - before
        }
        expectThat(callsByInterval.max()).isLessThanOrEqualTo(ROUTERS / 2)
    }

    private companion object {
        const val ROUTERS = 12
        const val SILENCES = 4
        const val SILENT_ROUTERS = 4

        /** A tenth of the age at which a router reads the store itself, so that evenly spread calls are few in each interval. */
        const val CALL_INTERVAL_MS = 150L
        const val IN_FORCE_MS = 2_000L
        const val SETTLED_MS = 3_000L
        const val MAX_GAP_MS = 4_000L
        const val QUIET_MS = 20_000L

        /** Interval at which every router would have to read the store to be as recent without the others. */
        const val POLLING_MS = 1_500L
    }
}
