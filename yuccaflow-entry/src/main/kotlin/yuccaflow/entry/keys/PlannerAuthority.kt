package yuccaflow.entry.keys

import yuccaflow.base.TimerService
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events
import kotlin.math.abs

/**
 * Whether this router may act as planner at this moment: the newest planner record names it, and a read that showed so was started less
 * than [KeyOwnershipSettings.authorityMs] ago.
 *
 * The steady clock stands still while a machine is suspended, and the time of day does not. So a jump of one against the other voids
 * every confirmation that was started before it.
 */
internal class PlannerAuthority(
    private val node: String,
    private val life: String,
    private val records: ClusterState,
    private val timer: TimerService,
    private val timeOfDayMs: () -> Long,
    private val settings: KeyOwnershipSettings,
    private val events: EventLog,
    private val confirmedAtMs: () -> Long?,
) {
    private var offsetMs = timeOfDayMs() - timer.nowMs()
    private var voidBeforeMs = Long.MIN_VALUE
    private var wasValid = false

    /** Tells whether the newest planner record names this life of this router. */
    val isRecordedPlanner: Boolean get() = records.planner?.let { it.node == node && it.life == life } ?: false

    /** Tells whether this router may act as planner in its life [life]. */
    fun isActing(life: String): Boolean = life == this.life && isValid()

    /** Tells whether an order may be sent now. */
    fun isValid(): Boolean {
        voidAfterSuspension()
        val confirmed = confirmedAtMs()?.takeIf { it >= voidBeforeMs }
        val valid = isRecordedPlanner && confirmed != null && timer.nowMs() - confirmed < settings.authorityMs
        if (wasValid && !valid) {
            events.log(Events.AUTHORITY_EXPIRED) {
                put("is_recorded_planner", isRecordedPlanner)
                put("confirmed_age_ms", confirmed?.let { timer.nowMs() - it })
            }
        }
        wasValid = valid
        return valid
    }

    private fun voidAfterSuspension() {
        val nowMs = timer.nowMs()
        val seenMs = timeOfDayMs() - nowMs
        if (abs(seenMs - offsetMs) > TOLERATED_JUMP_MS) voidBeforeMs = nowMs
        offsetMs = seenMs
    }

    private companion object {
        /** Adjustments of the time of day stay below this between two checks. */
        const val TOLERATED_JUMP_MS = 300L
    }
}
