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

/** Fake time of one random schedule. */
private const val SCHEDULE_MS = 15_000L

/** Longest time from the loss of a router to the end of its lease while the log is up, from the requirement of 3 s. */
private const val END_LIMIT_MS = 3_000L

private val ZONES = listOf("brest", "rennes", "vannes").map { ZoneName(it) }

internal class LeaseProperties {
    companion object {
        @JvmStatic
        @AfterContainer
        fun printTotals() = println(Totals)
    }

    /** Guards against two senders, two grants for a key, readers that disagree, and action after the end of a lease was read. */
    @Property(tries = 200, seed = "20261204", shrinking = ShrinkingMode.OFF)
    fun routersNeverActTogetherOrAfterTheirEnd(
        @ForAll seed: Long,
    ) {
        val world = SimWorld(Random(seed))
        startRouters(world) { 1 + world.random.nextInt(4) }
        world.after(2_000) { injectFault(world) }
        world.runUntil(SCHEDULE_MS)
        Totals.add(world)
        expectThat(world.violations).isEmpty()
    }

    /** Guards against a lost router whose targets stay without a primary for longer than the requirement. */
    @Property(tries = 40, seed = "20261205", shrinking = ShrinkingMode.OFF)
    fun theLeaseOfALostRouterEndsInTime(
        @ForAll seed: Long,
    ) {
        val world = SimWorld(Random(seed))
        startRouters(world) { 4 }
        world.runUntil(4_000 + world.random.nextLong(0, 1_000))
        val lostAtMs = world.nowMs
        val zoneIsLost = world.random.nextInt(3) == 0
        val lost = world.routers.filter { if (zoneIsLost) it.zone == ZONES[0] else it.host == "brest-1" }
        lost.forEach { it.kill() }
        world.runUntil(lostAtMs + END_LIMIT_MS + 1_000)
        for (router in lost) {
            val endedAtMs = world.endedAtMs[router.id] ?: Long.MAX_VALUE
            expectThat(endedAtMs - lostAtMs).isLessThan(END_LIMIT_MS)
            Totals.slowestEndMs = maxOf(Totals.slowestEndMs, endedAtMs - lostAtMs)
        }
        expectThat(world.violations).isEmpty()
    }

    /** Guards against a log outage that stops routers whose witnesses can be reached. */
    @Example
    fun serviceContinuesThroughALongLogOutage() {
        val world = SimWorld(Random(7))
        world.isCalm = true
        startRouters(world) { 4 }
        world.runUntil(5_000)
        world.logDownUntilMs = 60_000
        world.runUntil(20_000)
        val before = world.actions
        world.runUntil(22_000)
        // 4 targets with one check each 25 ms; the first and the last may fall outside.
        expectThat(world.actions - before).isGreaterThan(SIM_TARGETS * (80 - 2))
        expectThat(world.violations).isEmpty()
    }

    /** Guards against routers that were all restarted at once and whose old entries nobody can end, so that their targets stay lost. */
    @Example
    fun allLeasesEndAfterAllRoutersWereRestarted() {
        val world = SimWorld(Random(11))
        startRouters(world) { 4 }
        world.runUntil(5_000)
        val lost = world.routers.toList()
        lost.forEach { it.kill() }
        world.runUntil(15_000)
        expectThat(lost.map { it.id } - world.endedAtMs.keys).isEmpty()
        expectThat(world.violations).isEmpty()
    }

    private fun startRouters(world: SimWorld, inZone: (ZoneName) -> Int) {
        ZONES.forEach { zone -> repeat(inZone(zone)) { startRouter(world, zone, "$zone-$it") } }
    }

    private fun startRouter(world: SimWorld, zone: ZoneName, host: String) {
        val router = SimRouter(world, RouterId("$host-run${world.routers.size}"), zone, host)
        world.routers += router
        router.start()
        replaceWhenOver(world, router)
    }

    /** Starts a new run on the host after the old one was lost, stopped or ended. */
    private fun replaceWhenOver(world: SimWorld, router: SimRouter) {
        world.after(200) {
            if (!router.isOver) {
                replaceWhenOver(world, router)
            } else {
                world.after(world.random.nextLong(100, 2_000)) { startRouter(world, router.zone, router.host) }
                finish(world, router)
            }
        }
    }

    private fun finish(world: SimWorld, router: SimRouter) {
        if (router.isFinished) router.kill() else world.after(200) { finish(world, router) }
    }

    private fun injectFault(world: SimWorld) {
        val random = world.random
        val router = world.routers.filter { !it.isOver }.randomOrNull(random)
        val durationMs = random.nextLong(50, 3_500)
        if (router != null) {
            when (random.nextInt(13)) {
                0, 1, 2, 3 -> router.pause(durationMs)
                4 -> router.kill()
                5 -> router.stop()
                6 -> world.isolate(router.zone, durationMs)
                7 -> world.logDownUntilMs = world.nowMs + durationMs
                9, 10, 11 -> leaveStale(world)
                8 -> cutHost(world, router, durationMs)
                else -> world.cut(router.host, listOf("log", "targets").random(random), durationMs)
            }
        }
        world.after(random.nextLong(50, 1_200)) { injectFault(world) }
    }

    /** Cuts some routers from the log for long, while one of them is paused until its lease may be ended and another is heard by few. */
    private fun leaveStale(world: SimWorld) {
        val random = world.random
        val group = world.routers
            .filter { !it.isOver }
            .shuffled(random)
            .take(2 + random.nextInt(3))
        group.forEach { world.cut(it.host, "log", random.nextLong(4_000, 8_000)) }
        group.firstOrNull()?.pause(random.nextLong(2_000, 4_000))
        group.getOrNull(1)?.let { cutHost(world, it, random.nextLong(2_000, 6_000)) }
    }

    /** Cuts one host from some others, often in one direction only. */
    private fun cutHost(world: SimWorld, router: SimRouter, durationMs: Long) {
        for (other in world.routers) {
            if (world.random.nextInt(3) > 0) world.cut(router.host, other.host, durationMs)
            if (world.random.nextInt(3) > 0) world.cut(other.host, router.host, durationMs)
        }
    }
}

/** Sums over all schedules, printed for the reports of a run. */
internal object Totals {
    private var schedules = 0
    private var failed = 0
    private var actions = 0L
    private var ended = 0
    private var records = 0
    private val kinds = mutableMapOf<String, Int>()
    var slowestEndMs = 0L

    fun add(world: SimWorld) {
        schedules++
        if (world.violations.isNotEmpty()) failed++
        actions += world.actions
        ended += world.endedAtMs.size
        records += world.log.size
        world.offsetsByKind.forEach { (kind, count) -> kinds.merge(kind, count, Int::plus) }
    }

    override fun toString(): String =
        "$schedules schedules, $failed failed, $actions checked sends, $ended ended leases, $records records $kinds, slowest end $slowestEndMs ms"
}
