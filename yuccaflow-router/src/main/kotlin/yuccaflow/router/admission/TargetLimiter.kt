package yuccaflow.router.admission

import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.base.TimerService
import yuccaflow.control.KeyRange
import yuccaflow.control.ServiceName
import yuccaflow.control.TargetId
import yuccaflow.router.TokenBudget
import java.util.PriorityQueue

/** Maximum number of waiting requests per slot. */
private const val QUEUED_PER_SLOT = 4

/** Number of consecutive failures after which a target counts as unreachable. */
private const val UNREACHABLE_AFTER_FAILURES = 3

/** Maximum number of retries as a share of the requests. */
private const val RETRY_RATIO = 0.1

/** Maximum number of retries that may accumulate: as many as there are connections that may stop responding at the same time. */
private const val RETRY_BURST = 10.0

/** An attempt that takes this multiple of the recent mean counts as lost. The 99.9th percentile of a typical service stays below it. */
private const val ATTEMPT_TIMEOUT_FACTOR = 8.0

/** Minimum timeout of an attempt, so that a garbage collection pause of the target is not taken for a lost connection. */
private const val MIN_ATTEMPT_TIMEOUT_MS = 150L

/** Number of answers below which the mean service time is not reliable. */
private const val MIN_SAMPLES = 20

/**
 * Limits the concurrent requests of one target, with a queue ordered by deadline. Thread-safe.
 *
 * The count of used slots is exact: a slot is taken before a request is sent, and becomes free only when the request can no longer be
 * running at the target.
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
    private var consecutiveFailures = 0
    private var instance: String? = null

    val rates = KeyRates(timer)

    /** Limits the retries of idempotent requests. */
    val retryBudget = TokenBudget(RETRY_RATIO, RETRY_BURST, initial = RETRY_BURST)

    val inFlight: Int get() = synchronized(lock) { running.size }
    val queued: Int get() = synchronized(lock) { queue.size }
    val concurrencyLimit: Int get() = synchronized(lock) { capacity.limit }
    val serviceTimeMs: Double get() = synchronized(lock) { times.recentMs }
    val isReachable: Boolean get() = synchronized(lock) { consecutiveFailures < UNREACHABLE_AFTER_FAILURES }

    /** Returns the time after which an attempt is probably lost rather than slow, or null before [MIN_SAMPLES] answers. */
    fun attemptTimeoutMs(): Long? =
        synchronized(lock) {
            if (times.samples < MIN_SAMPLES) null else maxOf(MIN_ATTEMPT_TIMEOUT_MS, (ATTEMPT_TIMEOUT_FACTOR * times.recentMs).toLong())
        }

    /** Waits for a slot. Returns null if [request] got one, which must be returned with [release], or the reason why it got none. */
    suspend fun acquire(request: TrackedRequest): RefusalReason? {
        synchronized(lock) {
            if (queue.isEmpty() && running.size < capacity.limit) {
                running += request
                return null
            }
            refusalReason(request)?.let { return it }
            queue += request
        }
        var acquired = false
        try {
            val waitMs = request.deadlineMs - timer.nowMs() - serviceTimeMs.toLong()
            val result = withTimeoutOrNull(waitMs) { AdmissionResult(request.admission.await()) } ?: AdmissionResult(RefusalReason.TOO_LATE)
            acquired = result.refusal == null
            return result.refusal
        } finally {
            if (!acquired) abandon(request)
        }
    }

    /** Frees the slot of [request], which can no longer be running at the target. */
    fun release(request: TrackedRequest) {
        synchronized(lock) {
            running -= request
            admitNext()
        }
        request.ended.complete(Unit)
    }

    /** Records an answer of the target after [elapsedMs]. */
    fun recordAnswer(elapsedMs: Long) =
        synchronized(lock) {
            consecutiveFailures = 0
            if (times.add(elapsedMs, timer.nowMs())) capacity.recordTimelyAnswer()
            if (times.takeSlowdown()) capacity.reset()
            admitNext()
        }

    /** Records that the target shed a request because it was overloaded. */
    fun recordShed() =
        synchronized(lock) {
            consecutiveFailures = 0
            capacity.recordShed()
        }

    /** Records that the target failed to answer within [elapsedMs]. */
    fun recordFailure(elapsedMs: Long) =
        synchronized(lock) {
            consecutiveFailures++
            if (elapsedMs > times.recentMs) times.add(elapsedMs, timer.nowMs())
            if (times.takeSlowdown()) capacity.reset()
        }

    /** Records which [instance] of the target answered. A new instance is cold, so it goes through slow start again. */
    fun recordInstance(instance: String) =
        synchronized(lock) {
            if (this.instance != null && this.instance != instance) capacity.reset()
            this.instance = instance
        }

    /** Applies a changed configuration. The target may be a new process, so it is treated as cold. Requests in flight keep their slots. */
    fun reconfigure(slots: Int) =
        synchronized(lock) {
            capacity = AdaptiveConcurrencyLimit(slots)
            queueLimit = slots * QUEUED_PER_SLOT
        }

    fun restartSlowStart() = synchronized(lock) { capacity.reset() }

    /** Returns the requests that can still be running at the target, optionally only those for [range] of [service]. */
    fun running(service: ServiceName? = null, range: KeyRange? = null): List<TrackedRequest> =
        synchronized(lock) {
            running.filter { (service == null || it.service == service) && (range == null || it.key?.let(range::contains) == true) }
        }

    private fun abandon(request: TrackedRequest) {
        val hadSlot = synchronized(lock) { !queue.remove(request) && request in running }
        if (hadSlot) release(request)
    }

    /** Returns why [request] must be refused: it would be served too late after the requests ahead of it, or the queue is full. */
    private fun refusalReason(request: TrackedRequest): RefusalReason? {
        val remainingMs = request.deadlineMs - timer.nowMs()
        val ahead = queue.count { it.deadlineMs <= request.deadlineMs }
        val waitMs = maxOf(slotWaitMs().toDouble(), (ahead + 1) * times.recentMs / capacity.limit)
        return when {
            waitMs + times.recentMs > remainingMs -> RefusalReason.TOO_LATE
            queue.size >= queueLimit -> RefusalReason.QUEUE_FULL
            else -> null
        }
    }

    /** Returns the time until the first slot becomes free if all slots are held by requests whose answers were lost, otherwise 0. */
    private fun slotWaitMs(): Long {
        val endTimesMs = running.mapNotNull { it.mayRunUntilMs }
        return if (endTimesMs.size < capacity.limit) 0 else (endTimesMs.min() - timer.nowMs()).coerceAtLeast(0)
    }

    private fun admitNext() {
        while (running.size < capacity.limit) {
            val next = queue.poll() ?: return
            if (timer.nowMs() + times.recentMs > next.deadlineMs) {
                next.admission.complete(RefusalReason.TOO_LATE)
            } else {
                running += next
                next.admission.complete(null)
            }
        }
    }

    private class AdmissionResult(
        val refusal: RefusalReason?,
    )
}
