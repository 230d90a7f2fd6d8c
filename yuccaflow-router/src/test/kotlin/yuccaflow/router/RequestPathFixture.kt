package yuccaflow.router

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.control.ConfigState
import yuccaflow.control.ControlRecord
import yuccaflow.control.KeyRange
import yuccaflow.control.KeyRule
import yuccaflow.control.RouterId
import yuccaflow.control.ServiceName
import yuccaflow.control.ServiceSpec
import yuccaflow.control.TargetId
import yuccaflow.control.TargetSpec
import yuccaflow.control.ZoneName
import yuccaflow.control.emptyControlTable
import yuccaflow.external.TargetClock
import yuccaflow.http.HttpHeaderList
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.SocketAddress
import yuccaflow.http.headersOf
import yuccaflow.router.admission.ForwardServer
import yuccaflow.router.admission.SlotTargetGateway
import yuccaflow.router.admission.WorkSender
import yuccaflow.router.ownership.DenialReason
import yuccaflow.router.ownership.TargetObserver
import yuccaflow.router.ownership.WorkAuthority
import yuccaflow.router.ownership.WorkPermit
import yuccaflow.router.peer.PeerClient
import yuccaflow.router.peer.PeerMessage
import yuccaflow.router.peer.PeerResult
import yuccaflow.router.routing.EntryHandler
import yuccaflow.router.routing.Forwarder
import yuccaflow.router.routing.TargetSelector
import yuccaflow.router.telemetry.RouterSpan
import yuccaflow.router.telemetry.RouterTracing
import kotlin.random.Random

internal val LOANS = ServiceName("prest")
internal val CATALOGUE = ServiceName("katalog")

/** One-way latency between routers. */
private const val PEER_DELAY_MS = 1L

/** Routers and simulated targets, connected in memory and in virtual time. GET is idempotent, POST is not. */
internal class RequestPathFixture(
    val test: TestScope,
    val runLimitMs: Long = 500,
    private val seed: Int = 1,
) : CoroutineScope by test.backgroundScope {
    val timer = VirtualTimer(test.testScheduler)
    val targets = FakeTargets(timer, this)
    val routers = LinkedHashMap<RouterId, FakeRouter>()
    val state = MutableStateFlow(RouterState(emptyControlTable(), ConfigState.Empty))
    private var offset = 0L

    /** Returns the fault that is injected into a message between routers. */
    var onPeerCall: (from: FakeRouter, to: FakeRouter, message: PeerMessage) -> PeerFault = { _, _, _ -> PeerFault.NONE }

    init {
        service(LOANS, "/prest", null)
        service(CATALOGUE, "/katalog", KeyRule.PathSegment(1))
    }

    private fun service(name: ServiceName, path: String, keyRule: KeyRule?) {
        val spec = ServiceSpec(name, path, null, keyRule, setOf("GET"), runLimitMs)
        configure { copy(services = services + (name to spec)) }
    }

    fun configure(change: ConfigState.() -> ConfigState) {
        state.value = state.value.copy(config = state.value.config.change())
    }

    fun append(record: ControlRecord): Long {
        val applied = state.value.table.apply(++offset, record)
        check(applied.voidReason == null) { "expected a record that takes effect, found a void one: ${applied.voidReason}" }
        state.value = state.value.copy(table = applied.table)
        return offset
    }

    fun router(name: String, zone: String = "brest", capacityRequests: Int = 100_000): FakeRouter {
        val id = RouterId(name)
        val address = SocketAddress("127.0.0.1", 7_000 + routers.size)
        append(ControlRecord.RouterRegistered(id, ZoneName(zone), "host-$name", "$address", "$address", "$address", emptyList()))
        return FakeRouter(id, ZoneName(zone), address, capacityRequests).also { routers[id] = it }
    }

    /** Adds a target whose primary is [primary]. */
    fun target(
        name: String,
        primary: FakeRouter,
        service: ServiceName = LOANS,
        slots: Int = 5,
        configured: FakeTarget.() -> Unit = {},
    ): FakeTarget {
        val address = SocketAddress("127.0.0.1", 9_000 + state.value.config.targets.size)
        val id = TargetId(name)
        val spec = TargetSpec(id, service, primary.zone, "host-$name", "$address", slots, connections = 50, checksFences = false)
        configure { copy(targets = targets + (id to spec)) }
        append(ControlRecord.PrimaryAssigned(id, primary.id, 0, primary.id))
        return targets.add(address, slots).apply(configured)
    }

    fun assignRange(target: String, range: KeyRange = KeyRange("", null)): Long =
        append(ControlRecord.RangeAssigned(CATALOGUE, range, TargetId(target)))

    inner class FakeRouter(
        val id: RouterId,
        val zone: ZoneName,
        val address: SocketAddress,
        capacityRequests: Int,
    ) {
        var hasLease = true

        /** When set, requests are denied although the control table permits them, as before a grant. */
        var denial: DenialReason? = null
        val registry = SimpleMeterRegistry()
        private val source = StateSource { state }
        val gateway = SlotTargetGateway(
            source,
            ::permit.asAuthority(),
            WorkSender(targets, NoOpTargetObserver, timer),
            timer,
            registry,
            NoOpTracing,
            this@RequestPathFixture,
        )
        val server = ForwardServer(gateway)
        private val selector = TargetSelector(timer, Random(seed))
        private val forwarder = Forwarder({ id }, gateway, PeerClient(::callPeer), selector, timer, this@RequestPathFixture)
        private val entry = EntryHandler(capacityRequests, source, forwarder, selector, timer, registry, NoOpTracing)

        suspend fun get(path: String, vararg headers: Pair<String, String>) = entry.handle(HttpRequest("GET", path, headersOf(*headers)))

        suspend fun post(path: String, vararg headers: Pair<String, String>) =
            entry.handle(HttpRequest("POST", path, headersOf(*headers), "body".encodeToByteArray()))

        private fun permit(target: TargetId, service: ServiceName, key: String?, idempotent: Boolean): WorkPermit {
            val table = state.value.table
            val range = key?.let { table.rangeOf(service, it) }
            val reason = when {
                denial != null -> denial
                table.primaries[target]?.router != id -> DenialReason.NOT_PRIMARY
                key != null && range?.owner != target -> DenialReason.NOT_OWNER
                range?.move != null -> DenialReason.MOVING
                !hasLease && (key != null || !idempotent) -> DenialReason.NO_LEASE
                else -> null
            }
            if (reason != null) return WorkPermit.Denied(reason)
            return WorkPermit.Granted(
                range?.epoch ?: 0,
                1,
                Long.MAX_VALUE,
                targets.clockOf(
                    state.value.config.targets
                        .getValue(target),
                ),
            )
        }

        private suspend fun callPeer(address: SocketAddress, message: PeerMessage, timeoutMs: Long): PeerResult {
            val peer = routers.values.first { it.address == address }
            val fault = onPeerCall(this, peer, message)
            if (fault == PeerFault.NOT_SENT) return PeerResult.NotSent("cut off")
            val answer = withTimeoutOrNull(timeoutMs) {
                delay(PEER_DELAY_MS)
                if (fault == PeerFault.LOST) delay(timeoutMs)
                val answer = peer.server.handle(id, message)
                delay(if (fault == PeerFault.ANSWER_LOST) timeoutMs else PEER_DELAY_MS)
                answer
            }
            return answer?.let(PeerResult::Answered) ?: PeerResult.NoAnswer("no answer within $timeoutMs ms")
        }
    }

    private fun ((TargetId, ServiceName, String?, Boolean) -> WorkPermit).asAuthority() = WorkAuthority { a, b, c, d -> this(a, b, c, d) }
}

/** A fault that is injected into a message between routers. */
enum class PeerFault { NONE, NOT_SENT, LOST, ANSWER_LOST }

internal object NoOpTargetObserver : TargetObserver {
    override fun answered(target: TargetId, clock: TargetClock) = Unit

    override fun failed(target: TargetId, reason: String) = Unit
}

internal object NoOpTracing : RouterTracing {
    override fun start(name: String, requestId: String, traceparent: String?) =
        object : RouterSpan {
            override val traceparent = "00-0-0-00"

            override fun tag(name: String, value: String) = Unit

            override fun end() = Unit
        }
}

internal val HttpResponse.outcome: String get() = headers["Yuccaflow-Outcome"] ?: "answered"

internal fun HttpHeaderList.value(name: String): String = get(name).orEmpty()

/** Runs a test [body] on a new fixture in virtual time. */
internal fun requestPath(runLimitMs: Long = 500, seed: Int = 1, body: suspend RequestPathFixture.() -> Unit) =
    runTest { RequestPathFixture(this, runLimitMs, seed).body() }
