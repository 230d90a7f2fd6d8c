package yuccaflow.control

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import net.jqwik.api.lifecycle.AfterContainer
import strikt.api.expectThat
import strikt.assertions.isEmpty
import kotlin.random.Random

/**
 * Simulations of four routers of which three lose their connections to the log and to the fourth router, usually just after the lease of
 * one of the four was ended. The three still reach each other, and the ended router may resume among them with an outdated table. The
 * random faults of [LeaseProperties] rarely lead to this situation.
 */
internal class LogPartitionLeaseProperties {
    /** Guards against leases that are confirmed by answers of ended witnesses, or by counting ended witnesses as having answered. */
    @Property(tries = 100, seed = "20261207", shrinking = ShrinkingMode.OFF)
    fun routersPartitionedWithAnEndedWitnessLoseTheirLeases(
        @ForAll seed: Long,
    ) {
        val cluster = SimulatedCluster(Random(seed))
        listOf("brest-0", "brest-1", "rennes-0", "vannes-0").forEach { host ->
            val router = SimulatedRouter(cluster, RouterId(host), ZoneName(host.substringBefore('-')), host)
            cluster.routers += router
            router.start()
        }
        cluster.runUntil(3_000)
        val (victim, connected) = cluster.routers.shuffled(cluster.random)
        when (cluster.random.nextInt(3)) {
            0 -> partition(cluster, connected)
            1 -> victim.kill()
            else -> victim.pause(cluster.random.nextLong(2_200, 3_600))
        }
        partitionWhenEnded(cluster, victim, connected)
        cluster.runUntil(12_000)
        addToTotals(cluster)
        expectThat(cluster.violations).isEmpty()
    }

    private fun partitionWhenEnded(cluster: SimulatedCluster, victim: SimulatedRouter, connected: SimulatedRouter) {
        cluster.after(10) {
            if (victim.id !in cluster.endedAtMs) {
                partitionWhenEnded(cluster, victim, connected)
            } else {
                cluster.after(cluster.random.nextLong(0, 250)) { partition(cluster, connected) }
            }
        }
    }

    private fun partition(cluster: SimulatedCluster, connected: SimulatedRouter) {
        for (router in cluster.routers.filter { it !== connected }) {
            cluster.blockLink(router.host, "log", PARTITION_MS)
            cluster.blockLink(router.host, connected.host, PARTITION_MS)
            cluster.blockLink(connected.host, router.host, PARTITION_MS)
        }
    }

    private fun addToTotals(cluster: SimulatedCluster) {
        schedules++
        if (cluster.violations.isNotEmpty()) failed++
        ended += cluster.endedAtMs.size
    }

    companion object {
        /** Long enough for the router that still reaches the log to end the leases of those that cannot confirm theirs. */
        private const val PARTITION_MS = 6_000L
        private var schedules = 0
        private var failed = 0
        private var ended = 0

        @JvmStatic
        @AfterContainer
        fun printTotals() = println("$schedules schedules, $failed failed, $ended ended leases, partitioned")
    }
}
