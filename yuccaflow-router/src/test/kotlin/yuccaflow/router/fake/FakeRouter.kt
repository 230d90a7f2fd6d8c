package yuccaflow.router.fake

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import yuccaflow.control.RouterId
import yuccaflow.http.SocketAddress
import yuccaflow.router.membership.Membership
import yuccaflow.router.membership.RouterMembership
import yuccaflow.router.peer.PeerMessage
import yuccaflow.router.settings.RouterSettings
import yuccaflow.router.settings.TimingSettings
import kotlin.random.Random

/** Everything around the routers under test: the log, the network between routers, and the time. */
class FakeEnvironment(
    val scheduler: TestCoroutineScheduler,
) {
    val log = FakeLog()
    val network = FakeNetwork()
    val timer = VirtualTimer(scheduler)

    /** Hosts that cannot reach the log service. */
    val hostsDisconnectedFromLog = mutableSetOf<String>()

    /** Starts [count] routers that are spread over three zones. */
    fun start(count: Int): List<FakeRouter> = (0 until count).map { FakeRouter(this, it).also { router -> router.start() } }
}

/** The membership of one router on fakes. Its id consists of the host name, the process number and the number of its incarnation. */
class FakeRouter(
    val environment: FakeEnvironment,
    val index: Int,
    timing: TimingSettings = TimingSettings(),
    private val process: Int = 0,
) {
    val host = "host-%02d".format(index)
    val zone = "zone-${"abc"[index % ZONES]}"
    val address = SocketAddress("127.0.0.1", FIRST_PORT + index)
    val dispatcher = PausableDispatcher(StandardTestDispatcher(environment.scheduler))
    val scope = CoroutineScope(Job() + dispatcher)
    val settings = settingsOf(this, timing)
    private var incarnationCount = 0
    val peerClient = environment.network.peerClient(address) { membership.routerId }
    val registry = SimpleMeterRegistry()
    val membership: Membership = RouterMembership(
        settings,
        environment.log.view { host in environment.hostsDisconnectedFromLog },
        peerClient,
        environment.timer,
        registry,
        Random(index),
    ) { RouterId("$host-$process-${++incarnationCount}") }

    val id: RouterId get() = membership.routerId
    val hasLease: Boolean get() = membership.leaseValidUntilMs() > environment.timer.nowMs()

    /** Starts to follow the log and to answer peers. [also] answers the messages that the membership does not. */
    fun start(also: suspend (RouterId, PeerMessage) -> PeerMessage? = { _, _ -> null }) {
        environment.network.listen(address, scope) { from, message ->
            membership.handle(from, message) ?: also(from, message) ?: PeerMessage.Failure("not understood")
        }
        scope.launch { membership.run() }
    }

    /** Ends the process without a graceful shutdown. */
    fun kill() {
        environment.network.stopListening(address)
        scope.cancel()
    }

    private companion object {
        const val ZONES = 3
        const val FIRST_PORT = 7000

        fun settingsOf(router: FakeRouter, timing: TimingSettings) = RouterSettings(
            system = "test",
            host = router.host,
            zone = router.zone,
            callerListen = SocketAddress("127.0.0.1", 0),
            adminListen = SocketAddress("127.0.0.1", 0),
            peerListen = router.address,
            peerAdvertise = router.address,
            logService = SocketAddress("127.0.0.1", 0),
            hostList = null,
            seedPeers = listOf(SocketAddress("127.0.0.1", FIRST_PORT), SocketAddress("127.0.0.1", FIRST_PORT + 1)),
            addressTranslation = emptyMap(),
            capacityRequests = 1000,
            logLevel = "warn",
            timing = timing,
        )
    }
}
