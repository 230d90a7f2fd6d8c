package yuccaflow.standins

import kotlinx.coroutines.Job
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap

/** The state of one target incarnation, which a restart discards. */
internal class TargetInstance(
    private val spec: TargetSpec,
    startsCold: Boolean,
) {
    val id: String = UUID.randomUUID().toString()
    val grants = GrantRegistry()
    val running = ConcurrentHashMap<String, Job>()
    private val startedNanos = System.nanoTime()
    private var inFlight = 0
    private var isCold = startsCold
    private var answeredSinceCold = 0
    private val loadHistory = ArrayDeque<Pair<Long, Int>>()

    /** Monotonic clock of this instance. It starts at 1 s, so that a reading is never 0. */
    fun clockMs(): Long = (System.nanoTime() - startedNanos) / NANOS_PER_MS + CLOCK_START_MS

    /** Number of requests that the target accepts at a time; a cold target starts with one and gains slots as it answers requests. */
    @Synchronized
    fun availableSlots(): Int = if (isCold) minOf(spec.slots, 1 + answeredSinceCold / spec.warmUpRequests) else spec.slots

    /** Occupies a slot. Returns the number of occupied slots, or null when all are taken. */
    @Synchronized
    fun tryAcquireSlot(): Int? {
        if (inFlight >= availableSlots()) return null
        return (++inFlight).also { recordLoad() }
    }

    @Synchronized
    fun releaseSlot(isAnswered: Boolean) {
        inFlight--
        if (isAnswered) answeredSinceCold++
        recordLoad()
    }

    @Synchronized
    fun becomeCold() {
        isCold = true
        answeredSinceCold = 0
    }

    /** Number of requests in flight [ageMs] ago. */
    @Synchronized
    fun inFlightBefore(ageMs: Long): Int = loadHistory.lastOrNull { it.first <= clockMs() - ageMs }?.second ?: 0

    private fun recordLoad() {
        val now = clockMs()
        loadHistory.addLast(now to inFlight)
        while (loadHistory.size > 1 && loadHistory[1].first < now - LOAD_HISTORY_MS) loadHistory.removeFirst()
    }
}

private const val CLOCK_START_MS = 1_000L

/** Age up to which load samples are kept; the upper bound of [TargetSwitches.loadLateMs]. */
private const val LOAD_HISTORY_MS = 10_000L
