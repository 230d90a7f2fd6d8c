package yuccaflow.entry.balance

import yuccaflow.entry.directory.TargetEntry
import kotlin.math.exp
import kotlin.math.max

/**
 * This router's view of one incarnation of a target: its directory entry, this router's requests in flight, and statistics from responses.
 *
 * Confined to the event loop.
 *
 * @param writtenAfterMs the earliest time at which [entry] may have been written, or null if that may have been any time.
 * @property seenAtMs when this router first read an entry of this incarnation.
 * @param rampUpFactory builds the ramp of the target, or null if its requests are never ramped up.
 */
internal class TargetState(
    entry: TargetEntry,
    val seenAtMs: Long,
    writtenAfterMs: Long? = null,
    rampUpFactory: RampUpFactory? = null,
) {
    /** The newest directory entry. */
    var entry: TargetEntry = entry
        private set

    /** The removal of the entry from the store, or null while the entry is present. */
    var removal: Announcement? = null

    /**
     * The target's first announcement that it drains, or null if it has made none. An incarnation does not return to service, so later
     * entries of a target that reports its start do not change this.
     */
    var draining: Announcement? = if (entry.isDraining) Announcement.read(writtenAfterMs, seenAtMs) else null
        private set

    /** Whether the target has told a router in an answer that it leaves. Its entry may say so much later, or never. */
    var saysItLeaves = false
        private set

    /** The last pause for which the target has asked, which may be over, or null if it has asked for none. */
    var pause: Pause? = null
        private set

    /** The number of this router's requests that wait for the end of a pause. */
    var waitingForPause = 0

    /** This router's requests that the target has not answered yet. */
    var inFlight = 0
        private set

    /** End of the time during which the target counts as cold. */
    var coldUntilMs: Long = seenAtMs + entry.coldRemainingMs
        private set

    /** Limits the requests while the target is cold. */
    val coldTokens = TokenBucket()

    /** Until when the target gets no requests, because it could not be reached or failed repeatedly; 0 if it is not suspected. */
    var suspectedUntilMs: Long = 0
        private set

    /** Consecutive failures since the last success. */
    var failuresInARow = 0
        private set

    /** The number of responses whose response time was recorded. */
    var responseCount = 0L
        private set

    private var otherRoutersLoad = 0.0
    private var loadReportedAtMs = seenAtMs
    private var reportedSlowdown = 1.0
    private var serviceTimeMs: Double? = null

    /** Like [serviceTimeMs], for large transfers. Their time depends on their size and says nothing about short requests. */
    private var largeTransferTimeMs: Double? = null
    private var succeededAtMs = seenAtMs
    private var failureShare = 0.0
    private var failureShareAtMs = seenAtMs

    /** Limits the requests after the target has started or recovered, or null if they are never limited. */
    val rampUp: RampUp? = rampUpFactory?.create(this)

    init {
        if (coldUntilMs > seenAtMs) rampUp?.startAt(coldUntilMs, RampCause.COLD) else rampUp?.startAt(seenAtMs, RampCause.FIRST_SEEN)
    }

    /** Applies a newer entry of the same incarnation, which was written after [writtenAfterMs], or at any time if that is null. */
    fun update(newer: TargetEntry, nowMs: Long, writtenAfterMs: Long?) {
        if (newer.isDraining) draining = Announcement.read(writtenAfterMs, nowMs).orEarlier(draining)
        // Without its start, a target that started again at the same address cannot be told from one that goes on.
        if (!newer.isDraining && newer.bornMs == null) {
            draining = null
            saysItLeaves = false
        }
        if (newer.coldRemainingMs > 0) markCold(nowMs + newer.coldRemainingMs)
        entry = newer
        removal = null
    }

    /** Records an [announcement] that the target leaves, which came in one of its answers, to this router or another one. */
    fun recordLeavingAnswer(announcement: Announcement) {
        saysItLeaves = true
        draining = announcement.orEarlier(draining)
    }

    /** Records that the target wants no requests until [untilMs], or later if it has asked for that before. */
    fun pauseUntil(untilMs: Long) {
        pause = Pause(untilMs).orLater(pause).also { rampUp?.startAt(it.untilMs, RampCause.PAUSED) }
    }

    /** Returns how much longer the target wants no requests, or 0 if it takes requests. */
    fun pauseRestMs(nowMs: Long): Long = pause?.restMs(nowMs) ?: 0

    /** Returns whether a pause, or the gradual return of requests after it, allows another request in flight. */
    fun pauseAllowsRequest(nowMs: Long): Boolean = pause?.let { inFlight < it.maxInFlight(nowMs, entry.slots) } ?: true

    /** Returns whether a ramp allows another request in flight. An [isOnlyOwner] is the only target that can serve the request. */
    fun rampAllowsRequest(isOnlyOwner: Boolean): Boolean = rampUp?.allowsRequest(inFlight, isOnlyOwner) ?: true

    /** Marks the target as cold until at least [untilMs]. */
    fun markCold(untilMs: Long) {
        coldUntilMs = max(coldUntilMs, untilMs)
        rampUp?.startAt(coldUntilMs, RampCause.COLD)
    }

    /** Counts a request that is about to be sent. */
    fun requestStarted() {
        inFlight++
    }

    /** Counts a request that was answered or abandoned. */
    fun requestEnded() {
        inFlight--
    }

    /**
     * Estimates the requests at the target: this router's own, plus an estimate of other routers' requests, which is smoothed from the
     * target's load reports and decays as they age.
     */
    fun occupancy(nowMs: Long): Double = inFlight + otherRoutersLoad * decayFactor(nowMs - loadReportedAtMs, OTHER_ROUTERS_LOAD_DECAY_MS)

    /** Smoothed time that a request takes without queueing, in milliseconds, or null before the first response. */
    val serviceTimeMsOrNull: Double? get() = serviceTimeMs ?: largeTransferTimeMs

    /** Returns the smoothed time that a request takes without queueing, or [fallbackMs] before the first response. */
    fun serviceTimeMs(fallbackMs: Double): Double = serviceTimeMsOrNull ?: fallbackMs

    /**
     * Returns the smoothed time that a request takes without queueing, or [initialMs] before the first response. A time above [initialMs]
     * approaches it as the last response ages: a target that was slow gets no requests that could show its recovery.
     */
    fun agedServiceTimeMs(initialMs: Double, nowMs: Long, isLargeTransfer: Boolean): Double {
        val learnedMs = (if (isLargeTransfer) largeTransferTimeMs ?: serviceTimeMs else serviceTimeMs) ?: return initialMs
        if (learnedMs <= initialMs) return learnedMs
        return initialMs + (learnedMs - initialMs) * decayFactor(nowMs - succeededAtMs, SERVICE_TIME_DECAY_MS)
    }

    /** Returns the fraction of recent requests that failed, from 0 to 1. It decays with time, so that the target is tried again. */
    fun failureShare(nowMs: Long): Double = failureShare * decayFactor(nowMs - failureShareAtMs, FAILURE_DECAY_MS)

    /** Returns the last reported slowdown, which decays to 1 as the report ages. */
    fun slowdown(nowMs: Long): Double = 1 + (reportedSlowdown - 1) * decayFactor(nowMs - loadReportedAtMs, SLOWDOWN_DECAY_MS)

    /**
     * Records the load that the target reported with a response. If [weighsByAge], a new report counts the more the older the last one is.
     * A fixed weight underestimates the load of a target from which this router gets reports only every few seconds.
     */
    fun recordLoad(load: LoadReport, nowMs: Long, weighsByAge: Boolean = false) {
        reportedSlowdown = load.slowdown ?: 1.0
        val others = max(0, load.running + load.waiting - inFlight).toDouble()
        val freshness = decayFactor(nowMs - loadReportedAtMs, OTHER_ROUTERS_LOAD_DECAY_MS)
        val before = otherRoutersLoad * freshness
        val weight = if (weighsByAge) 1 - (1 - LOAD_SMOOTHING) * freshness else LOAD_SMOOTHING
        otherRoutersLoad = before + weight * (others - before)
        loadReportedAtMs = nowMs
    }

    /**
     * Records the response time of a request that was sent when the target held [occupancy] requests, this one included. The time of a
     * large transfer depends on its size.
     *
     * If [weighedAtMs] is not null, it is the present time, and the response counts the more the older the last one is, and at least half
     * if it is much faster than expected: only a target that is fast again can answer so.
     */
    fun recordResponse(elapsedMs: Long, occupancy: Double, isLargeTransfer: Boolean = false, weighedAtMs: Long? = null) {
        val queueingFactor = max(1.0, occupancy / entry.slots)
        val sample = elapsedMs.coerceAtLeast(1) / queueingFactor
        responseCount++
        rampUp?.recordResponse(sample, mayTakeLong = isLargeTransfer)
        if (isLargeTransfer) {
            largeTransferTimeMs = smoothed(largeTransferTimeMs, sample, weighedAtMs)
        } else {
            serviceTimeMs = smoothed(serviceTimeMs, sample, weighedAtMs)
        }
    }

    private fun smoothed(beforeMs: Double?, sampleMs: Double, weighedAtMs: Long?): Double {
        if (beforeMs == null) return sampleMs
        val ageWeight = weighedAtMs?.let { 1 - (1 - SERVICE_TIME_SMOOTHING) * decayFactor(it - succeededAtMs, SERVICE_TIME_DECAY_MS) }
        val isMuchFaster = weighedAtMs != null && sampleMs * MUCH_FASTER < beforeMs
        val weight = max(ageWeight ?: SERVICE_TIME_SMOOTHING, if (isMuchFaster) MUCH_FASTER_WEIGHT else 0.0)
        return beforeMs + weight * (sampleMs - beforeMs)
    }

    /** Records a served request, which ends any suspicion. */
    fun recordSuccess(nowMs: Long) {
        failuresInARow = 0
        suspectedUntilMs = 0
        succeededAtMs = nowMs
        rampUp?.suspicionEnded()
        recordOutcome(0.0, nowMs)
    }

    /** Records that the target has refused a request because of its load. That alone is no failure. */
    fun recordRefusal() {
        rampUp?.recordProblem()
    }

    /**
     * Records a failed request. The target becomes suspected at once if it [isUnreachable], otherwise after [FAILURES_TO_SUSPECT] failures
     * in a row. Returns true if this call makes it suspected.
     */
    fun recordFailure(nowMs: Long, isUnreachable: Boolean): Boolean {
        recordOutcome(1.0, nowMs)
        rampUp?.recordProblem()
        failuresInARow++
        if (!isUnreachable && failuresInARow < FAILURES_TO_SUSPECT) return false
        val doublings = (failuresInARow - 1).coerceIn(0, MAX_DOUBLINGS)
        val wasSuspected = suspectedUntilMs > nowMs
        suspectedUntilMs = nowMs + (FIRST_SUSPICION_MS shl doublings)
        rampUp?.startAt(suspectedUntilMs, RampCause.SUSPECTED)
        return !wasSuspected
    }

    private fun recordOutcome(failure: Double, nowMs: Long) {
        val before = failureShare(nowMs)
        failureShare = before + FAILURE_SMOOTHING * (failure - before)
        failureShareAtMs = nowMs
    }

    private fun decayFactor(ageMs: Long, decayMs: Double): Double = exp(-max(0L, ageMs) / decayMs)

    private companion object {
        // The ..._DECAY_MS are time constants of exponential decay. The ..._SMOOTHING are weights of a new sample in a moving average.
        const val OTHER_ROUTERS_LOAD_DECAY_MS = 1_000.0
        const val SLOWDOWN_DECAY_MS = 200.0
        const val LOAD_SMOOTHING = 0.4
        const val SERVICE_TIME_SMOOTHING = 0.1

        /** Longer than the time between two requests of one router to one of a hundred targets. */
        const val SERVICE_TIME_DECAY_MS = 20_000.0

        /** The work of requests varies, but few take less than a third of the mean. */
        const val MUCH_FASTER = 3
        const val MUCH_FASTER_WEIGHT = 0.5
        const val FAILURE_SMOOTHING = 0.15
        const val FAILURE_DECAY_MS = 2_000.0

        const val FAILURES_TO_SUSPECT = 4

        /** Duration of the first suspicion. It doubles with each further failure, up to [MAX_DOUBLINGS] times. */
        const val FIRST_SUSPICION_MS = 250L
        const val MAX_DOUBLINGS = 2
    }
}
