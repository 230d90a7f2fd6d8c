package yuccaflow.router.admission

import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.base.TimerService
import yuccaflow.control.KeyRange
import yuccaflow.control.ServiceName
import yuccaflow.control.TargetId
import yuccaflow.router.TokenBudget
import java.util.PriorityQueue

/** Requests that may wait per slot. */
private const val QUEUED_PER_SLOT = 4

/** Failures in a row after which a target counts as unreachable. */
private const val UNREACHABLE_AFTER_FAILURES = 3

/** Second attempts as a share of the requests, and how many may be saved up: as many as connections may go silent at once. */
private const val REPEAT_SHARE = 0.1
private const val REPEAT_BURST = 10.0

/** An attempt is lost after this many times the recent mean; the 99.9th percentile of a usual service stays below. */
private const val ATTEMPT_FACTOR = 8.0

/** Shortest limit of an attempt, so that a pause of the target for garbage collection is not taken for a lost connection. */
private const val MIN_ATTEMPT_MS = 150L

/** Below this number of answers the mean says little. */
private const val MIN_SAMPLES = 20

/**
 * The slots and the queue of one target. The count is exact: a slot is taken before a request is sent and is free again only when the
 * request can no longer run at the target.
 */
internal class TargetLimiter(
    val target: TargetId,
    val service: ServiceName,
    slots: Int,
    private val timer: TimerService,
) {
    private val lock = Any()
    private var capacity = AdaptiveConcurrencyLimit(slots)
    private val times = ServiceTimeTracker()
    private var queueLimit = slots * QUEUED_PER_SLOT
    private val queue = PriorityQueue<TrackedRequest>(compareBy { it.deadlineMs })
    private val running = LinkedHashSet<TrackedRequest>()
    private var failuresInRow = 0
    private var instance: String? = null

    val rates = KeyRates(timer)

    /** Allows second attempts at idempotent requests. */
    val repeats = TokenBudget(REPEAT_SHARE, REPEAT_BURST, initial = REPEAT_BURST)

    val inFlight: Int get() = synchronized(lock) { running.size }
    val queued: Int get() = synchronized(lock) { queue.size }
    val limit: Int get() = synchronized(lock) { capacity.limit }
    val serviceTimeMs: Double get() = synchronized(lock) { times.recentMs }
    val isReachable: Boolean get() = synchronized(lock) { failuresInRow < UNREACHABLE_AFTER_FAILURES }

    /** Time after which an attempt is probably lost rather than slow, or null while too little is known of the target. */
    fun attemptLimitMs(): Long? =
        synchronized(lock) {
            if (times.samples < MIN_SAMPLES) null else maxOf(MIN_ATTEMPT_MS, (ATTEMPT_FACTOR * times.recentMs).toLong())
        }

    /** Waits for a slot. Returns null when [work] has one, which [finish] must give back, or why it gets none. */
    suspend fun enter(work: TrackedRequest): Refusal? {
        synchronized(lock) {
            if (queue.isEmpty() && running.size < capacity.limit) {
                running += work
                return null
            }
            refusalOf(work)?.let { return it }
            queue += work
        }
        var entered = false
        try {
            val waitMs = work.deadlineMs - timer.nowMs() - serviceTimeMs.toLong()
            val refusal = withTimeoutOrNull(waitMs) { Turn(work.turn.await()) } ?: Turn(Refusal.TOO_LATE)
            entered = refusal.refusal == null
            return refusal.refusal
        } finally {
            if (!entered) leave(work)
        }
    }

    /** [work] can no longer run at the target; its slot is free. */
    fun finish(work: TrackedRequest) {
        synchronized(lock) {
            running -= work
            admitNext()
        }
        work.over.complete(Unit)
    }

    /** Notes an answer of the target after [elapsedMs]. */
    fun answered(elapsedMs: Long) =
        synchronized(lock) {
            failuresInRow = 0
            if (times.add(elapsedMs, timer.nowMs())) capacity.answeredInTime()
            if (times.turnedSlow()) capacity.restart()
            admitNext()
        }

    /** Notes that the target refused a request because it was full. */
    fun shed() =
        synchronized(lock) {
            failuresInRow = 0
            capacity.shed()
        }

    /** Notes that no answer came for [elapsedMs]. */
    fun failed(elapsedMs: Long) =
        synchronized(lock) {
            failuresInRow++
            if (elapsedMs > times.recentMs) times.add(elapsedMs, timer.nowMs())
            if (times.turnedSlow()) capacity.restart()
        }

    /** Notes which instance of the target answered; a new one is cold. */
    fun seen(instance: String) =
        synchronized(lock) {
            if (this.instance != null && this.instance != instance) capacity.restart()
            this.instance = instance
        }

    /** The target was changed by a release note: it may be another process, so it starts cold. Requests under way still count. */
    fun reconfigure(slots: Int) =
        synchronized(lock) {
            capacity = AdaptiveConcurrencyLimit(slots)
            queueLimit = slots * QUEUED_PER_SLOT
        }

    fun restartSlowStart() = synchronized(lock) { capacity.restart() }

    /** The requests for [range] of [service], or all, that can still run at the target. */
    fun running(service: ServiceName? = null, range: KeyRange? = null): List<TrackedRequest> =
        synchronized(lock) {
            running.filter { (service == null || it.service == service) && (range == null || it.key?.let(range::contains) == true) }
        }

    private fun leave(work: TrackedRequest) {
        val hadSlot = synchronized(lock) { !queue.remove(work) && work in running }
        if (hadSlot) finish(work)
    }

    /** Refuses what cannot be served in time behind the requests that are served before it. */
    private fun refusalOf(work: TrackedRequest): Refusal? {
        val remainingMs = work.deadlineMs - timer.nowMs()
        val before = queue.count { it.deadlineMs <= work.deadlineMs }
        val waitMs = maxOf(blockedMs().toDouble(), (before + 1) * times.recentMs / capacity.limit)
        return when {
            waitMs + times.recentMs > remainingMs -> Refusal.TOO_LATE
            queue.size >= queueLimit -> Refusal.QUEUE_FULL
            else -> null
        }
    }

    /** Time until the first slot is free when requests with lost answers hold all of them. */
    private fun blockedMs(): Long {
        val lostUntilMs = running.mapNotNull { it.lostUntilMs }
        return if (lostUntilMs.size < capacity.limit) 0 else (lostUntilMs.min() - timer.nowMs()).coerceAtLeast(0)
    }

    private fun admitNext() {
        while (running.size < capacity.limit) {
            val next = queue.poll() ?: return
            if (timer.nowMs() + times.recentMs > next.deadlineMs) {
                next.turn.complete(Refusal.TOO_LATE)
            } else {
                running += next
                next.turn.complete(null)
            }
        }
    }

    private class Turn(
        val refusal: Refusal?,
    )
}
