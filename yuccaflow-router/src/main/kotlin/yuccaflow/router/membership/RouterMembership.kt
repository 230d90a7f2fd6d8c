package yuccaflow.router.membership

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.base.TimerService
import yuccaflow.control.ControlRecord
import yuccaflow.control.LeaseTiming
import yuccaflow.control.RouterId
import yuccaflow.control.RouterStage
import yuccaflow.control.snapshotOf
import yuccaflow.external.AppendResult
import yuccaflow.external.LogService
import yuccaflow.external.ReadResult
import yuccaflow.external.Streams
import yuccaflow.http.SocketAddress
import yuccaflow.router.RouterState
import yuccaflow.router.peer.PeerClient
import yuccaflow.router.peer.PeerMessage
import yuccaflow.router.settings.RouterSettings
import yuccaflow.router.settings.TimingSettings
import yuccaflow.router.telemetry.MetricNames
import java.util.UUID
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Creates the membership of a router. It is inactive until [Membership.run] is called. */
fun membership(
    settings: RouterSettings,
    log: LogService,
    peers: PeerClient,
    timer: TimerService,
    registry: MeterRegistry,
): Membership = RouterMembership(settings, log, peers, timer, registry, Random.Default) {
    RouterId("${settings.host}-${UUID.randomUUID().toString().takeLast(ID_SUFFIX_LENGTH)}")
}

/** Number of hexadecimal digits of the random part of a router id, which are 48 bits. */
private const val ID_SUFFIX_LENGTH = 12

internal class RouterMembership(
    private val settings: RouterSettings,
    log: LogService,
    peers: PeerClient,
    timer: TimerService,
    private val registry: MeterRegistry,
    random: Random,
    newId: () -> RouterId,
) : Membership {
    private val timing = settings.timing.toLeaseTiming()
    private val lease = LeaseHolder(timing, newId)
    private val replica = Replica(timer, lease::tableUpdated)
    private val logClient = FailoverLogClient(log, peers, timer, registry, ::peerAddresses)
    private val context = MembershipContext(settings, replica, logClient, peers, timer, lease)
    private val peerRotation = AtomicInteger()
    private val witnessReplacer = WitnessReplacer(context, random)
    private val leaseRenewer = LeaseRenewer(context)
    private val suspicionWriter = SuspicionWriter(context, timing)
    private val bootstrap = Bootstrap(context, ::peerAddresses)

    init {
        registry.gauge(MetricNames.LEASE_VALID, this) { if (it.leaseValidUntilMs() > timer.nowMs()) 1.0 else 0.0 }
    }

    override val routerId: RouterId get() = context.routerId

    override fun state(): StateFlow<RouterState> = replica.state

    override fun leaseValidUntilMs(): Long = lease.validUntilMs

    override fun endedAtMs(router: RouterId): Long? = replica.endedAtMs(router)

    override suspend fun append(record: ControlRecord): AppendResult = context.append(record)

    override suspend fun run(): Unit = coroutineScope {
        bootstrap.load()
        launch { controlFollower().run() }
        launch { configFollower().run() }
        launch { Registration(context).run() }
        launch { leaseRenewer.run() }
        launch { suspicionWriter.run() }
        launch { witnessReplacer.run() }
        launch { CheckpointWriter(context).run() }
    }

    override suspend fun handle(from: RouterId, message: PeerMessage): PeerMessage? = when (message) {
        is PeerMessage.Heartbeat -> {
            suspicionWriter.heartbeatReceived(message.router)
            val valid = leaseValidUntilMs() > context.timer.nowMs()
            PeerMessage.HeartbeatAnswer(routerId, context.table.position, valid)
        }
        is PeerMessage.ReadLog -> read(message)
        is PeerMessage.AppendLog -> append(message)
        is PeerMessage.SnapshotQuery -> PeerMessage.SnapshotAnswer(replica.state.value.let { snapshotOf(it.table, it.config) })
        else -> null
    }

    override suspend fun announceLeaving(timeoutMs: Long) {
        val id = routerId
        context.isStopping = true
        withTimeoutOrNull(timeoutMs) {
            if (context.self != null) {
                context.appendUntil({ it.routers[id]?.stage != RouterStage.LIVE }) { ControlRecord.RouterLeaving(id) }
            }
        }
    }

    override suspend fun stop(timeoutMs: Long) {
        val id = routerId
        context.isStopping = true
        lease.relinquish()
        awaitGrantsExpired(id)
        withTimeoutOrNull(timeoutMs) {
            if (context.self != null) context.appendUntil({ !it.isLive(id) }) { ControlRecord.RouterStopped(id) }
        }
    }

    /**
     * Waits for grants left behind by a failed handover to expire, since others may release the ranges of a stopped router immediately.
     * No grant outlives the lease that it is based on. The lease is no longer renewed, so a full lease and the drift margin are enough.
     */
    private suspend fun awaitGrantsExpired(id: RouterId) {
        if (context.table.primaries.values
                .none { it.router == id }
        ) {
            return
        }
        context.timer.sleep(timing.leaseMs + timing.driftMarginMs)
    }

    private fun controlFollower() = StreamFollower(
        stream = Streams.CONTROL,
        logClient = logClient,
        timer = context.timer,
        registry = registry,
        position = { replica.state.value.table.position },
        apply = replica::applyControl,
        onExpired = bootstrap::reload,
    )

    private fun configFollower() = StreamFollower(
        stream = Streams.CONFIG,
        logClient = logClient,
        timer = context.timer,
        registry = registry,
        position = { replica.state.value.config.position },
        apply = replica::applyConfig,
        onExpired = bootstrap::reload,
    )

    private suspend fun append(message: PeerMessage.AppendLog): PeerMessage {
        if (logClient.isDirectFailing()) return AppendResult.NotAppended("the log service does not answer").toAnswer()
        return logClient.appendDirect(message.stream, message.data).toAnswer()
    }

    /** Forwards a read to the log service. If that fails, a read of the control stream is answered from the recent records in memory. */
    private suspend fun read(message: PeerMessage.ReadLog): PeerMessage {
        var result: ReadResult = ReadResult.ReadFailed("the log service does not answer")
        if (!logClient.isDirectFailing()) {
            val waitMs = message.waitMs.coerceIn(0, MAX_PEER_WAIT_MS)
            result = logClient.readDirect(message.stream, message.fromOffset, message.maxRecords.coerceIn(1, PEER_PAGE_RECORDS), waitMs)
        }
        if (result !is ReadResult.ReadFailed || message.stream != Streams.CONTROL) return result.toAnswer(fromMemory = false)
        val records = replica.recentControl(message.fromOffset, PEER_PAGE_RECORDS) ?: return result.toAnswer(fromMemory = false)
        return ReadResult.Read(records, records.first().offset, records.last().offset + 1).toAnswer(fromMemory = true)
    }

    /**
     * Returns the peers through which the log may be reached. Routers in other zones come first, because a network failure usually
     * cuts off a whole zone from the log service. The order rotates with each call.
     */
    private fun peerAddresses(): List<SocketAddress> {
        val otherRouters = replica.state.value.table.routers.values
            .filter { it.id != routerId && it.stage != RouterStage.ENDED }
        val shift = peerRotation.getAndIncrement()
        val (sameZone, otherZones) = otherRouters.sortedBy { it.id.value }.partition { it.zone.value == settings.zone }
        val known = (rotated(otherZones, shift) + rotated(sameZone, shift)).mapNotNull { SocketAddress.parseOrNull(it.peerAddress) }
        return (known + settings.seedPeers).distinct().filter { it != settings.peerAdvertise }
    }

    private fun <T> rotated(list: List<T>, shift: Int): List<T> {
        if (list.isEmpty()) return list
        val start = Math.floorMod(shift, list.size)
        return list.drop(start) + list.take(start)
    }

    private fun TimingSettings.toLeaseTiming() = LeaseTiming(heartbeatMs, leaseMs, driftMarginMs, suspectAfterMs)

    private companion object {
        const val PEER_PAGE_RECORDS = 500

        /**
         * Limits the wait that a peer asks for. The timeout of a read for a peer includes this wait, so the limit keeps such a read from
         * blocking for long when the connection to the log service is lost.
         */
        const val MAX_PEER_WAIT_MS = 2_000L
    }
}
