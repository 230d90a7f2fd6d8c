package yuccaflow.control

import java.util.PriorityQueue
import kotlin.random.Random

/** Number of the fake targets; each owns a range at first. */
internal const val SIM_TARGETS = 4

/** Fake time, fake log, fake network and fake targets under the routers of one schedule. Times are in fake milliseconds. */
internal class SimWorld(
    val random: Random,
) {
    private class Event(
        val atMs: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private val events = PriorityQueue(compareBy<Event> { it.atMs }.thenBy { it.order })
    private var scheduled = 0L
    private val cutUntilMs = mutableMapOf<Pair<String, String>, Long>()
    private val firstRead = mutableMapOf<Long, ControlTable>()
    var logDownUntilMs = 0L

    /** Routers hand over no targets and move no ranges for the sake of it. */
    var isCalm = false
    var nowMs = 0L
        private set
    val log = mutableListOf<ControlRecord?>()
    val targets = (0 until SIM_TARGETS).associate { TargetId("t$it") to SimTarget(this) }
    val routers = mutableListOf<SimRouter>()

    /** The highest position that any router has read, with the routers whose lease had ended by then. */
    private var latest: ControlTable = emptyControlTable()

    /** Time at which each lease end was first read, by router. */
    val endedAtMs = mutableMapOf<RouterId, Long>()
    val offsetsByKind = mutableMapOf<String, Int>()
    val violations = mutableListOf<String>()
    var actions = 0

    fun after(delayMs: Long, action: () -> Unit) {
        events += Event(nowMs + delayMs, scheduled++, action)
    }

    fun runUntil(endMs: Long) {
        while (violations.isEmpty() && events.isNotEmpty() && events.peek().atMs <= endMs) {
            val event = events.poll()
            nowMs = event.atMs
            event.action()
        }
    }

    /** Cuts the way from [from] to [to], which are zones, hosts or "log". */
    fun cut(from: String, to: String, durationMs: Long) {
        cutUntilMs[from to to] = nowMs + durationMs
    }

    fun isCut(from: SimRouter, to: SimRouter): Boolean = isCut(from.zone.value, to.zone.value) || isCut(from.host, to.host)

    private fun isCut(from: String, to: String): Boolean = (cutUntilMs[from to to] ?: 0) > nowMs

    /** Cuts a zone off from all others, from the log and from the targets. */
    fun isolate(zone: ZoneName, durationMs: Long) {
        routers.map { it.zone }.filter { it != zone }.forEach {
            cut(zone.value, it.value, durationMs)
            cut(it.value, zone.value, durationMs)
        }
        cut(zone.value, "log", durationMs)
        cut(zone.value, "targets", durationMs)
    }

    fun reachesLog(router: SimRouter): Boolean =
        nowMs >= logDownUntilMs && !isCut(router.zone.value, "log") && !isCut(router.host, "log")

    fun reachesTargets(router: SimRouter): Boolean = !isCut(router.zone.value, "targets") && !isCut(router.host, "targets")

    /** Delay of one message; a few come very late. */
    fun delayMs(): Long = if (random.nextInt(100) == 0) random.nextLong(20, 900) else random.nextLong(1, 8)

    /** Appends from [router]. The answer may be lost, which the router cannot tell from a failure, so it repeats the record. */
    fun append(router: SimRouter, record: ControlRecord) {
        after(delayMs()) {
            if (reachesLog(router)) {
                val stored = decodeControlRecord(encodeControlRecord(record))
                log += stored
                offsetsByKind.merge(record::class.simpleName.orEmpty(), 1, Int::plus)
                // The client of the log repeats an append whose answer was lost.
                if (random.nextInt(20) == 0) after(random.nextLong(1, 1_500)) { log += stored }
            }
        }
    }

    /** Told by each router after it has applied records up to the position of [table]. */
    fun tableRead(table: ControlTable) {
        val first = firstRead.getOrPut(table.position) { table }
        val isSame = first.routers == table.routers && first.primaries == table.primaries && first.ranges(SERVICE) == table.ranges(SERVICE)
        if (!isSame) violations += "two readers have different tables at position ${table.position}"
        if (table.position <= latest.position) return
        latest = table
        table.routers.values
            .filter { it.stage == RouterStage.ENDED }
            .forEach { endedAtMs.putIfAbsent(it.id, nowMs) }
    }

    /** Told by [router] directly after it decided that it may send work to [target]. */
    fun acting(router: SimRouter, target: TargetId) {
        actions++
        if (router.id in endedAtMs) violations += "at $nowMs router ${router.id} acts, whose end was read at ${endedAtMs[router.id]}"
        val others = routers.filter { it !== router && it.maySend(target) }
        if (others.isNotEmpty()) violations += "at $nowMs routers ${router.id} and ${others.map { it.id }} may send to $target"
    }

    /** Told by a target after it accepted a grant. */
    fun granted(range: KeyRange) {
        val holders = targets.filterValues { target ->
            target.grants.any { (granted, until) ->
                granted.overlaps(range) &&
                    until > target.clockMs()
            }
        }
        if (holders.size > 1) violations += "at $nowMs targets ${holders.keys} hold grants that overlap $range"
    }
}

/** A target that checks no fences: it takes every grant that has not expired on its own clock. */
internal class SimTarget(
    private val world: SimWorld,
) {
    private val rate = world.random.nextDouble(SLOWEST_CLOCK, FASTEST_CLOCK)

    /** Granted ranges with the value of the target's clock at which they expire. */
    val grants = mutableMapOf<KeyRange, Long>()

    fun clockMs(): Long = (world.nowMs * rate).toLong()

    fun grant(ranges: List<KeyRange>, expiresAtClockMs: Long) {
        if (expiresAtClockMs <= clockMs()) return
        for (range in ranges) {
            grants.keys.removeAll { it.overlaps(range) && it != range }
            grants[range] = expiresAtClockMs
            world.granted(range)
        }
    }

    fun revoke(range: KeyRange) {
        grants.keys.removeAll { it.overlaps(range) }
    }
}

/** Clock rates that differ by less than 2%. */
internal const val SLOWEST_CLOCK = 0.991
internal const val FASTEST_CLOCK = 1.009
