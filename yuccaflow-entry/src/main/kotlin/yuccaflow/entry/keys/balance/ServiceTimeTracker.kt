package yuccaflow.entry.keys.balance

import kotlinx.serialization.Serializable
import yuccaflow.base.TimerService
import yuccaflow.entry.balance.TargetState
import yuccaflow.entry.keys.TargetIncarnation
import yuccaflow.entry.keys.incarnationOf

/**
 * A router's service time of one target.
 *
 * @property meanMs the smoothed time that a request takes without queueing.
 * @property samples the number of responses since the last report.
 */
@Serializable
internal class ReportedServiceTime(
    val meanMs: Double,
    val samples: Int,
)

/**
 * Averages the service times of targets over the reports of all routers. A single router sees too few of the responses of a target to
 * tell fast targets from slow ones.
 */
internal class ServiceTimeTracker(
    private val timer: TimerService,
) {
    private class Received(
        val time: ReportedServiceTime,
        val atMs: Long,
    )

    private val receivedByTarget = HashMap<String, ArrayDeque<Received>>()
    private val reportedCounts = HashMap<TargetIncarnation, Long>()

    /** Adds the service times, by target, that a router has reported. Values that no measurement can have are ignored. */
    fun addReport(times: Map<String, ReportedServiceTime>) = times.forEach { (target, time) ->
        if (time.samples !in 1..MAX_SAMPLES || !time.meanMs.isFinite() || time.meanMs <= 0) return@forEach
        receivedByTarget.getOrPut(target) { ArrayDeque() }.addLast(Received(time, timer.nowMs()))
        evictOld(target)
    }

    /** Returns the service times, by target, of those of [states] that have responded to this router since the last call. */
    fun drainUnreported(states: Collection<TargetState>): Map<String, ReportedServiceTime> {
        receivedByTarget.keys.toList().forEach(::evictOld)
        val present = states.associateBy { incarnationOf(it.entry) }
        reportedCounts.keys.retainAll(present.keys)
        val times = HashMap<String, ReportedServiceTime>()
        for ((incarnation, state) in present) {
            val samples = state.responseCount - (reportedCounts.put(incarnation, state.responseCount) ?: 0)
            val meanMs = state.serviceTimeMsOrNull
            if (samples > 0 && meanMs != null) times[incarnation.target] = ReportedServiceTime(meanMs, samples.toInt())
        }
        return times
    }

    /** Returns the average service time of [target] in the last [WINDOW_MS], weighted by samples, or null if there is no report. */
    fun averageMs(target: String): Double? {
        evictOld(target)
        val received = receivedByTarget[target] ?: return null
        return received.sumOf { it.time.meanMs * it.time.samples } / received.sumOf { it.time.samples }
    }

    private fun evictOld(target: String) {
        val received = receivedByTarget[target] ?: return
        val oldestMs = timer.nowMs() - WINDOW_MS
        while (received.isNotEmpty() && (received.first().atMs < oldestMs || received.size > MAX_REPORTS)) received.removeFirst()
        if (received.isEmpty()) receivedByTarget -= target
    }

    private companion object {
        /** Long enough for tens of responses of a target in the reports of all routers. */
        const val WINDOW_MS = 4_000L

        /** Bounds the memory use for one target. 58 routers that report every 400 ms send 580 reports in a window. */
        const val MAX_REPORTS = 600

        /** More responses than a router gets in a report's interval. */
        const val MAX_SAMPLES = 100_000
    }
}
