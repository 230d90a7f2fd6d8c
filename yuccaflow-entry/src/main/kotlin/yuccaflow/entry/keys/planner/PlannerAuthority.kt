package yuccaflow.entry.keys.planner

import yuccaflow.base.SuspensionDetector
import yuccaflow.base.TimerService
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.KeyOwnershipSettings
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events

/**
 * The leader lease of the planner. This router may act as planner while the latest planner record names it and a read that confirmed so was
 * started less than [KeyOwnershipSettings.authorityMs] ago.
 *
 * The monotonic clock may stop while the machine is suspended, but the time of day does not. If one jumps relative to the other, all
 * confirmations that were started before the jump are void.
 *
 * If the authority was valid when the store lost its last records, it continues in the new era for the rest of its time, until a planner is
 * recorded there.
 *
 * @property confirmedAtMs when the last read that reached the end of the routers' stream was started, or null.
 */
internal class PlannerAuthority(
    private val node: String,
    private val incarnation: String,
    private val clusterState: ClusterState,
    private val timer: TimerService,
    timeOfDayMs: () -> Long,
    private val settings: KeyOwnershipSettings,
    private val events: EventLog,
    private val confirmedAtMs: () -> Long?,
) {
    private val suspensions = SuspensionDetector(timer::nowMs, timeOfDayMs)
    private var wasValid = false

    /** The latest confirmation of the authority of a former era that continues, or null. */
    private var continuedFromMs: Long? = null

    /** Whether the latest planner record names this incarnation of this router. */
    val isRecordedPlanner: Boolean get() = clusterState.planner?.let { it.node == node && it.life == incarnation } ?: false

    /** Returns whether [incarnation] is the current one and may act as planner now. */
    fun isActing(incarnation: String): Boolean = incarnation == this.incarnation && isValid()

    /** Lets the authority of the era that ends continue. Returns whether it is valid. */
    fun continueInNewEra(): Boolean {
        if (isRecordedPlanner) continuedFromMs = confirmedAtMs()
        return isValid().also { if (!it) endContinuation() }
    }

    /** Ends an authority that continues from a former era. */
    fun endContinuation() {
        continuedFromMs = null
    }

    /** Returns whether this router may act because of its authority in a former era. */
    fun isContinuing(): Boolean = clusterState.planner == null && continuedFromMs != null && isValid()

    /** Returns whether this router may act as planner now. */
    fun isValid(): Boolean {
        val countedSinceMs = suspensions.uninterruptedSinceMs()
        val latest = if (clusterState.planner == null) continuedFromMs else confirmedAtMs().takeIf { isRecordedPlanner }
        val confirmed = latest?.takeIf { it >= countedSinceMs }
        val valid = confirmed != null && timer.nowMs() - confirmed < settings.authorityMs
        if (wasValid && !valid) {
            events.log(Events.AUTHORITY_EXPIRED) {
                put("is_recorded_planner", isRecordedPlanner)
                put("confirmed_age_ms", (confirmed ?: confirmedAtMs())?.let { timer.nowMs() - it })
            }
        }
        wasValid = valid
        return valid
    }
}
