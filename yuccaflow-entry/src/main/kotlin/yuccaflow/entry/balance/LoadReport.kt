package yuccaflow.entry.balance

/**
 * The load that a target reports with a response.
 *
 * @property running requests that the target is processing.
 * @property waiting requests in the target's queue.
 * @property slots requests that the target processes concurrently.
 * @property slowdown current processing time on the target's machine relative to the usual time, or null if not reported.
 */
data class LoadReport(
    val running: Int,
    val waiting: Int,
    val slots: Int,
    val slowdown: Double?,
) {
    /** Whether all slots are taken. A target that turns a request away in this state is full, and has not failed. */
    val showsNoFreeSlot: Boolean get() = running >= slots
}
