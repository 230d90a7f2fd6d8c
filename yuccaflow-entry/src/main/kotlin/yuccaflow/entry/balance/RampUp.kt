package yuccaflow.entry.balance

import yuccaflow.base.TimerService
import kotlin.math.max

/** Why the requests to a target are ramped up. */
internal enum class RampCause { FIRST_SEEN, COLD, SUSPECTED, PAUSED }

/** Why a ramp has ended. */
internal enum class RampEnd {
    /** The limit has reached the slots of the target. */
    LIMIT_REACHED,

    /** Several responses in a row were about as fast as usual. */
    USUAL_SPEED,

    /** Nothing has been wrong with the target for [RampUp.PROBLEM_FREE_MS], and it got too few requests for an earlier end. */
    TIME,

    /** The target was suspected, turned cold or asked for a pause. Another ramp follows. */
    INTERRUPTED,

    /** The routing table does not enable load control any more. */
    DISABLED,
}

/** What a [RampUp] needs to know of its target and the other targets of the service. */
internal interface RampContext {
    /** Whether load control is in force. */
    val isEnabled: Boolean

    /** Requests that the target processes concurrently. */
    val slots: Int

    /** Service time of the target as measured so far, or null before its first response. */
    val ownServiceTimeMs: Double?

    /** Service time of the typical other target of the service, or null if none has responded. */
    val typicalServiceTimeMs: Double?

    /** Whether the target became usable at about the same time as most others of the service, or is the only one. */
    val isOneOfManyNew: Boolean

    fun onStarted(cause: RampCause)

    fun onEnded(cause: RampCause, reason: RampEnd, durationMs: Long, limit: Int)
}

/**
 * Limits this router's requests in flight at a target that has just started or recovered.
 *
 * The limit starts at 1, grows by one with each response that is about as fast as usual, and is halved when the target refuses, fails or
 * is several times slower. The ramp ends once the target has responded well, after [GOOD_RESPONSES_TO_END] good responses at the latest. A
 * router sends a target only a few requests per second, so a longer proof would leave a sound target idle for many seconds.
 *
 * Without load control, every request is allowed. While a target is cold, only the [ColdStartLimiter] limits it; its ramp follows.
 */
internal class RampUp(
    private val timer: TimerService,
    private val context: RampContext,
) {
    private class Pending(
        val cause: RampCause,
        val fromMs: Long,
    )

    private class Ramp(
        val cause: RampCause,
        val startedAtMs: Long,
        val ownServiceTimeMs: Double?,
    ) {
        var limit = 1
        var goodInARow = 0
        var lastProblemAtMs: Long? = null
        var hasRecentProblem = false

        fun problemFreeMs(nowMs: Long): Long = nowMs - max(startedAtMs, lastProblemAtMs ?: startedAtMs)
    }

    private var pending: Pending? = null
    private var ramp: Ramp? = null

    /** Whether requests are limited now. A ramp that is due starts only with the next request. */
    val isRamping: Boolean get() = context.isEnabled && (ramp?.let { it.problemFreeMs(timer.nowMs()) < PROBLEM_FREE_MS } ?: false)

    /** Starts a ramp at [fromMs]. Until then the target is not limited here. A start that is already due later stays. */
    fun startAt(fromMs: Long, cause: RampCause) {
        end(RampEnd.INTERRUPTED)
        val due = pending
        if (due == null || due.fromMs <= fromMs) pending = Pending(cause, fromMs)
    }

    /** Starts the ramp that follows a suspicion now, because a success has ended the suspicion early. */
    fun suspicionEnded() {
        val due = pending ?: return
        val nowMs = timer.nowMs()
        if (due.cause == RampCause.SUSPECTED && due.fromMs > nowMs) pending = Pending(due.cause, nowMs)
    }

    /**
     * Returns whether the target may get another request while [inFlight] requests of this router are in flight. No other target can take
     * the requests of an only owner, so these are refused only while it has a recent problem.
     */
    fun allowsRequest(inFlight: Int, isOnlyOwner: Boolean): Boolean {
        val nowMs = timer.nowMs()
        update(nowMs)
        val current = ramp ?: return true
        if (inFlight < current.limit) return true
        return isOnlyOwner && !(current.hasRecentProblem && current.problemFreeMs(nowMs) < PROBLEM_MS)
    }

    /**
     * Records a served request that took [serviceTimeMs] without queueing. If it [mayTakeLong] for reasons of its own, such as its size, it
     * never counts as slow.
     */
    fun recordResponse(serviceTimeMs: Double, mayTakeLong: Boolean) {
        val nowMs = timer.nowMs()
        update(nowMs)
        val current = ramp ?: return
        val usualMs = usualServiceTimeMs(current)
        when {
            usualMs == null || serviceTimeMs <= usualMs * ABOUT_AS_FAST -> recordGood(current)
            serviceTimeMs > usualMs * MUCH_SLOWER && !mayTakeLong -> recordProblem()
        }
    }

    /** Records a refusal, a failure or a much slower response. */
    fun recordProblem() {
        val nowMs = timer.nowMs()
        update(nowMs)
        val current = ramp ?: return
        val isSameEvent = current.lastProblemAtMs?.let { nowMs - it < BACKOFF_INTERVAL_MS } ?: false
        if (!isSameEvent) current.limit = (current.limit / 2).coerceAtLeast(1)
        current.goodInARow = 0
        current.hasRecentProblem = true
        current.lastProblemAtMs = nowMs
    }

    private fun recordGood(current: Ramp) {
        current.limit++
        current.goodInARow++
        current.hasRecentProblem = false
        if (current.limit >= context.slots) return end(RampEnd.LIMIT_REACHED)
        if (current.goodInARow >= GOOD_RESPONSES_TO_END) end(RampEnd.USUAL_SPEED)
    }

    /** A target that has always been slower than the others is measured by its own speed, but not if it is slower than machines differ. */
    private fun usualServiceTimeMs(current: Ramp): Double? {
        val typicalMs = context.typicalServiceTimeMs ?: return current.ownServiceTimeMs
        return max(typicalMs, (current.ownServiceTimeMs ?: 0.0).coerceAtMost(typicalMs * MAX_SPEED_FACTOR))
    }

    private fun update(nowMs: Long) {
        if (!context.isEnabled) return end(RampEnd.DISABLED)
        pending?.let { if (nowMs >= it.fromMs) start(it, nowMs) }
        if ((ramp?.problemFreeMs(nowMs) ?: 0) >= PROBLEM_FREE_MS) end(RampEnd.TIME)
    }

    private fun start(due: Pending, nowMs: Long) {
        pending = null
        if (nowMs - due.fromMs >= PROBLEM_FREE_MS || !isRampNeeded(due.cause)) return
        ramp = Ramp(due.cause, nowMs, context.ownServiceTimeMs)
        context.onStarted(due.cause)
    }

    /** At the start of a system there is neither a usual speed to compare with nor another target that could take the requests. */
    private fun isRampNeeded(cause: RampCause): Boolean = when (cause) {
        RampCause.FIRST_SEEN, RampCause.COLD -> context.typicalServiceTimeMs != null && !context.isOneOfManyNew
        RampCause.SUSPECTED, RampCause.PAUSED -> true
    }

    private fun end(reason: RampEnd) {
        val current = ramp ?: return
        ramp = null
        context.onEnded(current.cause, reason, timer.nowMs() - current.startedAtMs, current.limit)
    }

    internal companion object {
        const val GOOD_RESPONSES_TO_END = 4

        /** A ramp without problems ends after this time. Other routers send requests meanwhile, so the target has warmed up anyway. */
        const val PROBLEM_FREE_MS = 5_000L

        /** Responses up to this multiple of the usual service time are good, so that the slower half of the targets ends its ramps too. */
        private const val ABOUT_AS_FAST = 2.0

        /** Above the factor of three by which any target may be slower for moments. */
        private const val MUCH_SLOWER = 4.0

        /** The largest expected ratio between the speeds of two targets of a service. */
        private const val MAX_SPEED_FACTOR = 3.0

        /** Requests that were sent in the same round fail together. They reduce the limit once. */
        private const val BACKOFF_INTERVAL_MS = 100L

        /** How long a target counts as slow or refusing after the last sign of it. */
        private const val PROBLEM_MS = 2_000L
    }
}
