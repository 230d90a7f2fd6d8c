package yuccaflow.standins

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import org.apache.commons.rng.sampling.distribution.ZigguratSampler
import org.apache.commons.rng.simple.RandomSource
import yuccaflow.http.HttpClient
import yuccaflow.http.HttpClientSettings
import yuccaflow.http.HttpHandler
import yuccaflow.http.HttpHeaderList
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpResult
import yuccaflow.http.SocketAddress
import yuccaflow.http.headersOf
import yuccaflow.http.httpClient
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.locks.LockSupport

/** The load that is offered now. */
@Serializable
internal data class CallerSwitches(
    /** Requests per second over all kinds; 0 pauses. */
    val rate: Double = 100.0,
)

/** Settings of the callers. */
internal class CallerSettings(
    val entries: List<SocketAddress>,
    /** Address whose `/ready` tells whether the entry gets requests, in the order of the entries; may be empty. */
    val probes: List<SocketAddress>,
    val mix: List<MixEntry>,
    val rate: Double,
    val seconds: Int,
    val seed: Long,
    val prefix: String,
    val deadlineMs: Long,
)

/** Time for which an entry that refused a connection gets no requests, as behind a load balancer. */
private const val ENTRY_REST_MS = 500L

/** Added to the deadline, so that the router's own answer arrives before the caller gives up. */
private const val PATIENCE_MS = 1_000L

/** The rate rises to its full value over this time, since a cold JVM would otherwise queue its first second of requests. */
private const val RAMP_NANOS = 2e9
private const val PROBE_INTERVAL_MS = 250L
private const val PROBE_TIMEOUT_MS = 250L
private const val PROBE_FAILURES = 2
private const val IDLE_POLL_NANOS = 10_000_000L
private const val FIRST_SHARE = 0.05
private const val NANOS_PER_SECOND = 1e9
private const val NANOS_PER_US = 1_000L
private const val MS_PER_SECOND = 1_000L
private const val CONNECTIONS = 4_000

/** Open-loop load: requests leave at random times whatever became of the earlier ones. */
internal class CallersStandin(
    private val settings: CallerSettings,
) : HttpHandler {
    private val switches = Switches(CallerSwitches(settings.rate), CallerSwitches.serializer())
    private val results = CallerResults(settings.prefix)
    private val client: HttpClient = httpClient(HttpClientSettings(connectionsPerAddress = CONNECTIONS))
    private val restingUntilMs = ConcurrentHashMap<SocketAddress, Long>()
    private val unready: MutableSet<SocketAddress> = ConcurrentHashMap.newKeySet()
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed)
    private val mix = CallerMix(settings.mix, random)

    override suspend fun handle(request: HttpRequest): HttpResponse = answeringMistakes {
        when (request.path) {
            "/switches" -> switches.handle(request)
            "/results" -> jsonResponse(OK, results.totals())
            "/reasons" -> jsonResponse(OK, results.reasons())
            "/acknowledged" -> jsonResponse(OK, results.ids())
            "/outages" -> jsonResponse(OK, results.outages())
            "/reset" -> jsonResponse(OK, "{}").also { results.reset() }
            else -> notFound()
        }
    }

    /** Probes the entries as a load balancer does; one that fails twice in a row gets no requests until it is ready again. */
    private suspend fun probe(entry: SocketAddress, probe: SocketAddress) {
        var failures = 0
        while (true) {
            val result = client.send(probe, HttpRequest("GET", "/ready"), PROBE_TIMEOUT_MS)
            failures = if ((result as? HttpResult.Answered)?.response?.status == OK) 0 else failures + 1
            if (failures >= PROBE_FAILURES) {
                unready += entry
            } else if (failures == 0) {
                unready -= entry
            }
            delay(PROBE_INTERVAL_MS)
        }
    }

    /** Starts the load and the line of results for each second. */
    fun start(scope: CoroutineScope) {
        settings.entries.zip(settings.probes).forEach { (entry, probe) -> scope.launch { probe(entry, probe) } }
        Thread({ offer(scope) }, "callers").apply { isDaemon = true }.start()
        scope.launch {
            var second = 0L
            while (settings.seconds == 0 || second < settings.seconds) {
                delay(MS_PER_SECOND)
                println(StandinJson.encodeToString(results.nextSecond(++second)))
            }
            switches.update { it.copy(rate = 0.0) }
        }
    }

    private fun offer(scope: CoroutineScope) {
        val gaps = ZigguratSampler.Exponential.of(random)
        var number = 0
        val started = System.nanoTime()
        var intended = started
        while (true) {
            val ramp = ((System.nanoTime() - started) / RAMP_NANOS).coerceIn(FIRST_SHARE, 1.0)
            val rate = switches.now.rate * ramp
            if (rate <= 0) {
                LockSupport.parkNanos(IDLE_POLL_NANOS)
                intended = System.nanoTime()
                continue
            }
            intended += (gaps.sample() / rate * NANOS_PER_SECOND).toLong()
            while (System.nanoTime() < intended) LockSupport.parkNanos(intended - System.nanoTime())
            val request = mix.draw()
            val entry = pickEntry()
            val at = intended
            val current = number++
            scope.launch(Dispatchers.Default) { send(request, current, at, entry) }
        }
    }

    private fun pickEntry(): SocketAddress {
        val nowMs = System.nanoTime() / NANOS_PER_MS
        val awake = settings.entries
            .filter { it !in unready && (restingUntilMs[it] ?: Long.MIN_VALUE) <= nowMs }
            .ifEmpty { settings.entries }
        return awake[random.nextInt(awake.size)]
    }

    private suspend fun send(request: DrawnRequest, number: Int, intendedNanos: Long, first: SocketAddress) {
        val id = "${settings.prefix}-$number"
        val headers = headersOf("X-Request-Id" to id, "X-Deadline-Ms" to settings.deadlineMs.toString())
        val posted = request.method == "POST"
        val message = HttpRequest(
            request.method,
            request.target,
            if (posted) HttpHeaderList(headers.lines).with("Idempotency-Key", id) else headers,
            if (posted) """{"order":"$id"}""".encodeToByteArray() else ByteArray(0),
        )
        val entries = listOf(first) + settings.entries.filter { it != first }
        var result: HttpResult = HttpResult.NotSent("no entry")
        for (entry in entries) {
            result = client.send(entry, message, settings.deadlineMs + PATIENCE_MS, id)
            if (result !is HttpResult.NotSent) break
            restingUntilMs[entry] = System.nanoTime() / NANOS_PER_MS + ENTRY_REST_MS
        }
        val outcome = outcomeOf(result)
        results.record(request, number, outcome, intendedNanos / NANOS_PER_US, System.nanoTime() / NANOS_PER_US)
    }

    private fun outcomeOf(result: HttpResult): Outcome = when (result) {
        is HttpResult.NotSent -> refused(Outcome.NOT_RUN, "not sent: ${result.reason}")

        is HttpResult.Unknown -> refused(Outcome.UNKNOWN, "no answer: ${result.reason}")

        is HttpResult.Answered -> when (result.response.headers["Yuccaflow-Outcome"]) {
            "not-run" -> refused(Outcome.NOT_RUN, describe(result.response))
            "unknown" -> refused(Outcome.UNKNOWN, describe(result.response))
            else -> if (result.response.status == OK) Outcome.ANSWERED else refused(Outcome.FAILED, describe(result.response))
        }
    }

    private fun refused(outcome: Outcome, reason: String): Outcome {
        results.reason(reason)
        return outcome
    }

    // The request id differs for each response, so only the reason of the body is counted.
    private fun describe(response: HttpResponse): String {
        val reason = REASON
            .find(response.body.decodeToString())
            ?.groupValues
            ?.get(1)
            .orEmpty()
        return "${response.status} ${reason.replace(DIGITS_IN_REASON, "#")}"
    }
}

private val REASON = Regex("\"reason\"\\s*:\\s*\"([^\"]*)\"")
private val DIGITS_IN_REASON = Regex("\\d+")
