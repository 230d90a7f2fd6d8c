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

/** Settings of the load that can be changed at run time. */
@Serializable
internal data class LoadGeneratorSwitches(
    /** Requests per second over all templates; 0 pauses the load. */
    val rate: Double = 100.0,
)

internal class LoadGeneratorSettings(
    val entries: List<SocketAddress>,
    /** Addresses whose `/ready` decides whether the entry at the same index gets requests; empty for no probes. */
    val probes: List<SocketAddress>,
    val mix: List<RequestTemplate>,
    val rate: Double,
    val seconds: Int,
    val seed: Long,
    val prefix: String,
    val deadlineMs: Long,
)

/** Time for which an entry to which a request could not be sent gets no requests, as behind a load balancer. */
private const val ENTRY_BACKOFF_MS = 500L

/** Added to the deadline, so that the router's own response arrives before the caller times out. */
private const val RESPONSE_GRACE_MS = 1_000L

/** Time over which the rate rises to its full value; a cold JVM would otherwise queue the requests of the first second. */
private const val RAMP_NANOS = 2e9
private const val PROBE_INTERVAL_MS = 250L
private const val PROBE_TIMEOUT_MS = 250L
private const val PROBE_FAILURES = 2
private const val IDLE_POLL_NANOS = 10_000_000L
private const val INITIAL_RATE_SHARE = 0.05
private const val NANOS_PER_SECOND = 1e9
private const val NANOS_PER_US = 1_000L
private const val MS_PER_SECOND = 1_000L
private const val CONNECTIONS_PER_ENTRY = 4_000

/** An open-loop load generator: the send times are random and independent of the outcomes of earlier requests. */
internal class LoadGenerator(
    private val settings: LoadGeneratorSettings,
) : HttpHandler {
    private val switches = Switches(LoadGeneratorSwitches(settings.rate), LoadGeneratorSwitches.serializer())
    private val results = LoadStatistics(settings.prefix)
    private val client: HttpClient = httpClient(HttpClientSettings(connectionsPerAddress = CONNECTIONS_PER_ENTRY))
    private val backoffUntilMs = ConcurrentHashMap<SocketAddress, Long>()
    private val unready: MutableSet<SocketAddress> = ConcurrentHashMap.newKeySet()
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed)
    private val generator = RequestGenerator(settings.mix, random)

    override suspend fun handle(request: HttpRequest): HttpResponse = rejectingMalformedRequests {
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

    /** Probes [entry] as a load balancer does. After two consecutive failures the entry gets no requests until a probe succeeds. */
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

    /** Starts the load and prints a JSON line with the results of each second. */
    fun start(scope: CoroutineScope) {
        settings.entries.zip(settings.probes).forEach { (entry, probe) -> scope.launch { probe(entry, probe) } }
        Thread({ generateLoad(scope) }, "callers").apply { isDaemon = true }.start()
        scope.launch {
            var second = 0L
            while (settings.seconds == 0 || second < settings.seconds) {
                delay(MS_PER_SECOND)
                println(StandinJson.encodeToString(results.nextSecond(++second)))
            }
            switches.update { it.copy(rate = 0.0) }
        }
    }

    private fun generateLoad(scope: CoroutineScope) {
        val gaps = ZigguratSampler.Exponential.of(random)
        var number = 0
        val startedNanos = System.nanoTime()
        var nextSendNanos = startedNanos
        while (true) {
            val ramp = ((System.nanoTime() - startedNanos) / RAMP_NANOS).coerceIn(INITIAL_RATE_SHARE, 1.0)
            val rate = switches.current.rate * ramp
            if (rate <= 0) {
                LockSupport.parkNanos(IDLE_POLL_NANOS)
                nextSendNanos = System.nanoTime()
                continue
            }
            nextSendNanos += (gaps.sample() / rate * NANOS_PER_SECOND).toLong()
            while (System.nanoTime() < nextSendNanos) LockSupport.parkNanos(nextSendNanos - System.nanoTime())
            val request = generator.next()
            val entry = chooseEntry()
            val intendedNanos = nextSendNanos
            val currentNumber = number++
            scope.launch(Dispatchers.Default) { send(request, currentNumber, intendedNanos, entry) }
        }
    }

    private fun chooseEntry(): SocketAddress {
        val nowMs = System.nanoTime() / NANOS_PER_MS
        val available = settings.entries
            .filter { it !in unready && (backoffUntilMs[it] ?: Long.MIN_VALUE) <= nowMs }
            .ifEmpty { settings.entries }
        return available[random.nextInt(available.size)]
    }

    private suspend fun send(request: GeneratedRequest, number: Int, intendedNanos: Long, first: SocketAddress) {
        val id = "${settings.prefix}-$number"
        val headers = headersOf("X-Request-Id" to id, "X-Deadline-Ms" to settings.deadlineMs.toString())
        val isPost = request.method == "POST"
        val message = HttpRequest(
            request.method,
            request.target,
            if (isPost) HttpHeaderList(headers.lines).with("Idempotency-Key", id) else headers,
            if (isPost) """{"order":"$id"}""".encodeToByteArray() else ByteArray(0),
        )
        val entries = listOf(first) + settings.entries.filter { it != first }
        var result: HttpResult = HttpResult.NotSent("no entry")
        for (entry in entries) {
            result = client.send(entry, message, settings.deadlineMs + RESPONSE_GRACE_MS, id)
            if (result !is HttpResult.NotSent) break
            backoffUntilMs[entry] = System.nanoTime() / NANOS_PER_MS + ENTRY_BACKOFF_MS
        }
        val outcome = outcomeOf(result)
        results.record(request, number, outcome, intendedNanos / NANOS_PER_US, System.nanoTime() / NANOS_PER_US)
    }

    private fun outcomeOf(result: HttpResult): Outcome = when (result) {
        is HttpResult.NotSent -> recordReason(Outcome.NOT_RUN, "not sent: ${result.reason}")

        is HttpResult.Unknown -> recordReason(Outcome.UNKNOWN, "no answer: ${result.reason}")

        is HttpResult.Answered -> when (result.response.headers["Yuccaflow-Outcome"]) {
            "not-run" -> recordReason(Outcome.NOT_RUN, describe(result.response))
            "unknown" -> recordReason(Outcome.UNKNOWN, describe(result.response))
            else -> if (result.response.status == OK) Outcome.ANSWERED else recordReason(Outcome.FAILED, describe(result.response))
        }
    }

    private fun recordReason(outcome: Outcome, reason: String): Outcome {
        results.countReason(reason)
        return outcome
    }

    // Counts the reason alone, with its numbers masked: the request id in the body differs for each response.
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
