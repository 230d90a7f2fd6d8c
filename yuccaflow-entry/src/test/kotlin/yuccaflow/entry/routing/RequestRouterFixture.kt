package yuccaflow.entry.routing

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import yuccaflow.entry.balance.ColdStartLimiter
import yuccaflow.entry.balance.ColdStartLimits
import yuccaflow.entry.balance.TargetChooser
import yuccaflow.entry.config.CallerLimits
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.config.RejectedEntry
import yuccaflow.entry.config.RequestKind
import yuccaflow.entry.config.Route
import yuccaflow.entry.config.RoutingTable
import yuccaflow.entry.config.ServiceShare
import yuccaflow.entry.directory.OperatorRecord
import yuccaflow.entry.directory.RecordDecoder
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.fake.FakeFreshness
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.KEYED_SERVICE
import yuccaflow.entry.fake.ManualTimer
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.telemetry.RouterMeters
import yuccaflow.http.HttpClient
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpResult
import yuccaflow.http.SocketAddress
import yuccaflow.http.headersOf

/** A request router with up to three targets of one service, whose answers and connections the test controls. */
internal abstract class RequestRouterFixture {
    protected val names = HeaderNames()
    protected val timer = ManualTimer(1_000)
    protected val log = RecordingEventLog()
    protected val sent = ArrayList<Pair<SocketAddress, HttpRequest>>()
    protected var results: (Int) -> HttpResult = { served() }
    protected var waitForConnection: (SocketAddress) -> Unit = { }

    /** Whether the routing table has a route for large transfers, which enables load control. */
    protected var hasLoadControl = false

    private val decoder = object : RecordDecoder by FakeRecords {
        override fun decodeOperatorRecord(key: String, value: ByteArray?): OperatorRecord = OperatorRecord.Table(
            RoutingTable(
                1,
                persistentListOf(
                    route("read", RequestKind.IDEMPOTENT),
                    route("book", RequestKind.NON_IDEMPOTENT),
                    route("files", RequestKind.IDEMPOTENT).copy(isLargeTransfer = hasLoadControl),
                    route("keyed", RequestKind.IDEMPOTENT).copy(shares = persistentListOf(ServiceShare(KEYED_SERVICE, 1.0))),
                ),
                persistentMapOf(
                    "s" to FakeRecords.serviceConfig("s"),
                    KEYED_SERVICE to FakeRecords.serviceConfig(KEYED_SERVICE, isKeyed = true),
                ),
                CallerLimits(8_192, 65_536, 1_000, 1_000),
                persistentListOf(RejectedEntry.OfRoute("odd", "h", "/read/odd/", "invalid")),
            ),
        )

        private fun route(name: String, kind: RequestKind) =
            Route(name, "h", "/$name/", kind, 1_000, 200, 2, 1, persistentListOf(ServiceShare("s", 1.0)))
    }

    private val client = object : HttpClient {
        override suspend fun send(
            address: SocketAddress,
            request: HttpRequest,
            timeoutMs: Long,
            expectedRequestId: String?,
            prepare: (HttpRequest) -> HttpRequest?,
        ): HttpResult {
            waitForConnection(address)
            val prepared = prepare(request) ?: return HttpResult.NotSent("withdrawn", isWithdrawn = true)
            sent += address to prepared
            return results(sent.size)
        }

        override suspend fun close() = Unit
    }

    protected val freshness = FakeFreshness(timer)
    protected val targetsFreshness = FakeFreshness(timer)
    protected val operators = OperatorState(decoder, timer, log)
    protected val directory = TargetDirectory(decoder, operators, timer, log) { null }
    private val chooser = TargetChooser(directory, "a", timer, ColdStartLimiter("n", ColdStartLimits(1.5, 5.0), operators) { setOf("n") })
    protected val meters = RouterMeters("n", "a")
    protected val clusterState = ClusterState(timer, log)
    protected val router = RequestRouter(
        RoutingDependencies(
            RouteFinder(operators, freshness, targetsFreshness, timer, log),
            directory,
            chooser,
            KeyOwnerChooser(clusterState, directory, operators, chooser, timer) { },
            TargetClient(client, names),
            { budget },
            { _, _ -> },
            meters,
            { readDelayMs },
            { drainEndsAtMs },
        ),
        names,
        timer,
        log,
    )
    protected var drainEndsAtMs: Long? = null
    protected var readDelayMs = 0L
    protected var budget = RetryBudget(RetryBudgetSettings(share = 1.0, extraSends = 100.0, windowMs = 1_000)) { 1 }

    protected fun served(status: Int = 200) =
        HttpResult.Answered(HttpResponse(status, headersOf(names.signature to "sig"), "body".toByteArray()))

    protected fun leaving(status: Int = 200) =
        HttpResult.Answered(HttpResponse(status, headersOf(names.signature to "sig", names.leaving to "1"), "body".toByteArray()))

    protected fun shedWithPause(seconds: String) =
        HttpResult.Answered(HttpResponse(503, headersOf(names.notRun to "1", "Retry-After" to seconds)))

    protected fun shed() = HttpResult.Answered(HttpResponse(503, headersOf(names.notRun to "1")))

    /** A target's refusal with the load report `running,waiting,slots`. */
    protected fun shedWithLoad(load: String) =
        HttpResult.Answered(HttpResponse(503, headersOf(names.notRun to "1", names.load to load)))

    protected suspend fun handleRequest(path: String, targets: Int = 3, deadlineMs: Long = 900): HttpResponse {
        operators.onSnapshot(listOf(KeyedRecord("table", ByteArray(0), 0)), 1)
        val entries = List(targets) { FakeRecords.targetChange(FakeRecords.entry("t$it", it + 1, service = "s")) }
        directory.onSnapshot(entries.mapIndexed { index, change -> KeyedRecord(change.key, change.value, index.toLong()) }, 9)
        budget.deposit(timer.now)
        timer.now += 1_000
        budget.deposit(timer.now)
        return router.handle(request(path, deadlineMs))
    }

    protected fun request(path: String, deadlineMs: Long = 900) =
        HttpRequest("GET", path, headersOf("Host" to "h", names.requestId to "r1", names.deadlineMs to "$deadlineMs"))
}
