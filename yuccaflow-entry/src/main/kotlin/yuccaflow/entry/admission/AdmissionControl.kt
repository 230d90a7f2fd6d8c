package yuccaflow.entry.admission

import yuccaflow.entry.config.Route
import java.util.LinkedHashMap

/**
 * Applies [AdmissionPolicy] with what this router has observed of each target. Confined to the event loop.
 *
 * The state is in memory only, and bounded: the targets that were asked for least recently are forgotten, and count as not overloaded.
 */
internal class AdmissionControl {
    private class TargetRecord {
        /** By latency objective, because the routes of a service may differ in it. */
        val detectors = HashMap<Long, OverloadDetector>()
        val shares = PriorityShares()
        var admittedAtMs = 0L
    }

    private val records = object : LinkedHashMap<String, TargetRecord>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, TargetRecord>) = size > MAX_TARGETS
    }

    /** The places of refused callers that may return. */
    val retryPlaces = RetryPlaces()

    /**
     * Decides whether [target] should get a request of [route] that is expected to be answered as in [estimate].
     *
     * The service time is learned from answers. If it alone is longer than the remaining time, a request with ample time is admitted now
     * and then nevertheless, because without new answers the estimate would never change.
     */
    fun decide(target: String, estimate: AnswerEstimate, route: Route, remainingMs: Long, nowMs: Long): AdmissionDecision {
        val pressure = Pressure(observeQueue(target, estimate, route, nowMs), isBelowFloor(target, route.priority))
        val decision = AdmissionPolicy.admit(estimate, route, remainingMs, pressure)
        val isProbe = decision.result == AdmissionResult.TOO_LATE &&
            estimate.queueMs <= 0 &&
            remainingMs >= route.objectiveMs &&
            nowMs - recordOf(target).admittedAtMs >= PROBE_INTERVAL_MS
        return if (isProbe) AdmissionDecision(AdmissionResult.ADMITTED_AS_PROBE, estimate, decision.limitMs) else decision
    }

    /** Returns whether [priority] has had less than its floor of the recent requests to [target]. */
    fun isBelowFloor(target: String, priority: Int): Boolean = recordOf(target).shares.isBelowFloor(priority)

    /** Records the queue of [target] as it is expected after a load report. Returns whether the target is overloaded. */
    fun observeQueue(target: String, estimate: AnswerEstimate, route: Route, nowMs: Long): Boolean =
        recordOf(target).detectors.getOrPut(route.objectiveMs) { OverloadDetector(route.objectiveMs) }.observe(estimate.queueMs, nowMs)

    /** Records that [target] gets an admitted request. */
    fun recordAdmitted(target: String, route: Route, nowMs: Long) {
        val record = recordOf(target)
        record.shares.record(route.priority, nowMs)
        record.admittedAtMs = nowMs
    }

    private fun recordOf(target: String) = records.getOrPut(target) { TargetRecord() }

    private companion object {
        /** A target that is three times slower is so for moments only. */
        const val PROBE_INTERVAL_MS = 1_000L
        const val MAX_TARGETS = 500
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
