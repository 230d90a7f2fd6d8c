package yuccaflow.router.ownership

import yuccaflow.control.RangeEntry
import yuccaflow.control.ServiceName
import yuccaflow.control.TargetId
import kotlin.math.max
import kotlin.math.min

/** The checks before each send. They read volatile state only and never wait. */
internal class WorkPermitIssuer(
    private val parts: OwnershipDependencies,
    private val keeperOf: (TargetId) -> TargetGrantManager?,
    private val isHostLeaving: (String) -> Boolean,
) {
    /** See [WorkAuthority.permit]. */
    fun permit(target: TargetId, service: ServiceName, key: String?, idempotent: Boolean): WorkPermit {
        val state = parts.membership.state().value
        val spec = state.config.services[service] ?: return denied(DenialReason.UNKNOWN_TARGET)
        val primary = state.table.primaries[target]
        if (primary == null || primary.router != parts.membership.routerId) return denied(DenialReason.NOT_PRIMARY)
        val keeper = keeperOf(target)?.takeIf { it.primaryEpoch == primary.epoch } ?: return denied(DenialReason.NOT_GRANTED)
        val nowMs = parts.timer.nowMs()
        val leaseUntilMs = parts.membership.leaseValidUntilMs()
        val needsLease = spec.isDivided || !idempotent
        return when {
            needsLease && leaseUntilMs <= nowMs -> denied(DenialReason.NO_LEASE)
            keeper.contact.unreachableSinceMs(nowMs) != null -> denied(DenialReason.UNREACHABLE)
            keeper.isHandingOver || isLeaving(keeper, spec.isDivided, nowMs) -> denied(DenialReason.LEAVING)
            spec.isDivided -> dividedPermit(keeper, key?.let { state.table.rangeOf(service, it) }, leaseUntilMs, nowMs)
            else -> {
                val untilMs = if (needsLease) leaseUntilMs else max(leaseUntilMs, nowMs + parts.settings.timing.heartbeatMs)
                WorkPermit.Granted(0, primary.epoch, untilMs, keeper.contact.clock)
            }
        }
    }

    private fun dividedPermit(keeper: TargetGrantManager, range: RangeEntry?, leaseUntilMs: Long, nowMs: Long): WorkPermit {
        val clock = keeper.contact.clock
        val grant = keeper.grant?.takeIf { it.instance == clock?.instance && it.validUntilMs > nowMs }
        return when {
            range == null || range.owner != keeper.target -> denied(DenialReason.NOT_OWNER)
            range.move != null -> denied(DenialReason.MOVING)
            !keeper.duty.spec.checksFences -> WorkPermit.Granted(range.epoch, keeper.primaryEpoch, leaseUntilMs, clock)
            grant == null || range.epoch !in grant.epochs -> denied(DenialReason.NOT_GRANTED)
            else -> WorkPermit.Granted(range.epoch, keeper.primaryEpoch, min(leaseUntilMs, grant.validUntilMs), clock)
        }
    }

    /**
     * An undivided service has other targets, so it stops at once. The owner of a range serves it a little longer, so that most ranges
     * have moved before they would become unavailable.
     */
    private fun isLeaving(keeper: TargetGrantManager, divided: Boolean, nowMs: Long): Boolean {
        val config = parts.membership
            .state()
            .value.config
        val spec = config.targets[keeper.target]
        val inService = spec != null && config.isInService(spec) && !isHostLeaving(spec.host)
        if (inService) return false
        if (!divided) return true
        val sinceMs = keeper.duty.leavingSinceMs ?: return false
        return nowMs - sinceMs >= RANGE_GRACE_MS
    }

    private fun denied(reason: DenialReason) = WorkPermit.Denied(reason)

    private companion object {
        /** A leaving zone or host gets no new work 2 s after the mark; the rest of that time is left for reading the mark. */
        const val RANGE_GRACE_MS = 1_000L
    }
}
