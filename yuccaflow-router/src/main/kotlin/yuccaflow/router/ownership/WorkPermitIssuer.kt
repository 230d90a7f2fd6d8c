package yuccaflow.router.ownership

import yuccaflow.control.RangeEntry
import yuccaflow.control.ServiceName
import yuccaflow.control.TargetId
import kotlin.math.max
import kotlin.math.min

/** Performs the checks of [WorkAuthority.permit] before each send. It only reads in-memory state and never waits. */
internal class WorkPermitIssuer(
    private val deps: OwnershipDependencies,
    private val managerOf: (TargetId) -> TargetGrantManager?,
    private val isHostLeaving: (String) -> Boolean,
) {
    /** See [WorkAuthority.permit]. */
    fun permit(target: TargetId, service: ServiceName, key: String?, idempotent: Boolean): WorkPermit {
        val state = deps.membership.state().value
        val spec = state.config.services[service] ?: return denied(DenialReason.UNKNOWN_TARGET)
        val primary = state.table.primaries[target]
        if (primary == null || primary.router != deps.membership.routerId) return denied(DenialReason.NOT_PRIMARY)
        val manager = managerOf(target)?.takeIf { it.primaryEpoch == primary.epoch } ?: return denied(DenialReason.NOT_GRANTED)
        val nowMs = deps.timer.nowMs()
        val leaseUntilMs = deps.membership.leaseValidUntilMs()
        val needsLease = spec.isKeyed || !idempotent
        return when {
            needsLease && leaseUntilMs <= nowMs -> denied(DenialReason.NO_LEASE)
            manager.reachability.unreachableSinceMs(nowMs) != null -> denied(DenialReason.UNREACHABLE)
            manager.isHandingOver || isLeaving(manager, spec.isKeyed, nowMs) -> denied(DenialReason.LEAVING)
            spec.isKeyed -> keyedPermit(manager, key?.let { state.table.rangeOf(service, it) }, leaseUntilMs, nowMs)
            else -> {
                val untilMs = if (needsLease) leaseUntilMs else max(leaseUntilMs, nowMs + deps.settings.timing.heartbeatMs)
                WorkPermit.Granted(0, primary.epoch, untilMs, manager.reachability.clock)
            }
        }
    }

    private fun keyedPermit(manager: TargetGrantManager, range: RangeEntry?, leaseUntilMs: Long, nowMs: Long): WorkPermit {
        val clock = manager.reachability.clock
        val grant = manager.grant?.takeIf { it.instance == clock?.instance && it.validUntilMs > nowMs }
        return when {
            range == null || range.owner != manager.target -> denied(DenialReason.NOT_OWNER)
            range.move != null -> denied(DenialReason.MOVING)
            !manager.assignment.spec.checksFences -> WorkPermit.Granted(range.epoch, manager.primaryEpoch, leaseUntilMs, clock)
            grant == null || range.epoch !in grant.epochs -> denied(DenialReason.NOT_GRANTED)
            else -> WorkPermit.Granted(range.epoch, manager.primaryEpoch, min(leaseUntilMs, grant.validUntilMs), clock)
        }
    }

    /**
     * Whether [manager]'s target must get no new requests because it is leaving. A service that is not keyed has other targets, so it
     * stops using the target immediately. The owner of a key range keeps serving it for [RANGE_GRACE_MS], so that most ranges have moved
     * before they would become unavailable.
     */
    private fun isLeaving(manager: TargetGrantManager, isKeyed: Boolean, nowMs: Long): Boolean {
        val config = deps.membership
            .state()
            .value.config
        val spec = config.targets[manager.target]
        val inService = spec != null && config.isInService(spec) && !isHostLeaving(spec.host)
        if (inService) return false
        if (!isKeyed) return true
        val sinceMs = manager.assignment.leavingSinceMs ?: return false
        return nowMs - sinceMs >= RANGE_GRACE_MS
    }

    private fun denied(reason: DenialReason) = WorkPermit.Denied(reason)

    private companion object {
        /** A leaving zone or host must get no new requests 2 s after it was marked. The remaining second lets the mark arrive. */
        const val RANGE_GRACE_MS = 1_000L
    }
}
