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
import yuccaflow.external.HostList
import yuccaflow.external.TargetClock
import yuccaflow.external.TargetHealth
import yuccaflow.external.TargetOrders
import yuccaflow.router.RouterState
import yuccaflow.router.admission.RunningRequests
import yuccaflow.router.membership.Membership
import yuccaflow.router.peer.PeerClient
import yuccaflow.router.peer.PeerMessage
import yuccaflow.router.settings.RouterSettings
import java.util.concurrent.ConcurrentHashMap

/** The outside systems that the ownership part works with; [hostList] is null where the platform has none. */
class OwnershipLinks(
    val orders: TargetOrders,
    val health: TargetHealth,
    val hostList: HostList?,
    val peers: PeerClient,
)

/** Creates the ownership part of a router. [running] is asked late because the request path needs the permits of this part in turn. */
fun ownership(
    settings: RouterSettings,
    membership: Membership,
    links: OwnershipLinks,
    running: () -> RunningRequests,
    policy: PlacementPolicy,
    timer: TimerService,
    registry: MeterRegistry,
): Ownership {
    val parts = OwnershipParts(settings, membership, links.orders, links.health, running, timer, registry)
    return RouterOwnership(parts, policy, links)
}

/** Keeps a [TargetKeeper] and a [RangeMover] for each target of which this router is the primary, and runs the planner. */
internal class RouterOwnership(
    private val parts: OwnershipParts,
    private val policy: PlacementPolicy,
    links: OwnershipLinks,
) : Ownership {
    private class Kept(
        val keeper: TargetKeeper,
        val mover: RangeMover,
        val job: Job,
    )

    private val kept = ConcurrentHashMap<TargetId, Kept>()

    /** Where handovers run that the planner asked for. */
    @Volatile
    private var handovers: CoroutineScope? = null
    private val leavingSince = mutableMapOf<TargetId, Long>()
    private val leavingHosts = LeavingHosts(links.hostList, parts.timer)
    private val collector = LoadCollector(parts, links.peers, ::ownLoads, ::isPlanner)
    private val planner = PlannerLoop(parts, policy, ::placementInput, ::startHandover)
    private val handover = TargetHandover(parts)
    private val permits = WorkPermits(parts, { kept[it]?.keeper }, { it in leavingHosts.current.value })

    override fun permit(target: TargetId, service: ServiceName, key: String?, idempotent: Boolean): WorkPermit =
        permits.permit(target, service, key, idempotent)

    override fun answered(target: TargetId, clock: TargetClock) {
        kept[target]?.keeper?.answered(clock)
    }

    override fun failed(target: TargetId, reason: String) {
        kept[target]?.keeper?.failed(reason)
    }

    override fun loads(): Map<TargetId, TargetLoad> = collector.loads()

    override suspend fun handle(from: RouterId, message: PeerMessage): PeerMessage? =
        if (message is PeerMessage.LoadQuery) PeerMessage.LoadReport(ownLoads()) else null

    override suspend fun run() {
        try {
            coroutineScope {
                handovers = this
                launch { leavingHosts.run() }
                launch { collector.run() }
                launch { planner.run() }
                val changes = combine(parts.membership.state(), leavingHosts.current) { state, hosts -> state to hosts }
                changes.collect { (state, hosts) -> reconcile(this, state, hosts) }
            }
        } finally {
            handovers = null
            kept.clear()
        }
    }

    override suspend fun handOver(timeoutMs: Long) {
        withTimeoutOrNull(timeoutMs) { handover.handOverAll(kept.values.map { it.keeper }) }
    }

    private fun reconcile(scope: CoroutineScope, state: RouterState, leavingHostNames: Set<String>) {
        val self = parts.membership.routerId
        val mine = state.table.primaries.values
            .filter { it.router == self && state.table.isLive(self) }
            .associateBy { it.target }
        kept.filter { (target, kept) -> mine[target]?.epoch != kept.keeper.primaryEpoch }.keys.forEach { kept.remove(it)?.job?.cancel() }
        leavingSince.keys.retainAll(mine.keys)
        val ranges = state.table.services
            .flatMap { state.table.ranges(it) }
            .groupBy { it.owner }
        for ((target, primary) in mine) {
            val spec = state.config.targets[target] ?: kept[target]?.keeper?.duty?.spec ?: continue
            val inService = target in state.config.targets && state.config.isInService(spec) && spec.host !in leavingHostNames
            val since = if (inService) null else leavingSince[target] ?: parts.timer.nowMs()
            if (since == null) leavingSince.remove(target) else leavingSince[target] = since
            val duty = KeeperDuty(spec, ranges[target].orEmpty(), since)
            val entry = kept[target] ?: start(scope, target, primary.epoch, duty)
            entry.keeper.update(duty)
            entry.mover.update(CoroutineScope(scope.coroutineContext + entry.job), duty.ranges)
        }
    }

    private fun start(scope: CoroutineScope, target: TargetId, epoch: Long, duty: KeeperDuty): Kept {
        val keeper = TargetKeeper(target, epoch, parts.timer.nowMs(), duty, parts)
        val started = Kept(keeper, RangeMover(keeper, parts), scope.launch { keeper.run() })
        kept[target] = started
        return started
    }

    private fun startHandover(record: ControlRecord.PrimaryAssigned) {
        val entry = kept[record.target]?.takeIf { it.keeper.primaryEpoch == record.expectedEpoch } ?: return
        handovers?.launch { handover.handOver(entry.keeper, record.router) }
    }

    private fun ownLoads(): List<TargetLoad> {
        val nowMs = parts.timer.nowMs()
        val seen = parts.running().loads().associateBy { it.target }
        return kept.values.map { it.keeper }.map { keeper ->
            val spec = keeper.duty.spec
            val load = seen[keeper.target] ?: idleLoad(keeper.target, spec.service, spec.slots)
            load.copy(reachable = keeper.contact.unreachableSinceMs(nowMs) == null)
        }
    }

    private fun idleLoad(target: TargetId, service: ServiceName, slots: Int) = TargetLoad(
        target = target,
        service = service,
        inFlight = 0,
        queued = 0,
        capacity = slots.toDouble(),
        serviceTimeMs = 0.0,
        requestsPerSecond = 0.0,
        reachable = true,
        ranges = emptyList(),
    )

    private fun placementInput(): PlacementInput {
        val nowMs = parts.timer.nowMs()
        val state = parts.membership.state().value
        val ownUnreachable = kept.values
            .map { it.keeper }
            .mapNotNull { keeper -> keeper.contact.unreachableSinceMs(nowMs)?.let { keeper.target to it } }
        val ended = state.table.routers.values
            .filter { it.stage == RouterStage.ENDED }
            .mapNotNull { router -> parts.membership.endedAtMs(router.id)?.let { router.id to it } }
        return PlacementInput(
            nowMs = nowMs,
            self = parts.membership.routerId,
            table = state.table,
            config = state.config,
            loads = collector.loads(),
            unreachableSinceMs = collector.unreachableSinceMs() + ownUnreachable,
            leavingHosts = leavingHosts.current.value,
            endedAtMs = ended.toMap(),
        )
    }

    private fun isPlanner(service: ServiceName): Boolean {
        val live = parts.table.routers.values
            .filter { it.stage == RouterStage.LIVE }
            .map { it.id }
        return parts.membership.routerId in rendezvousRank(service.value, live).take(PLANNERS_PER_SERVICE)
    }

    private companion object {
        /** The router that plans a service and the one that takes over first ask for loads, so that the second one is not blind. */
        const val PLANNERS_PER_SERVICE = 2
    }
}
