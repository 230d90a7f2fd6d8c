package yuccaflow.entry.keys.balance

import yuccaflow.base.TimerService

/**
 * Samples the keys of recent requests, by service. The samples come from this router and, while it is the planner, from the routers that
 * report to it.
 */
internal class KeyLoadTracker(
    private val timer: TimerService,
) {
    /** The service times of the targets. */
    val serviceTimes = ServiceTimeTracker(timer)

    private val windows = HashMap<String, KeySampleWindow>()
    private val unreported = HashMap<String, ArrayList<Int>>()
    private val reportedAtMs = HashMap<String, Long>()

    /** The number of routers whose requests are in the samples, including this one. */
    val reportingRouterCount: Int
        get() {
            val oldestMs = timer.nowMs() - KeySampleWindow.WINDOW_MS
            return 1 + reportedAtMs.values.count { it >= oldestMs }
        }

    /** Returns the samples of [service]. */
    fun windowOf(service: String): KeySampleWindow = windows.getOrPut(service) { KeySampleWindow(timer) }

    /** Adds a request that this router received. */
    fun recordRequest(service: String, key: Int) {
        windowOf(service).recordRequest(key)
        val keys = unreported.getOrPut(service) { ArrayList() }
        if (keys.size < MAX_UNREPORTED) keys += key
    }

    /** Adds the keys, by service, that router [node] has sampled. A report without keys does not make it count as a reporting router. */
    fun addReport(node: String, samples: Map<String, List<Int>>) {
        if (samples.isEmpty()) return
        reportedAtMs[node] = timer.nowMs()
        samples.forEach { (service, keys) -> keys.forEach { windowOf(service).recordRequest(it) } }
    }

    /** Returns the keys that this router has sampled since the last call, by service. */
    fun drainUnreported(): Map<String, List<Int>> = unreported.mapValues { it.value.toList() }.also { unreported.clear() }

    private companion object {
        /** Bounds the memory use and the size of a report under a burst of requests. */
        const val MAX_UNREPORTED = 500
    }
}
