package yuccaflow.standins

import kotlinx.coroutines.Job
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap

/** One run of a target: everything that a restart loses. */
internal class TargetInstance(
    private val spec: TargetSpec,
    cold: Boolean,
) {
    val id: String = UUID.randomUUID().toString()
    val grants = GrantBook()
    val running = ConcurrentHashMap<String, Job>()
    private val startedNanos = System.nanoTime()
    private var inFlight = 0
    private var isCold = cold
    private var answeredSinceCold = 0
    private val loadHistory = ArrayDeque<Pair<Long, Int>>()

    /** The monotonic clock of this instance; it starts at 1 s so that a clock reading is never 0. */
    fun clockMs(): Long = (System.nanoTime() - startedNanos) / NANOS_PER_MS + CLOCK_START_MS

    /** Slots that the target bears now. */
    @Synchronized
    fun slots(): Int = if (isCold) minOf(spec.slots, 1 + answeredSinceCold / spec.warmUpRequests) else spec.slots

    /** Takes a slot and returns the number taken, or null when all are taken. */
    @Synchronized
    fun take(): Int? {
        if (inFlight >= slots()) return null
        return (++inFlight).also { note() }
    }

    @Synchronized
    fun free(answered: Boolean) {
        inFlight--
        if (answered) answeredSinceCold++
        note()
    }

    @Synchronized
    fun turnCold() {
        isCold = true
        answeredSinceCold = 0
    }

    /** Requests in flight as of [lateMs] ago. */
    @Synchronized
    fun inFlight(lateMs: Long): Int = loadHistory.lastOrNull { it.first <= clockMs() - lateMs }?.second ?: 0

    private fun note() {
        val now = clockMs()
        loadHistory.addLast(now to inFlight)
        while (loadHistory.size > 1 && loadHistory[1].first < now - LOAD_HISTORY_MS) loadHistory.removeFirst()
    }
}

private const val CLOCK_START_MS = 1_000L

/** Longest delay of load reports that the switch can set. */
private const val LOAD_HISTORY_MS = 10_000L
