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
import yuccaflow.external.GrantOrder
import yuccaflow.external.GrantedRange
import yuccaflow.external.OrderResult
import yuccaflow.external.TargetClock
import yuccaflow.http.SocketAddress
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.math.max

/** A grant that the target instance [instance] has confirmed. [validUntilMs] is local monotonic time. */
internal data class ConfirmedGrant(
    val instance: String,
    val epochs: Set<Long>,
    val validUntilMs: Long,
)

/** What a keeper has to keep granted. */
internal data class TargetAssignment(
    val spec: TargetSpec,
    val ranges: List<RangeEntry>,
    /** Local time at which this router learned that the target is leaving or withdrawn, or null. */
    val leavingSinceMs: Long?,
)

/**
 * Keeps one target granted while this router is its primary under [primaryEpoch].
 *
 * No grant outlives the lease confirmation behind it. A target that has not answered gets probes only, so that an order that is
 * carried out late cannot extend what the mover waits for.
 */
internal class TargetGrantManager(
    val target: TargetId,
    val primaryEpoch: Long,
    val becamePrimaryAtMs: Long,
    duty: TargetAssignment,
    private val parts: OwnershipDependencies,
) {
    val contact = TargetReachability()
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val orderLock = Mutex()
    private val withdrawn = mutableSetOf<GrantedRange>()
    private var sentExpiryMs = Long.MIN_VALUE
    private var unansweredExpiryMs = Long.MIN_VALUE

    @Volatile
    var duty: TargetAssignment = duty
        private set

    /** The latest confirmed grant; null after a refusal or a restart of the target. */
    @Volatile
    var grant: ConfirmedGrant? = null
        private set

    private val handingOver = AtomicBoolean()

    /** Whether the target is being handed over to another router; nothing may be sent then. */
    val isHandingOver: Boolean get() = handingOver.get()

    /** Stops all sending to the target. Returns false when it had been stopped before. */
    fun beginHandover(): Boolean = handingOver.compareAndSet(false, true)

    /** The target was certainly not handed over, so that sending may go on. */
    fun endHandover() = handingOver.set(false)

    /** Gives the keeper its current duty and renews the grant at once when it changed. */
    fun update(next: TargetAssignment) {
        if (next == duty) return
        duty = next
        wake.trySend(Unit)
    }

    /** Takes in an answer of the target to anything that this router sent. */
    fun answered(clock: TargetClock) {
        if (!contact.answered(clock)) return
        Logger.info("target {} restarted as instance {}", target, clock.instance)
        grant = null
        parts.running().restartSlowStart(target)
        wake.trySend(Unit)
    }

    /** Takes in a failure of the request path. */
    fun failed(reason: String) {
        if (!contact.isFailing) Logger.warn("target {} failed: {}", target, reason)
        contact.failed(parts.timer.nowMs())
        wake.trySend(Unit)
    }

    /** Runs until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        parts.running().restartSlowStart(target)
        launch { parts.timer.every(parts.settings.timing.grantRenewMs).collect { wake.trySend(Unit) } }
        while (true) {
            renew()
            if (contact.isFailing || contact.clock == null) parts.timer.sleep(PROBE_PAUSE_MS) else wake.receive()
        }
    }

    /**
     * Withdraws [entry] from the target, and returns when the target can hold no grant of it any more: it confirmed the revocation and
     * every grant order before it was answered, or all grants have expired.
     */
    suspend fun withdraw(entry: RangeEntry) {
        val revoked = orderLock.withLock {
            withdrawn += entry.granted()
            revoke(entry)
        }
        // A late grant of the primary before this one may arrive after the revocation, until its lease at the handover is over.
        val earlierPrimaryMs = becamePrimaryAtMs + parts.settings.timing.leaseMs
        val ownGrantsMs = if (revoked) unansweredExpiryMs else sentExpiryMs
        parts.timer.sleepUntil(max(ownGrantsMs, earlierPrimaryMs) + parts.settings.timing.driftMarginMs)
    }

    private suspend fun revoke(entry: RangeEntry): Boolean {
        val address = SocketAddress.parseOrNull(duty.spec.address) ?: return false
        val result = parts.orders.revoke(address, listOf(entry.granted()), ORDER_TIMEOUT_MS)
        takeIn(result)
        return result is OrderResult.Done
    }

    private suspend fun renew() = orderLock.withLock {
        val address = SocketAddress.parseOrNull(duty.spec.address) ?: return@withLock
        val clock = contact.clock
        val leaseUntilMs = parts.membership.leaseValidUntilMs()
        if (clock == null || contact.isFailing || parts.timer.nowMs() - clock.readAtMs > CLOCK_FRESH_MS) {
            takeIn(parts.health.probe(address, ORDER_TIMEOUT_MS))
            wake.trySend(Unit)
        } else if (leaseUntilMs > parts.timer.nowMs() && !isHandingOver) {
            sendGrant(address, clock, leaseUntilMs)
        }
    }

    private suspend fun sendGrant(address: SocketAddress, clock: TargetClock, leaseUntilMs: Long) {
        val ranges = duty.ranges.map { it.granted() }.filterNot { it in withdrawn }
        withdrawn.retainAll(duty.ranges.mapTo(mutableSetOf()) { it.granted() })
        sentExpiryMs = max(sentExpiryMs, leaseUntilMs)
        val order = GrantOrder(ranges, primaryEpoch, clock.atLocal(leaseUntilMs), clock.instance)
        val result = parts.orders.grant(address, order, ORDER_TIMEOUT_MS)
        when (result) {
            is OrderResult.Done -> {
                val epochs = ranges.mapTo(mutableSetOf()) { it.epoch }
                grant = ConfirmedGrant(order.instance, epochs, leaseUntilMs).takeIf { result.clock.instance == order.instance }
            }
            is OrderResult.Refused -> grant = null
            is OrderResult.NoAnswer -> unansweredExpiryMs = max(unansweredExpiryMs, leaseUntilMs)
        }
        takeIn(result)
    }

    private fun takeIn(result: OrderResult) {
        when (result) {
            is OrderResult.Done -> answered(result.clock)
            is OrderResult.Refused -> result.clock?.let { answered(it) } ?: contact.answered()
            is OrderResult.NoAnswer -> failed(result.reason)
        }
    }

    private companion object {
        /** A healthy target answers an order within a few milliseconds; two timeouts fit into the time before a target counts as lost. */
        const val ORDER_TIMEOUT_MS = 200L

        /** Over this time and a lease, clock rates that differ by 2% stay within the drift margin of 60 ms. */
        const val CLOCK_FRESH_MS = 500L

        /** Pause between probes of a target that does not answer. */
        const val PROBE_PAUSE_MS = 100L
    }
}

/** The range in the form that targets are granted it. */
internal fun RangeEntry.granted(): GrantedRange = GrantedRange(service.value, range.from, range.to, epoch)
