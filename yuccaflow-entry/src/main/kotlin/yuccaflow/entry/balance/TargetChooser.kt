package yuccaflow.entry.balance

import yuccaflow.base.TimerService
import yuccaflow.entry.config.Route
import yuccaflow.entry.config.ServiceConfig
import yuccaflow.entry.directory.TargetDirectory
import kotlin.math.max
import kotlin.random.Random

/** Result of choosing a target. */
internal sealed interface TargetChoice {
    /** The request goes to [target], which is expected to answer after [expectedMs]. */
    class Chosen(
        val target: TargetState,
        val expectedMs: Double,
    ) : TargetChoice

    /** No target can take the request now. */
    class None(
        val reason: String,
        val retryAfterMs: Long,
    ) : TargetChoice
}

/** What a choice depends on beside the targets. */
internal class ChoiceContext(
    val route: Route,
    val rules: ServiceConfig,
    val excluded: Set<TargetState>,
    val remainingMs: Long,
)

/**
 * Chooses among the targets of a service that is not divided by key: the one with the shortest expected time, in which a target in another
 * zone and one that failed lately count as slower.
 */
internal class TargetChooser(
    private val directory: TargetDirectory,
    private val zone: String,
    private val timer: TimerService,
    private val cold: ColdStartLimiter,
) {
    fun choose(context: ChoiceContext): TargetChoice {
        val nowMs = timer.nowMs()
        val open = directory.ofService(context.rules.name).filter { directory.acceptsNewWork(it) }
        if (open.isEmpty()) return TargetChoice.None("the service has no target", NO_TARGET_RETRY_MS)
        val fit = open.filter { it !in context.excluded && it.suspectedUntilMs <= nowMs && cold.hasRoom(it, context.rules, nowMs) }
        val best = fit.minByOrNull { score(it, context, nowMs) }
            ?: return TargetChoice.None("all targets are suspected, cold or have been tried", NO_TARGET_RETRY_MS)
        return checked(best, context, nowMs)
    }

    /** Checks that [target] can take the request, and counts it against the cold allowance. */
    fun checked(target: TargetState, context: ChoiceContext, nowMs: Long): TargetChoice {
        val expectedMs = expectedMs(target, context.route, nowMs)
        val waiting = target.occupancy(nowMs) - target.entry.slots
        if (expectedMs > context.remainingMs || waiting > target.entry.slots * MOST_WAITING_PER_SLOT) {
            return TargetChoice.None("the targets are full", FULL_RETRY_MS)
        }
        if (!cold.take(target, context.rules, nowMs)) return TargetChoice.None("the target is cold", COLD_RETRY_MS)
        return TargetChoice.Chosen(target, expectedMs)
    }

    private fun score(target: TargetState, context: ChoiceContext, nowMs: Long): Double {
        val remote = if (target.entry.zone == zone) 0.0 else OTHER_ZONE_MS
        val failures = target.failureShare(nowMs) * context.route.objectiveMs
        return (expectedMs(target, context.route, nowMs) + remote + failures) * (1 + Random.nextDouble() * TIE_SPREAD)
    }

    private fun expectedMs(target: TargetState, route: Route, nowMs: Long): Double {
        val serviceTimeMs = target.serviceTimeMs(route.objectiveMs * FIRST_GUESS_PART)
        return serviceTimeMs * target.slowdown(nowMs) * max(1.0, (target.occupancy(nowMs) + 1) / target.entry.slots)
    }

    private companion object {
        /** What a request to another zone counts as beside its time: the bytes between zones are paid for. */
        const val OTHER_ZONE_MS = 15.0

        /** Work time that is assumed for a target that has not answered yet, as a part of the objective. */
        const val FIRST_GUESS_PART = 0.3
        const val TIE_SPREAD = 0.1
        const val MOST_WAITING_PER_SLOT = 2.5
        const val NO_TARGET_RETRY_MS = 300L
        const val FULL_RETRY_MS = 100L
        const val COLD_RETRY_MS = 150L
    }
}
