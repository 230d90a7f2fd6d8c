package yuccaflow.control

import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import net.jqwik.api.lifecycle.AfterContainer
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random

/** Virtual duration of one random schedule. */
private const val SCHEDULE_MS = 15_000L

/** Maximum time from the loss of a router to the end of its lease while the log is available, as required. */
private const val END_LIMIT_MS = 3_000L

private val ZONES = listOf("brest", "rennes", "vannes").map { ZoneName(it) }

internal class LeaseProperties {
    companion object {
        @JvmStatic
        @AfterContainer
        fun printTotals() = println(Totals)
    }

    /**
     * Guards against two routers that may send to one target, two targets with grants for one key, readers with different tables, and
     * requests sent after the end of the sender's lease was read.
     */
    @Property(tries = 200, seed = "20261204", shrinking = ShrinkingMode.OFF)
    fun atMostOneRouterSendsToATargetAndNoneAfterItsLeaseHasEnded(
        @ForAll seed: Long,
    ) {
        val cluster = SimulatedCluster(Random(seed))
        startRouters(cluster) { 1 + cluster.random.nextInt(4) }
        cluster.after(2_000) { injectFault(cluster) }
        cluster.runUntil(SCHEDULE_MS)
        Totals.add(cluster)
        expectThat(cluster.violations).isEmpty()
    }

    /** Guards against a lost router whose targets remain without a primary for longer than required. */
    @Property(tries = 40, seed = "20261205", shrinking = ShrinkingMode.OFF)
    fun theLeaseOfALostRouterEndsInTime(
        @ForAll seed: Long,
    ) {
        val cluster = SimulatedCluster(Random(seed))
        startRouters(cluster) { 4 }
        cluster.runUntil(4_000 + cluster.random.nextLong(0, 1_000))
        val lostAtMs = cluster.nowMs
        val isZoneLost = cluster.random.nextInt(3) == 0
        val lost = cluster.routers.filter { if (isZoneLost) it.zone == ZONES[0] else it.host == "brest-1" }
        lost.forEach { it.kill() }
        cluster.runUntil(lostAtMs + END_LIMIT_MS + 1_000)
        for (router in lost) {
            val endedAtMs = cluster.endedAtMs[router.id] ?: Long.MAX_VALUE
            expectThat(endedAtMs - lostAtMs).isLessThan(END_LIMIT_MS)
            Totals.slowestEndMs = maxOf(Totals.slowestEndMs, endedAtMs - lostAtMs)
        }
        expectThat(cluster.violations).isEmpty()
    }

    /** Guards against routers that stop sending during a log outage although they reach their witnesses. */
    @Example
    fun serviceContinuesThroughALongLogOutage() {
        val cluster = SimulatedCluster(Random(7))
        cluster.isCalm = true
        startRouters(cluster) { 4 }
        cluster.runUntil(5_000)
        cluster.logUnavailableUntilMs = 60_000
        cluster.runUntil(20_000)
        val before = cluster.requestsSent
        cluster.runUntil(22_000)
        // Each of the 4 targets is sent a request every 25 ms; the first and the last one may fall outside the interval.
        expectThat(cluster.requestsSent - before).isGreaterThan(TARGET_COUNT * (80 - 2))
        expectThat(cluster.violations).isEmpty()
    }

    /** Guards against a simultaneous restart of all routers after which no router can end the old leases, so that targets stay unserved. */
    @Example
    fun allLeasesEndAfterAllRoutersWereRestarted() {
        val cluster = SimulatedCluster(Random(11))
        startRouters(cluster) { 4 }
        cluster.runUntil(5_000)
        val lost = cluster.routers.toList()
        lost.forEach { it.kill() }
        cluster.runUntil(15_000)
        expectThat(lost.map { it.id } - cluster.endedAtMs.keys).isEmpty()
        expectThat(cluster.violations).isEmpty()
    }

    private fun startRouters(cluster: SimulatedCluster, inZone: (ZoneName) -> Int) {
        ZONES.forEach { zone -> repeat(inZone(zone)) { startRouter(cluster, zone, "$zone-$it") } }
    }

    private fun startRouter(cluster: SimulatedCluster, zone: ZoneName, host: String) {
        val router = SimulatedRouter(cluster, RouterId("$host-run${cluster.routers.size}"), zone, host)
        cluster.routers += router
        router.start()
        restartWhenOver(cluster, router)
    }

    /** Starts a new router on the host once [router] has been lost or has stopped, or its lease has ended. */
    private fun restartWhenOver(cluster: SimulatedCluster, router: SimulatedRouter) {
        cluster.after(200) {
            if (!router.isOver) {
                restartWhenOver(cluster, router)
            } else {
                cluster.after(cluster.random.nextLong(100, 2_000)) { startRouter(cluster, router.zone, router.host) }
                killWhenFinished(cluster, router)
            }
        }
    }

    private fun killWhenFinished(cluster: SimulatedCluster, router: SimulatedRouter) {
        if (router.isFinished) router.kill() else cluster.after(200) { killWhenFinished(cluster, router) }
    }

    private fun injectFault(cluster: SimulatedCluster) {
        val random = cluster.random
        val router = cluster.routers.filter { !it.isOver }.randomOrNull(random)
        val durationMs = random.nextLong(50, 3_500)
        if (router != null) {
            when (random.nextInt(13)) {
                0, 1, 2, 3 -> router.pause(durationMs)
                4 -> router.kill()
                5 -> router.stop()
                6 -> cluster.isolate(router.zone, durationMs)
                7 -> cluster.logUnavailableUntilMs = cluster.nowMs + durationMs
                9, 10, 11 -> isolateFromLog(cluster)
                8 -> isolateFromSomeHosts(cluster, router, durationMs)
                else -> cluster.blockLink(router.host, listOf("log", "targets").random(random), durationMs)
            }
        }
        cluster.after(random.nextLong(50, 1_200)) { injectFault(cluster) }
    }

    /** Cuts some routers off from the log for seconds, pauses one of them until its lease may be ended, and drops messages of another. */
    private fun isolateFromLog(cluster: SimulatedCluster) {
        val random = cluster.random
        val group = cluster.routers
            .filter { !it.isOver }
            .shuffled(random)
            .take(2 + random.nextInt(3))
        group.forEach { cluster.blockLink(it.host, "log", random.nextLong(4_000, 8_000)) }
        group.firstOrNull()?.pause(random.nextLong(2_000, 4_000))
        group.getOrNull(1)?.let { isolateFromSomeHosts(cluster, it, random.nextLong(2_000, 6_000)) }
    }

    /** Cuts [router] off from some other hosts, often in one direction only. */
    private fun isolateFromSomeHosts(cluster: SimulatedCluster, router: SimulatedRouter, durationMs: Long) {
        for (other in cluster.routers) {
            if (cluster.random.nextInt(3) > 0) cluster.blockLink(router.host, other.host, durationMs)
            if (cluster.random.nextInt(3) > 0) cluster.blockLink(other.host, router.host, durationMs)
        }
    }
}

/** Totals over all random schedules, printed at the end of the run. */
internal object Totals {
    private var schedules = 0
    private var failed = 0
    private var requestsSent = 0L
    private var ended = 0
    private var records = 0
    private val recordCounts = mutableMapOf<String, Int>()
    var slowestEndMs = 0L

    fun add(cluster: SimulatedCluster) {
        schedules++
        if (cluster.violations.isNotEmpty()) failed++
        requestsSent += cluster.requestsSent
        ended += cluster.endedAtMs.size
        records += cluster.log.size
        cluster.recordCounts.forEach { (kind, count) -> recordCounts.merge(kind, count, Int::plus) }
    }

    override fun toString(): String =
        "$schedules schedules, $failed failed, $requestsSent checked sends, $ended ended leases, $records records $recordCounts, slowest end $slowestEndMs ms"
}
