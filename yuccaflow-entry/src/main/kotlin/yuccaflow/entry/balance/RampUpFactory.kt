package yuccaflow.entry.balance

import yuccaflow.base.TimerService
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events
import kotlin.math.abs
import kotlin.math.max

/**
 * Builds the [RampUp] of each target and compares the target with the others of its service.
 *
 * @property targetsOf returns the targets of a service.
 */
internal class RampUpFactory(
    private val operators: OperatorState,
    private val timer: TimerService,
    private val events: EventLog,
    private val targetsOf: (String) -> List<TargetState>,
) {
    fun create(target: TargetState): RampUp = RampUp(timer, ContextOf(target))

    private inner class ContextOf(
        private val target: TargetState,
    ) : RampContext {
        override val isEnabled get() = operators.table?.hasLoadControl ?: false
        override val slots get() = target.entry.slots
        override val ownServiceTimeMs get() = target.serviceTimeMsOrNull

        /** The median, because targets with problems must not shift what is typical. Targets that are ramping do not count. */
        override val typicalServiceTimeMs: Double?
            get() {
                val known = others().filter { it.rampUp?.isRamping != true }.mapNotNull { it.serviceTimeMsOrNull }.sorted()
                return known.getOrNull(known.size / 2)
            }

        override val isOneOfManyNew: Boolean
            get() {
                val others = others()
                val equallyNew = others.count { abs(usableSinceMs(it) - usableSinceMs(target)) <= SAME_START_MS }
                return equallyNew * 2 >= others.size
            }

        override fun onStarted(cause: RampCause) = events.log(Events.TARGET_RAMP_STARTED) {
            put("target", target.entry.id)
            put("service", target.entry.service)
            put("cause", cause.name.lowercase())
        }

        override fun onEnded(cause: RampCause, reason: RampEnd, durationMs: Long, limit: Int) = events.log(Events.TARGET_RAMP_ENDED) {
            put("target", target.entry.id)
            put("service", target.entry.service)
            put("cause", cause.name.lowercase())
            put("reason", reason.name.lowercase())
            put("duration_ms", durationMs)
            put("limit", limit)
        }

        private fun others() = targetsOf(target.entry.service).filter { it !== target }

        private fun usableSinceMs(state: TargetState) = max(state.seenAtMs, state.coldUntilMs)
    }

    private companion object {
        /** Targets that become usable within this time have started together, for example with the whole system. */
        const val SAME_START_MS = 2_000L
    }
}
