package yuccaflow.router.ownership

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.tinylog.Logger
import yuccaflow.control.RangeEntry
import yuccaflow.control.TargetId
import yuccaflow.control.TargetSpec
import yuccaflow.external.GrantRequest
import yuccaflow.external.GrantedRange
import yuccaflow.external.TargetCallResult
import yuccaflow.external.TargetClock
import yuccaflow.http.SocketAddress
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.math.max

/** A grant of the range [epochs] that the target instance [instance] has confirmed. [validUntilMs] is local monotonic time. */
internal data class ConfirmedGrant(
    val instance: String,
    val epochs: Set<Long>,
    val validUntilMs: Long,
)

/** The target and the key ranges that a [TargetGrantManager] keeps granted. */
internal data class TargetAssignment(
    val spec: TargetSpec,
    val ranges: List<RangeEntry>,
    /** Local time at which this router learned that the target is leaving or out of service; null while it is in service. */
    val leavingSinceMs: Long?,
)

/**
 * Renews the grants of one target while this router is its primary under [primaryEpoch].
 *
 * No grant outlives the router lease that it is based on. A target that does not answer only gets probes: a grant that it applied late
 * would extend the time that [withdraw] has to wait.
 */
internal class TargetGrantManager(
    val target: TargetId,
    val primaryEpoch: Long,
    val becamePrimaryAtMs: Long,
    assignment: TargetAssignment,
    private val deps: OwnershipDependencies,
) {
    val reachability = TargetReachability()
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val callLock = Mutex()
    private val withdrawn = mutableSetOf<GrantedRange>()
    private var sentExpiryMs = Long.MIN_VALUE
    private var unansweredExpiryMs = Long.MIN_VALUE

    @Volatile
    var assignment: TargetAssignment = assignment
        private set

    /** The latest confirmed grant; null after the target has refused one or restarted. */
    @Volatile
    var grant: ConfirmedGrant? = null
        private set

    private val handingOver = AtomicBoolean()

    /** Whether the target is being handed over to another router. Nothing may be sent to it in that time. */
    val isHandingOver: Boolean get() = handingOver.get()

    /** Stops all sending to the target. Returns false if a handover is already in progress. */
    fun beginHandover(): Boolean = handingOver.compareAndSet(false, true)

    /** Resumes sending after a handover that was certainly not recorded. */
    fun abortHandover() = handingOver.set(false)

    /** Sets the current assignment; a change renews the grant immediately. */
    fun update(next: TargetAssignment) {
        if (next == assignment) return
        assignment = next
        wake.trySend(Unit)
    }

    /** Records an answer of the target to a request or control call. A new instance means that it restarted and lost its grants. */
    fun answered(clock: TargetClock) {
        if (!reachability.answered(clock)) return
        Logger.info("target {} restarted, new instance {}", target, clock.instance)
        grant = null
        deps.running().restartSlowStart(target)
        wake.trySend(Unit)
    }

    /** Records that the target could not be reached or did not answer. */
    fun failed(reason: String) {
        if (!reachability.isFailing) Logger.warn("call to target {} failed: {}", target, reason)
        reachability.failed(deps.timer.nowMs())
        wake.trySend(Unit)
    }

    /** Runs until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        deps.running().restartSlowStart(target)
        launch { deps.timer.every(deps.settings.timing.grantRenewMs).collect { wake.trySend(Unit) } }
        while (true) {
            renew()
            if (reachability.isFailing || reachability.clock == null) deps.timer.sleep(PROBE_INTERVAL_MS) else wake.receive()
        }
    }

    /**
     * Withdraws the range of [entry] from the target. Returns once the target can no longer hold a grant of it: either it has confirmed
     * the revocation and answered every earlier grant call, or all grants have expired.
     */
    suspend fun withdraw(entry: RangeEntry) {
        val revoked = callLock.withLock {
            withdrawn += entry.granted()
            revoke(entry)
        }
        // A delayed grant from the previous primary can arrive after the revocation until the lease behind it has expired.
        val previousPrimaryMs = becamePrimaryAtMs + deps.settings.timing.leaseMs
        val ownGrantsMs = if (revoked) unansweredExpiryMs else sentExpiryMs
        deps.timer.sleepUntil(max(ownGrantsMs, previousPrimaryMs) + deps.settings.timing.driftMarginMs)
    }

    private suspend fun revoke(entry: RangeEntry): Boolean {
        val address = SocketAddress.parseOrNull(assignment.spec.address) ?: return false
        val result = deps.targetApi.revoke(address, listOf(entry.granted()), CALL_TIMEOUT_MS)
        handleResult(result)
        return result is TargetCallResult.Done
    }

    private suspend fun renew() = callLock.withLock {
        val address = SocketAddress.parseOrNull(assignment.spec.address) ?: return@withLock
        val clock = reachability.clock
        val leaseUntilMs = deps.membership.leaseValidUntilMs()
        if (clock == null || reachability.isFailing || deps.timer.nowMs() - clock.readAtMs > MAX_CLOCK_AGE_MS) {
            handleResult(deps.health.probe(address, CALL_TIMEOUT_MS))
            wake.trySend(Unit)
        } else if (leaseUntilMs > deps.timer.nowMs() && !isHandingOver) {
            sendGrant(address, clock, leaseUntilMs)
        }
    }

    private suspend fun sendGrant(address: SocketAddress, clock: TargetClock, leaseUntilMs: Long) {
        val ranges = assignment.ranges.map { it.granted() }.filterNot { it in withdrawn }
        withdrawn.retainAll(assignment.ranges.mapTo(mutableSetOf()) { it.granted() })
        sentExpiryMs = max(sentExpiryMs, leaseUntilMs)
        val request = GrantRequest(ranges, primaryEpoch, clock.clockMsAt(leaseUntilMs), clock.instance)
        val result = deps.targetApi.grant(address, request, CALL_TIMEOUT_MS)
        when (result) {
            is TargetCallResult.Done -> {
                val epochs = ranges.mapTo(mutableSetOf()) { it.epoch }
                grant = ConfirmedGrant(request.instance, epochs, leaseUntilMs).takeIf { result.clock.instance == request.instance }
            }
            is TargetCallResult.Refused -> grant = null
            is TargetCallResult.NoAnswer -> unansweredExpiryMs = max(unansweredExpiryMs, leaseUntilMs)
        }
        handleResult(result)
    }

    private fun handleResult(result: TargetCallResult) {
        when (result) {
            is TargetCallResult.Done -> answered(result.clock)
            is TargetCallResult.Refused -> result.clock?.let { answered(it) } ?: reachability.answered()
            is TargetCallResult.NoAnswer -> failed(result.reason)
        }
    }

    private companion object {
        /**
         * A healthy target answers a control call within a few milliseconds. Two timeouts fit into the time after which a target counts
         * as unreachable.
         */
        const val CALL_TIMEOUT_MS = 200L

        /** Clocks whose rates differ by 2% drift by less than the drift margin of 60 ms over this age plus one lease. */
        const val MAX_CLOCK_AGE_MS = 500L

        /** Interval between probes of a target that does not answer. */
        const val PROBE_INTERVAL_MS = 100L
    }
}

/** The range as it is sent to targets in a grant. */
internal fun RangeEntry.granted(): GrantedRange = GrantedRange(service.value, range.from, range.to, epoch)
