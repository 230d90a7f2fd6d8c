package yuccaflow.entry.keys

import yuccaflow.base.TimerService

/** The keys of the recent requests of each service, from this router and from those that report to it. */
internal class KeyLoadTracker(
    private val timer: TimerService,
) {
    private val loads = HashMap<String, KeySampleWindow>()
    private val unreported = HashMap<String, ArrayList<Int>>()
    private val reportedAtMs = HashMap<String, Long>()

    /** Routers whose requests are in the samples, this one included. */
    val reportingRouterCount: Int
        get() {
            val oldestMs = timer.nowMs() - KeySampleWindow.WINDOW_MS
            return 1 + reportedAtMs.values.count { it >= oldestMs }
        }

    /** The recent keys of [service]. */
    fun windowOf(service: String): KeySampleWindow = loads.getOrPut(service) { KeySampleWindow(timer) }

    /** Counts a request that this router took. */
    fun recordRequest(service: String, key: Int) {
        windowOf(service).recordRequest(key)
        val keys = unreported.getOrPut(service) { ArrayList() }
        if (keys.size < MOST_UNREPORTED) keys += key
    }

    /** Takes the keys that router [node] reports. */
    fun addReport(node: String, samples: Map<String, List<Int>>) {
        reportedAtMs[node] = timer.nowMs()
        samples.forEach { (service, keys) -> keys.forEach { windowOf(service).recordRequest(it) } }
    }

    /** Returns the keys that this router has counted since the last call. */
    fun drainUnreported(): Map<String, List<Int>> = unreported.mapValues { it.value.toList() }.also { unreported.clear() }

    private companion object {
        /** Bounds the memory and the size of a report when requests come in a flood. */
        const val MOST_UNREPORTED = 500
    }
}
