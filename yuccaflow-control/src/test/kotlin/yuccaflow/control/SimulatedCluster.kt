package yuccaflow.control

import java.util.PriorityQueue
import kotlin.random.Random

/** Number of simulated targets; each owns one range at first. */
internal const val TARGET_COUNT = 4

/**
 * Simulates the time, log, network and targets that the routers of one test schedule share, and records violations of the safety rules for
 * leases and grants. All times are virtual.
 */
internal class SimulatedCluster(
    val random: Random,
) {
    private class Event(
        val atMs: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private val events = PriorityQueue(compareBy<Event> { it.atMs }.thenBy { it.order })
    private var eventCount = 0L
    private val blockedUntilMs = mutableMapOf<Pair<String, String>, Long>()
    private val firstRead = mutableMapOf<Long, ControlTable>()
    var logUnavailableUntilMs = 0L

    /** True if routers neither hand over targets nor move ranges at random. */
    var isCalm = false
    var nowMs = 0L
        private set
    val log = mutableListOf<ControlRecord?>()
    val targets = (0 until TARGET_COUNT).associate { TargetId("t$it") to SimulatedTarget(this) }
    val routers = mutableListOf<SimulatedRouter>()

    /** The table with the highest position that any router has read. */
    private var latest: ControlTable = emptyControlTable()

    /** Ended routers, and when any router first read the end of their lease. */
    val endedAtMs = mutableMapOf<RouterId, Long>()
    val recordCounts = mutableMapOf<String, Int>()
    val violations = mutableListOf<String>()
    var requestsSent = 0

    fun after(delayMs: Long, action: () -> Unit) {
        events += Event(nowMs + delayMs, eventCount++, action)
    }

    fun runUntil(endMs: Long) {
        while (violations.isEmpty() && events.isNotEmpty() && events.peek().atMs <= endMs) {
            val event = events.poll()
            nowMs = event.atMs
            event.action()
        }
    }

    /** Drops messages from [from] to [to], which are names of zones or hosts, "log" or "targets". */
    fun blockLink(from: String, to: String, durationMs: Long) {
        blockedUntilMs[from to to] = nowMs + durationMs
    }

    fun isBlocked(from: SimulatedRouter, to: SimulatedRouter): Boolean =
        isBlocked(from.zone.value, to.zone.value) || isBlocked(from.host, to.host)

    private fun isBlocked(from: String, to: String): Boolean = (blockedUntilMs[from to to] ?: 0) > nowMs

    /** Cuts [zone] off from all other zones, the log and the targets. */
    fun isolate(zone: ZoneName, durationMs: Long) {
        routers.map { it.zone }.filter { it != zone }.forEach {
            blockLink(zone.value, it.value, durationMs)
            blockLink(it.value, zone.value, durationMs)
        }
        blockLink(zone.value, "log", durationMs)
        blockLink(zone.value, "targets", durationMs)
    }

    fun reachesLog(router: SimulatedRouter): Boolean =
        nowMs >= logUnavailableUntilMs && !isBlocked(router.zone.value, "log") && !isBlocked(router.host, "log")

    fun reachesTargets(router: SimulatedRouter): Boolean = !isBlocked(router.zone.value, "targets") && !isBlocked(router.host, "targets")

    /** Delay of one message. About 1% of the messages arrive very late. */
    fun delayMs(): Long = if (random.nextInt(100) == 0) random.nextLong(20, 900) else random.nextLong(1, 8)

    /** Appends [record] for [router]. The answer may be lost, in which case the log client appends the record a second time. */
    fun append(router: SimulatedRouter, record: ControlRecord) {
        after(delayMs()) {
            if (reachesLog(router)) {
                val stored = decodeControlRecord(encodeControlRecord(record))
                log += stored
                recordCounts.merge(record::class.simpleName.orEmpty(), 1, Int::plus)
                // The log client repeats an append whose answer was lost.
                if (random.nextInt(20) == 0) after(random.nextLong(1, 1_500)) { log += stored }
            }
        }
    }

    /** Called by each router after it has applied records up to the position of [table]. */
    fun tableUpdated(table: ControlTable) {
        val first = firstRead.getOrPut(table.position) { table }
        val isSame = first.routers == table.routers && first.primaries == table.primaries && first.ranges(SERVICE) == table.ranges(SERVICE)
        if (!isSame) violations += "two readers have different tables at position ${table.position}"
        if (table.position <= latest.position) return
        latest = table
        table.routers.values
            .filter { it.stage == RouterStage.ENDED }
            .forEach { endedAtMs.putIfAbsent(it.id, nowMs) }
    }

    /** Called by [router] directly after it has decided that it may send a request to [target]. */
    fun requestSent(router: SimulatedRouter, target: TargetId) {
        requestsSent++
        if (router.id in endedAtMs) violations += "at $nowMs router ${router.id} sends after its lease was ended at ${endedAtMs[router.id]}"
        val others = routers.filter { it !== router && it.maySend(target) }
        if (others.isNotEmpty()) violations += "at $nowMs routers ${router.id} and ${others.map { it.id }} may send to $target"
    }

    /** Called by a target after it has accepted a grant of [range]. */
    fun grantAccepted(range: KeyRange) {
        val holders = targets.filterValues { target ->
            target.grants.any { (granted, until) -> granted.overlaps(range) && until > target.clockMs() }
        }
        if (holders.size > 1) violations += "at $nowMs targets ${holders.keys} hold grants that overlap $range"
    }
}

/** A target that does not check fences: it accepts every grant that has not expired by its own clock. */
internal class SimulatedTarget(
    private val cluster: SimulatedCluster,
) {
    private val rate = cluster.random.nextDouble(SLOWEST_CLOCK, FASTEST_CLOCK)

    /** Granted ranges, with the reading of the target's clock at which they expire. */
    val grants = mutableMapOf<KeyRange, Long>()

    fun clockMs(): Long = (cluster.nowMs * rate).toLong()

    fun grant(ranges: List<KeyRange>, expiresAtClockMs: Long) {
        if (expiresAtClockMs <= clockMs()) return
        for (range in ranges) {
            grants.keys.removeAll { it.overlaps(range) && it != range }
            grants[range] = expiresAtClockMs
            cluster.grantAccepted(range)
        }
    }

    fun revoke(range: KeyRange) {
        grants.keys.removeAll { it.overlaps(range) }
    }
}

/** Bounds of the simulated clock rates, which differ by less than 2%. */
internal const val SLOWEST_CLOCK = 0.991
internal const val FASTEST_CLOCK = 1.009
