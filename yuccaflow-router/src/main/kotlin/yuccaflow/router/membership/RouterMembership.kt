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

/** Creates the membership of a router. It does nothing before [Membership.run]. */
fun membership(
    settings: RouterSettings,
    log: LogService,
    peers: PeerClient,
    timer: TimerService,
    registry: MeterRegistry,
): Membership = RouterMembership(settings, log, peers, timer, registry, Random.Default) {
    RouterId("${settings.host}-${UUID.randomUUID().toString().takeLast(ID_SUFFIX_LENGTH)}")
}

/** Twelve hexadecimal digits: 48 random bits. */
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
    private val replica = Replica(timer, lease::tableRead)
    private val access = FailoverLogClient(log, peers, timer, registry, ::peerAddresses)
    private val parts = MembershipContext(settings, replica, access, peers, timer, lease)
    private val rotation = AtomicInteger()
    private val upkeep = WitnessReplacer(parts, random)
    private val rounds = LeaseRenewer(parts)
    private val suspicions = SuspicionWriter(parts, timing)
    private val bootstrap = Bootstrap(parts, ::peerAddresses)

    init {
        registry.gauge(MetricNames.LEASE_VALID, this) { if (it.leaseValidUntilMs() > timer.nowMs()) 1.0 else 0.0 }
    }

    override val routerId: RouterId get() = parts.routerId

    override fun state(): StateFlow<RouterState> = replica.state

    override fun leaseValidUntilMs(): Long = lease.validUntilMs

    override fun endedAtMs(router: RouterId): Long? = replica.endedAtMs(router)

    override suspend fun append(record: ControlRecord): AppendResult = parts.append(record)

    override suspend fun run(): Unit = coroutineScope {
        bootstrap.load()
        launch { controlFollower().run() }
        launch { configFollower().run() }
        launch { Registration(parts).run() }
        launch { rounds.run() }
        launch { suspicions.run() }
        launch { upkeep.run() }
        launch { CheckpointWriter(parts).run() }
    }

    override suspend fun handle(from: RouterId, message: PeerMessage): PeerMessage? = when (message) {
        is PeerMessage.Heartbeat -> {
            suspicions.heardFrom(message.router)
            val valid = leaseValidUntilMs() > parts.timer.nowMs()
            PeerMessage.HeartbeatAnswer(routerId, parts.table.position, valid)
        }
        is PeerMessage.ReadLog -> read(message)
        is PeerMessage.AppendLog -> append(message)
        is PeerMessage.SnapshotQuery -> PeerMessage.SnapshotAnswer(replica.state.value.let { snapshotOf(it.table, it.config) })
        else -> null
    }

    override suspend fun announceLeaving(timeoutMs: Long) {
        val id = routerId
        parts.isStopping = true
        withTimeoutOrNull(timeoutMs) {
            if (parts.self != null) {
                parts.appendUntil({ it.routers[id]?.stage != RouterStage.LIVE }) { ControlRecord.RouterLeaving(id) }
            }
        }
    }

    override suspend fun stop(timeoutMs: Long) {
        val id = routerId
        parts.isStopping = true
        lease.giveUp()
        awaitGrantsExpired(id)
        withTimeoutOrNull(timeoutMs) {
            if (parts.self != null) parts.appendUntil({ !it.isLive(id) }) { ControlRecord.RouterStopped(id) }
        }
    }

    /** Others may release the ranges of a stopped router at once, so grants that a failed handover left behind must expire first. */
    private suspend fun awaitGrantsExpired(id: RouterId) {
        if (parts.table.primaries.values
                .none { it.router == id }
        ) {
            return
        }
        parts.timer.sleep(timing.leaseMs + timing.driftMarginMs)
    }

    private fun controlFollower() = StreamFollower(
        stream = Streams.CONTROL,
        access = access,
        timer = parts.timer,
        registry = registry,
        position = { replica.state.value.table.position },
        apply = replica::applyControl,
        onExpired = bootstrap::reload,
    )

    private fun configFollower() = StreamFollower(
        stream = Streams.CONFIG,
        access = access,
        timer = parts.timer,
        registry = registry,
        position = { replica.state.value.config.position },
        apply = replica::applyConfig,
        onExpired = bootstrap::reload,
    )

    private suspend fun append(message: PeerMessage.AppendLog): PeerMessage {
        if (access.isDirectFailing()) return AppendResult.NotAppended("the log service does not answer").toAnswer()
        return access.appendDirect(message.stream, message.data).toAnswer()
    }

    /** Passes a read on to the log service, or answers it from memory when that fails. */
    private suspend fun read(message: PeerMessage.ReadLog): PeerMessage {
        var result: ReadResult = ReadResult.ReadFailed("the log service does not answer")
        if (!access.isDirectFailing()) {
            val waitMs = message.waitMs.coerceIn(0, LONGEST_PEER_WAIT_MS)
            result = access.readDirect(message.stream, message.fromOffset, message.maxRecords.coerceIn(1, PEER_PAGE_RECORDS), waitMs)
        }
        if (result !is ReadResult.ReadFailed || message.stream != Streams.CONTROL) return result.toAnswer(fromMemory = false)
        val records = replica.recentControl(message.fromOffset, PEER_PAGE_RECORDS) ?: return result.toAnswer(fromMemory = false)
        return ReadResult.Read(records, records.first().offset, records.last().offset + 1).toAnswer(fromMemory = true)
    }

    /** Peers to ask for help with the log, other zones first because a zone is cut off as a whole, in an order that rotates. */
    private fun peerAddresses(): List<SocketAddress> {
        val live = replica.state.value.table.routers.values
            .filter { it.id != routerId && it.stage != RouterStage.ENDED }
        val turn = rotation.getAndIncrement()
        val (near, far) = live.sortedBy { it.id.value }.partition { it.zone.value == settings.zone }
        val known = (rotated(far, turn) + rotated(near, turn)).mapNotNull { SocketAddress.parseOrNull(it.peerAddress) }
        return (known + settings.seedPeers).distinct().filter { it != settings.peerAdvertise }
    }

    private fun <T> rotated(list: List<T>, turn: Int): List<T> {
        if (list.isEmpty()) return list
        val by = Math.floorMod(turn, list.size)
        return list.drop(by) + list.take(by)
    }

    private fun TimingSettings.toLeaseTiming() = LeaseTiming(heartbeatMs, leaseMs, driftMarginMs, suspectAfterMs)

    private companion object {
        const val PEER_PAGE_RECORDS = 500

        /** A peer's wait is bounded, so that a lost connection cannot hold a read of this router for long. */
        const val LONGEST_PEER_WAIT_MS = 2_000L
    }
}
