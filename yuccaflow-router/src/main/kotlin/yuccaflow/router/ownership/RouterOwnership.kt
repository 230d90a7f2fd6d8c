package yuccaflow.router.ownership

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.base.TimerService
import yuccaflow.control.ControlRecord
import yuccaflow.control.PlacementInput
import yuccaflow.control.PlacementPolicy
import yuccaflow.control.RouterId
import yuccaflow.control.RouterStage
import yuccaflow.control.ServiceName
import yuccaflow.control.TargetId
import yuccaflow.control.TargetLoad
import yuccaflow.control.rendezvousRank
import yuccaflow.external.HostListClient
import yuccaflow.external.TargetApiClient
import yuccaflow.external.TargetClock
import yuccaflow.external.TargetHealthClient
import yuccaflow.router.RouterState
import yuccaflow.router.admission.RunningRequests
import yuccaflow.router.membership.Membership
import yuccaflow.router.peer.PeerClient
import yuccaflow.router.peer.PeerMessage
import yuccaflow.router.settings.RouterSettings
import java.util.concurrent.ConcurrentHashMap

/**
 * Clients of the systems that [Ownership] talks to. [orders] sends grants and revocations to targets. [hostList] is null if the platform
 * has no host list.
 */
class OwnershipClients(
    val orders: TargetApiClient,
    val health: TargetHealthClient,
    val hostList: HostListClient?,
    val peers: PeerClient,
)

/**
 * Creates the [Ownership] of a router. [running] is a function because the request path, which implements it, itself depends on the
 * work permits of the returned object.
 */
fun ownership(
    settings: RouterSettings,
    membership: Membership,
    clients: OwnershipClients,
    running: () -> RunningRequests,
    policy: PlacementPolicy,
    timer: TimerService,
    registry: MeterRegistry,
): Ownership {
    val deps = OwnershipDependencies(settings, membership, clients.orders, clients.health, running, timer, registry)
    return RouterOwnership(deps, policy, clients)
}

/**
 * Runs a [TargetGrantManager] and a [RangeReleaser] for each target that this router is the primary of, and the loops for placement:
 * [PlannerLoop], [LoadCollector] and [LeavingHostMonitor].
 */
internal class RouterOwnership(
    private val deps: OwnershipDependencies,
    private val policy: PlacementPolicy,
    clients: OwnershipClients,
) : Ownership {
    private class ManagedTarget(
        val manager: TargetGrantManager,
        val releaser: RangeReleaser,
        val job: Job,
    )

    private val managedTargets = ConcurrentHashMap<TargetId, ManagedTarget>()

    /** Scope of the handovers that [plannerLoop] starts; null while [run] is not active. */
    @Volatile
    private var handoverScope: CoroutineScope? = null

    /** Local time at which this router learned that a target is leaving or out of service; targets in service are absent. */
    private val leavingSinceMsByTarget = mutableMapOf<TargetId, Long>()
    private val leavingHosts = LeavingHostMonitor(clients.hostList, deps.timer)
    private val loadCollector = LoadCollector(deps, clients.peers, ::ownLoads, ::collectsLoadsOf)
    private val plannerLoop = PlannerLoop(deps, policy, ::placementInput, ::startHandover)
    private val targetHandover = TargetHandover(deps)
    private val permits = WorkPermitIssuer(deps, { managedTargets[it]?.manager }, { it in leavingHosts.current.value })

    override fun permit(target: TargetId, service: ServiceName, key: String?, idempotent: Boolean): WorkPermit =
        permits.permit(target, service, key, idempotent)

    override fun answered(target: TargetId, clock: TargetClock) {
        managedTargets[target]?.manager?.answered(clock)
    }

    override fun failed(target: TargetId, reason: String) {
        managedTargets[target]?.manager?.failed(reason)
    }

    override fun loads(): Map<TargetId, TargetLoad> = loadCollector.loads()

    override suspend fun handle(from: RouterId, message: PeerMessage): PeerMessage? =
        if (message is PeerMessage.LoadQuery) PeerMessage.LoadReport(ownLoads()) else null

    override suspend fun run() {
        try {
            coroutineScope {
                handoverScope = this
                launch { leavingHosts.run() }
                launch { loadCollector.run() }
                launch { plannerLoop.run() }
                val changes = combine(deps.membership.state(), leavingHosts.current) { state, hosts -> state to hosts }
                changes.collect { (state, hosts) -> reconcile(this, state, hosts) }
            }
        } finally {
            handoverScope = null
            managedTargets.clear()
        }
    }

    override suspend fun handOver(timeoutMs: Long) {
        withTimeoutOrNull(timeoutMs) { targetHandover.handOverAll(managedTargets.values.map { it.manager }) }
    }

    /**
     * Starts, updates and stops the managers of targets according to the primaries in the control table. A new primary epoch replaces the
     * manager, because the grants of the old one are based on the old epoch.
     */
    private fun reconcile(scope: CoroutineScope, state: RouterState, leavingHostNames: Set<String>) {
        val self = deps.membership.routerId
        val ownPrimaries = state.table.primaries.values
            .filter { it.router == self && state.table.isLive(self) }
            .associateBy { it.target }
        managedTargets
            .filter { (target, managed) -> ownPrimaries[target]?.epoch != managed.manager.primaryEpoch }
            .keys
            .forEach { managedTargets.remove(it)?.job?.cancel() }
        leavingSinceMsByTarget.keys.retainAll(ownPrimaries.keys)
        val ranges = state.table.services
            .flatMap { state.table.ranges(it) }
            .groupBy { it.owner }
        for ((target, primary) in ownPrimaries) {
            // A target that was removed from the configuration keeps its last known spec while this router is its primary.
            val spec = state.config.targets[target] ?: managedTargets[target]?.manager?.assignment?.spec ?: continue
            val inService = target in state.config.targets && state.config.isInService(spec) && spec.host !in leavingHostNames
            val sinceMs = if (inService) null else leavingSinceMsByTarget[target] ?: deps.timer.nowMs()
            if (sinceMs == null) leavingSinceMsByTarget.remove(target) else leavingSinceMsByTarget[target] = sinceMs
            val assignment = TargetAssignment(spec, ranges[target].orEmpty(), sinceMs)
            val managed = managedTargets[target] ?: start(scope, target, primary.epoch, assignment)
            managed.manager.update(assignment)
            managed.releaser.update(CoroutineScope(scope.coroutineContext + managed.job), assignment.ranges)
        }
    }

    private fun start(scope: CoroutineScope, target: TargetId, epoch: Long, assignment: TargetAssignment): ManagedTarget {
        val manager = TargetGrantManager(target, epoch, deps.timer.nowMs(), assignment, deps)
        val managed = ManagedTarget(manager, RangeReleaser(manager, deps), scope.launch { manager.run() })
        managedTargets[target] = managed
        return managed
    }

    /** Starts the handover in [record], unless this router is no longer the primary under the epoch that [record] expects. */
    private fun startHandover(record: ControlRecord.PrimaryAssigned) {
        val managed = managedTargets[record.target]?.takeIf { it.manager.primaryEpoch == record.expectedEpoch } ?: return
        handoverScope?.launch { targetHandover.handOver(managed.manager, record.router) }
    }

    private fun ownLoads(): List<TargetLoad> {
        val nowMs = deps.timer.nowMs()
        val measured = deps.running().loads().associateBy { it.target }
        return managedTargets.values.map { it.manager }.map { manager ->
            val spec = manager.assignment.spec
            val load = measured[manager.target] ?: idleLoad(manager.target, spec.service, spec.slots)
            load.copy(isReachable = manager.reachability.unreachableSinceMs(nowMs) == null)
        }
    }

    /** Load of a target for which [RunningRequests] has none because it was sent no request yet. */
    private fun idleLoad(target: TargetId, service: ServiceName, slots: Int) = TargetLoad(
        target = target,
        service = service,
        inFlight = 0,
        queued = 0,
        capacity = slots.toDouble(),
        serviceTimeMs = 0.0,
        requestsPerSecond = 0.0,
        isReachable = true,
        ranges = emptyList(),
    )

    private fun placementInput(): PlacementInput {
        val nowMs = deps.timer.nowMs()
        val state = deps.membership.state().value
        val ownUnreachable = managedTargets.values
            .map { it.manager }
            .mapNotNull { manager -> manager.reachability.unreachableSinceMs(nowMs)?.let { manager.target to it } }
        val ended = state.table.routers.values
            .filter { it.stage == RouterStage.ENDED }
            .mapNotNull { router -> deps.membership.endedAtMs(router.id)?.let { router.id to it } }
        return PlacementInput(
            nowMs = nowMs,
            self = deps.membership.routerId,
            table = state.table,
            config = state.config,
            loads = loadCollector.loads(),
            unreachableSinceMs = loadCollector.unreachableSinceMs() + ownUnreachable,
            leavingHosts = leavingHosts.current.value,
            endedAtMs = ended.toMap(),
        )
    }

    /** Whether this router plans the placement of [service] or is next to take it over. */
    private fun collectsLoadsOf(service: ServiceName): Boolean {
        val live = deps.table.routers.values
            .filter { it.stage == RouterStage.LIVE }
            .map { it.id }
        return deps.membership.routerId in rendezvousRank(service.value, live).take(LOAD_COLLECTORS_PER_SERVICE)
    }

    private companion object {
        /** The planner of a service and the next router by rank both collect its loads, so that the next one knows them on takeover. */
        const val LOAD_COLLECTORS_PER_SERVICE = 2
    }
}
