package yuccaflow.entry.routing

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import yuccaflow.entry.balance.ColdStartLimiter
import yuccaflow.entry.balance.ColdStartLimits
import yuccaflow.entry.balance.TargetChooser
import yuccaflow.entry.config.CallerLimits
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.config.RequestKind
import yuccaflow.entry.config.Route
import yuccaflow.entry.config.RoutingTable
import yuccaflow.entry.config.ServiceShare
import yuccaflow.entry.directory.OperatorRecord
import yuccaflow.entry.directory.RecordDecoder
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.directory.TargetEntry
import yuccaflow.entry.fake.FakeFreshness
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.KEYED_SERVICE
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.fake.VirtualTimer
import yuccaflow.entry.keys.Assignment
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.FIRST_KEY
import yuccaflow.entry.keys.FormerHolder
import yuccaflow.entry.keys.LAST_KEY
import yuccaflow.entry.keys.incarnationOf
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.telemetry.RouterMeters
import yuccaflow.http.HttpClient
import yuccaflow.http.HttpHeaderList
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpResult
import yuccaflow.http.SocketAddress
import yuccaflow.http.headersOf
import kotlin.random.Random

/** Sums over all simulations, which show that the events that a property is about have occurred. */
internal object TargetWishesTotals {
    private var served = 0
    private var refused = 0
    private var leavingAnswers = 0
    private var pauses = 0

    fun add(simulation: TargetWishesSimulation) {
        served += simulation.servedCount
        refused += simulation.refusedCount
        leavingAnswers += simulation.processes.count { it.leavingAnswerAtMs != null }
        pauses += simulation.processes.sumOf { it.pauses.size }
    }

    override fun toString() =
        "Target wishes: $served requests served, $refused not served, $leavingAnswers processes said that they leave, $pauses pauses"
}

/** A request that arrived at a process. [sentByClientAtMs] is when the caller sent it to the router. */
internal class Arrival(
    val sentByClientAtMs: Long,
    val atMs: Long,
)

/** A 503 with `Retry-After`: the process answered at [answeredAtMs] and wants no requests for [durationMs]. */
internal class AskedPause(
    val answeredAtMs: Long,
    val durationMs: Long,
)

/**
 * One process of a target, and what it has told the router. Only answers to requests that were meant for it count, because the router
 * does not pass on others.
 */
internal class SimulatedProcess(
    val entry: TargetEntry,
) {
    var isUp = true
    var isLeaving = false
    var pausedUntilMs = 0L

    /** When the router first passed on an answer that says that this process leaves. */
    var leavingAnswerAtMs: Long? = null
    val pauses = ArrayList<AskedPause>()
    val arrivals = ArrayList<Arrival>()

    val takesKeys get() = isUp && !isLeaving
}

/** The real router between random callers and random processes of one service with keys and one without, in virtual time. */
internal class TargetWishesSimulation(
    private val scope: TestScope,
    private val random: Random,
) {
    val processes = ArrayList<SimulatedProcess>()
    var servedCount = 0
        private set
    var refusedCount = 0
        private set

    private val names = HeaderNames()
    private val timer = VirtualTimer(scope.testScheduler)
    private val log = RecordingEventLog()
    private val sentAtMsById = HashMap<String, Long>()
    private val processByAddress = HashMap<SocketAddress, SimulatedProcess>()
    private val unreadRecords = ArrayList<Pair<KeyedRecord, Long>>()
    private var storeFailedAtMs: Long? = null
    private var storeUnavailableUntilMs = 0L
    private var offset = 0L
    private var processCount = 0

    private object Decoder : RecordDecoder by FakeRecords {
        override fun decodeOperatorRecord(key: String, value: ByteArray?): OperatorRecord =
            if (key == "table") OperatorRecord.Table(TABLE) else FakeRecords.decodeOperatorRecord(key, value)
    }

    private val client = object : HttpClient {
        override suspend fun send(
            address: SocketAddress,
            request: HttpRequest,
            timeoutMs: Long,
            expectedRequestId: String?,
            prepare: (HttpRequest) -> HttpRequest?,
        ): HttpResult {
            val startedAtMs = timer.nowMs()
            delay(if (oneIn(20)) random.nextLong(0, 800) else random.nextLong(0, 3))
            val process = processByAddress[address]?.takeIf { it.isUp } ?: return HttpResult.NotSent("refused")
            val prepared = prepare(request) ?: return HttpResult.NotSent("withdrawn", isWithdrawn = true)
            return exchange(process, prepared, startedAtMs + timeoutMs)
        }

        override suspend fun close() = Unit
    }

    private val freshness = FakeFreshness(timer)
    private val operators = OperatorState(Decoder, timer, log)
    private val directory = TargetDirectory(Decoder, operators, timer, log) { storeFailedAtMs }
    private val clusterState = ClusterState(timer, log)
    private val budget = RetryBudget(RetryBudgetSettings(share = 1.0, extraSends = 100.0, windowMs = 1_000)) { 1 }
    private val chooser = TargetChooser(directory, "a", timer, ColdStartLimiter("n", ColdStartLimits(1.5, 5.0), operators) { setOf("n") })
    private val router = RequestRouter(
        RoutingDependencies(
            RouteFinder(operators, freshness, freshness, timer, log),
            directory,
            chooser,
            KeyOwnerChooser(clusterState, directory, operators, chooser, timer) { },
            TargetClient(client, names),
            { budget },
            { _, _ -> },
            RouterMeters("n", "a"),
            { 0 },
            { null },
        ),
        names,
        timer,
        log,
    )

    /** Starts the callers, the processes, the store and the planner. */
    fun start() {
        operators.onSnapshot(listOf(KeyedRecord("table", ByteArray(0), 0)), 1)
        repeat(TARGETS_PER_SERVICE) {
            startProcess(UNKEYED_SERVICE)
            startProcess(KEYED_SERVICE)
        }
        deliverRecords()
        RANGE_STARTS.forEach { assign(it, ready(KEYED_SERVICE).random(random)) }
        repeatAfter(5L..30L) { sendRequest() }
        repeatAfter(10L..400L) { if (timer.nowMs() >= storeUnavailableUntilMs) deliverRecords() }
        repeatAfter(50L..400L) {
            val process = processes.filter { it.isUp }.randomOrNull(random)
            if (process == null) startProcess(UNKEYED_SERVICE) else changeProcess(process)
        }
        repeatAfter(500L..3_000L) { changeStoreOrZone() }
        repeatAfter(100L..2_000L) { moveRanges() }
        repeatAfter(200L..200L) { directory.removeExpired() }
    }

    /** Returns the requests that a caller sent too late after the router had passed on that their process leaves. */
    fun lateRequests(): List<String> = processes.flatMap { process ->
        val saidAtMs = process.leavingAnswerAtMs ?: return@flatMap emptyList()
        process.arrivals
            .filter { it.sentByClientAtMs > saidAtMs + DRAIN_MS }
            .map { "${process.entry} said at $saidAtMs ms that it leaves; a request sent at ${it.sentByClientAtMs} ms reached it" }
    }

    /** Returns the pauses in which more requests arrived than allowed. */
    fun exceededPauses(): List<String> = processes.flatMap { process ->
        process.pauses.mapNotNull { pause ->
            val fromMs = pause.answeredAtMs + PAUSE_REACTION_MS
            val toMs = pause.answeredAtMs + pause.durationMs
            val arrivedAtMs = process.arrivals.map { it.atMs }.filter { it > fromMs && it < toMs }
            if (arrivedAtMs.size <= MAX_REQUESTS_IN_PAUSE) null else "${process.entry} in $fromMs..$toMs ms: requests at $arrivedAtMs"
        }
    }

    private fun oneIn(times: Int) = random.nextInt(times) == 0

    private fun repeatAfter(pauseMs: LongRange, action: () -> Unit) = scope.backgroundScope.launch {
        while (true) {
            delay(random.nextLong(pauseMs.first, pauseMs.last + 1))
            action()
        }
    }

    private fun ready(service: String) = processes.filter { it.takesKeys && it.entry.service == service }

    private fun sendRequest() {
        val id = "r${sentAtMsById.size}"
        sentAtMsById[id] = timer.nowMs()
        val kind = if (random.nextBoolean()) "read" else "book"
        val path = if (random.nextBoolean()) "/keyed-$kind/" else "/$kind/"
        val headers = headersOf("Host" to "h", names.requestId to id, names.deadlineMs to "900", names.key to "${randomKey()}")
        scope.backgroundScope.launch {
            val response = router.handle(HttpRequest("GET", path, headers))
            if (response.status < SERVER_ERROR) servedCount++ else refusedCount++
        }
    }

    private fun randomKey() = random.nextInt(FIRST_KEY, LAST_KEY + 1)

    private suspend fun exchange(process: SimulatedProcess, request: HttpRequest, timeoutAtMs: Long): HttpResult {
        delay(random.nextLong(0, 10))
        val isMeantForProcess = request.headers[names.expectedInstance] == process.entry.id
        if (isMeantForProcess) process.arrivals += Arrival(sentAtMsById.getValue(request.headers[names.requestId]!!), timer.nowMs())
        val answer = if (isMeantForProcess) answer(process) else misdirected(process)
        delay(if (answer.status == OK) random.nextLong(5, if (oneIn(10)) 600 else 40) else 1)
        val answeredAtMs = timer.nowMs()
        delay(random.nextLong(0, 30))
        if (!process.isUp) return HttpResult.Unknown("reset")
        if (timer.nowMs() >= timeoutAtMs) return HttpResult.Unknown("no whole response in time")
        if (isMeantForProcess) recordWishes(process, answer, answeredAtMs)
        return HttpResult.Answered(answer)
    }

    private fun answer(process: SimulatedProcess): HttpResponse {
        val nowMs = timer.nowMs()
        if (process.pausedUntilMs > nowMs && !oneIn(10)) return shed(process, seconds(process.pausedUntilMs - nowMs))
        return when (random.nextInt(30)) {
            0 -> shed(process, null)
            1 -> shed(process, UNUSABLE_PAUSES.random(random))
            2 -> HttpResponse(500, ownHeaders(process))
            3 -> misdirected(process)
            else -> HttpResponse(OK, ownHeaders(process, names.signature to "sig"), "body".toByteArray())
        }
    }

    private fun seconds(durationMs: Long) = "${durationMs / MS_PER_S}.${(durationMs % MS_PER_S).toString().padStart(3, '0')}"

    private fun shed(process: SimulatedProcess, retryAfter: String?): HttpResponse {
        val added = listOfNotNull(retryAfter?.let { "Retry-After" to it }, (names.notRun to "1").takeUnless { oneIn(10) })
        return HttpResponse(503, ownHeaders(process, *added.toTypedArray()))
    }

    private fun misdirected(process: SimulatedProcess) = HttpResponse(421, ownHeaders(process, names.notRun to "1"))

    private fun ownHeaders(process: SimulatedProcess, vararg added: Pair<String, String>): HttpHeaderList {
        val headers = headersOf(names.instance to process.entry.id, *added)
        return if (process.isLeaving) headers.with(names.leaving, "1") else headers
    }

    private fun recordWishes(process: SimulatedProcess, answer: HttpResponse, answeredAtMs: Long) {
        if (answer.headers[names.leaving] != null && process.leavingAnswerAtMs == null) process.leavingAnswerAtMs = timer.nowMs()
        val seconds = answer.headers["Retry-After"]?.takeIf { it !in UNUSABLE_PAUSES } ?: return
        process.pauses += AskedPause(answeredAtMs, (seconds.toDouble() * MS_PER_S).toLong())
    }

    private fun startProcess(
        service: String,
        id: String = "t${processCount + 1}",
        address: SocketAddress = SocketAddress("10.0.0.${processCount + 1}", 80),
    ): SimulatedProcess {
        processCount++
        val entry = TargetEntry(id, service, address, ZONES.random(random), 4, false, 0, timer.nowMs())
        val process = SimulatedProcess(entry)
        processes += process
        processByAddress[address] = process
        writeEntry(process)
        return process
    }

    private fun writeEntry(process: SimulatedProcess, isDraining: Boolean = false) {
        val change = FakeRecords.targetChange(process.entry.copy(isDraining = isDraining))
        unreadRecords += KeyedRecord(change.key, change.value, offset++) to timer.nowMs()
    }

    private fun removeEntry(process: SimulatedProcess) {
        unreadRecords += KeyedRecord(process.entry.id, null, offset++) to timer.nowMs()
    }

    private fun after(delayMs: Long, action: () -> Unit) = scope.backgroundScope.launch {
        delay(delayMs)
        action()
    }

    private fun deliverRecords() {
        if (unreadRecords.isEmpty()) return
        val writtenAfterMs = (unreadRecords.minOf { it.second } - random.nextLong(0, 50)).takeUnless { oneIn(5) }
        directory.onRecords(unreadRecords.map { it.first }, offset, writtenAfterMs)
        unreadRecords.clear()
    }

    private fun changeProcess(process: SimulatedProcess) {
        when (random.nextInt(10)) {
            in 0..3 -> process.pausedUntilMs = maxOf(process.pausedUntilMs, timer.nowMs() + random.nextLong(100, 4_000))
            4 -> process.isLeaving = true
            5 -> writeEntry(process, isDraining = process.isLeaving && random.nextBoolean())
            6 -> {
                removeEntry(process)
                after(random.nextLong(0, MAX_UNLISTED_MS)) { if (process.isUp) writeEntry(process) }
            }
            7 -> replace(process)
            8 -> if (process.isLeaving) stop(process)
            else -> if (ready(process.entry.service).size < TARGETS_PER_SERVICE) startProcess(process.entry.service)
        }
    }

    /** Stops [process] and starts another one at its address, either under the same id or under another one. */
    private fun replace(process: SimulatedProcess) {
        process.isUp = false
        val entry = process.entry
        if (random.nextBoolean()) {
            startProcess(entry.service, entry.id, entry.address)
        } else {
            startProcess(entry.service, address = entry.address)
            after(random.nextLong(0, 1_500)) { removeEntry(process) }
        }
    }

    private fun stop(process: SimulatedProcess) {
        process.isUp = false
        removeEntry(process)
    }

    private fun changeStoreOrZone() {
        when (random.nextInt(3)) {
            0 -> {
                storeFailedAtMs = timer.nowMs()
                storeUnavailableUntilMs = timer.nowMs() + random.nextLong(100, 5_000)
            }
            1 -> changeZone("empty/$EMPTIED_ZONE", ByteArray(1))
            else -> changeZone("empty/$EMPTIED_ZONE", null)
        }
    }

    private fun changeZone(key: String, value: ByteArray?) =
        operators.onRecords(listOf(KeyedRecord(key, value, offset++)), offset, timer.nowMs())

    private fun moveRanges() = RANGE_STARTS.forEach { start ->
        val assignment = clusterState.find(KEYED_SERVICE, start) ?: return@forEach
        val holder = processes.first { assignment.holder.isIncarnationOf(it.entry) }
        if (assignment.isMoving && holder.isUp) return@forEach assign(start, holder)
        if (holder.takesKeys && !oneIn(10)) return@forEach
        val next = ready(KEYED_SERVICE).randomOrNull(random) ?: return@forEach
        assign(start, next, FormerHolder(assignment.holder, assignment.generation))
    }

    private fun assign(start: Int, holder: SimulatedProcess, former: FormerHolder? = null) {
        val to = if (start == RANGE_STARTS.last()) LAST_KEY else RANGE_STARTS.first { it > start } - 1
        val assignment =
            Assignment(KEYED_SERVICE, start, to, incarnationOf(holder.entry), offset++, listOfNotNull(former), isMoving = former != null)
        val change = ClusterState.rangeChange(assignment)
        clusterState.onRecords(listOf(KeyedRecord(change.key, change.value, offset)), offset)
    }

    private companion object {
        const val UNKEYED_SERVICE = "s"
        const val TARGETS_PER_SERVICE = 3
        const val OK = 200
        const val SERVER_ERROR = 500
        const val MS_PER_S = 1_000L

        /** A request that a caller sent later than this after the answer must not reach a leaving process. */
        const val DRAIN_MS = 2_000L

        /** Time that a router has to react to a requested pause. */
        const val PAUSE_REACTION_MS = 500L
        const val MAX_REQUESTS_IN_PAUSE = 2

        /** The directory remembers a removed target for 10 s. */
        const val MAX_UNLISTED_MS = 8_000L
        const val EMPTIED_ZONE = "b"
        val ZONES = listOf("a", EMPTIED_ZONE)
        val RANGE_STARTS = List(3) { FIRST_KEY + it * ((LAST_KEY + 1 - FIRST_KEY) / 3) }
        val UNUSABLE_PAUSES = listOf("", "-1", "soon", "1e3", "Sun, 06 Dec 2026 01:00:00 GMT")

        val TABLE = RoutingTable(
            1,
            persistentListOf(
                route("read", RequestKind.IDEMPOTENT, UNKEYED_SERVICE),
                route("book", RequestKind.NON_IDEMPOTENT, UNKEYED_SERVICE),
                route("keyed-read", RequestKind.IDEMPOTENT, KEYED_SERVICE),
                route("keyed-book", RequestKind.NON_IDEMPOTENT, KEYED_SERVICE),
            ),
            persistentMapOf(
                UNKEYED_SERVICE to FakeRecords.serviceConfig(UNKEYED_SERVICE),
                KEYED_SERVICE to FakeRecords.serviceConfig(KEYED_SERVICE, isKeyed = true),
            ),
            CallerLimits(8_192, 65_536, 1_000, 1_000),
        )

        fun route(name: String, kind: RequestKind, service: String) =
            Route(name, "h", "/$name/", kind, 1_000, 200, 2, 1, persistentListOf(ServiceShare(service, 1.0)))
    }
}
