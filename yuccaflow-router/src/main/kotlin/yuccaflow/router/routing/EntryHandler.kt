package yuccaflow.router.routing

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import yuccaflow.base.TimerService
import yuccaflow.control.RouterId
import yuccaflow.control.ServiceName
import yuccaflow.control.ServiceSpec
import yuccaflow.http.HttpHandler
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.router.StateSource
import yuccaflow.router.admission.TargetGateway
import yuccaflow.router.peer.ForwardOutcome
import yuccaflow.router.peer.PeerClient
import yuccaflow.router.settings.RouterSettings
import yuccaflow.router.telemetry.MetricNames
import yuccaflow.router.telemetry.RouterTracing
import java.util.UUID
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

private const val DEADLINE_HEADER = "X-Deadline-Ms"

/** Maximum length of a request id. Longer ones are replaced, because the id is part of every message and log line about the request. */
private const val REQUEST_ID_LIMIT_CHARS = 128
private val requestIdPattern = Regex("[A-Za-z0-9._~:+/=-]{1,$REQUEST_ID_LIMIT_CHARS}")

/** Value of the `service` tag for requests that match no service. */
private const val NO_SERVICE = "none"

/** Creates the handler of callers' requests, which finds the service and key of each request and forwards it to a target or refuses it. */
fun entryHandler(
    settings: RouterSettings,
    state: StateSource,
    identity: () -> RouterId,
    gateway: TargetGateway,
    peers: PeerClient,
    timer: TimerService,
    registry: MeterRegistry,
    tracing: RouterTracing,
): HttpHandler {
    val selector = TargetSelector(timer, Random.Default)
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val forwarder = Forwarder(identity, gateway, peers, selector, timer, scope)
    return EntryHandler(settings.capacityRequests, state, forwarder, selector, timer, registry, tracing)
}

internal class EntryHandler(
    private val capacityRequests: Int,
    private val state: StateSource,
    forwarder: Forwarder,
    selector: TargetSelector,
    private val timer: TimerService,
    private val registry: MeterRegistry,
    private val tracing: RouterTracing,
) : HttpHandler {
    private val budgets = ServiceBudgets(timer, registry)
    private val heldRequests = HeldRequests(state, timer, capacityRequests)
    private val keyed = KeyedDispatcher(state, forwarder, heldRequests, timer)
    private val loadBalancing =
        LoadBalancingDispatcher(state, forwarder, selector, heldRequests, timer) { budgets.of(it.service.name).hedges }
    private val activeRequests = AtomicInteger()

    /** A response with the tag values under which it is counted. */
    private class MeteredResponse(
        val response: HttpResponse,
        val outcome: String,
        val reason: String? = null,
    )

    override suspend fun handle(request: HttpRequest): HttpResponse {
        val startMs = timer.nowMs()
        val requestId = request.headers[REQUEST_ID_HEADER]?.takeIf { requestIdPattern.matches(it) } ?: UUID.randomUUID().toString()
        val service = state
            .state()
            .value.config
            .serviceOf(request)
        try {
            val reply = when {
                activeRequests.incrementAndGet() > capacityRequests -> refuse(
                    Rejection.NOT_RUN,
                    "router is at its capacity",
                    requestId,
                    "capacity",
                )
                service == null -> refuse(Rejection.NO_SERVICE, "no service for path ${request.path}", requestId, "no-service")
                else -> serve(request, service, requestId, startMs)
            }
            recordMetrics(service?.name, reply, timer.nowMs() - startMs)
            return reply.response
        } finally {
            activeRequests.decrementAndGet()
        }
    }

    private suspend fun serve(request: HttpRequest, service: ServiceSpec, requestId: String, startMs: Long): MeteredResponse {
        val key = when (val result = service.keyRule?.keyOf(request)) {
            null -> null
            is KeyResult.Found -> result.key
            is KeyResult.Missing -> return refuse(Rejection.MALFORMED, result.reason, requestId, "no-key")
        }
        val limitMs = deadlineLimitMs(request, service)
            ?: return refuse(Rejection.MALFORMED, "expected a positive whole number in $DEADLINE_HEADER", requestId, "deadline")
        val span = tracing.start("entry", requestId, request.headers["traceparent"])
        try {
            span.tag("service", service.name.value)
            val inbound = InboundRequest(requestId, service, key, startMs + limitMs, span.traceparent, request)
            return responseTo(dispatch(inbound), requestId).also { span.tag("outcome", it.outcome) }
        } finally {
            span.end()
        }
    }

    private suspend fun dispatch(inbound: InboundRequest): ForwardOutcome {
        val budget = budgets.of(inbound.service.name)
        budget.deposit()
        val startMs = timer.nowMs()
        val outcome = (if (inbound.key == null) loadBalancing else keyed).dispatch(inbound, budget.retries)
        if (outcome is ForwardOutcome.Answered) budget.record(timer.nowMs() - startMs)
        return outcome
    }

    private fun deadlineLimitMs(request: HttpRequest, service: ServiceSpec): Long? {
        val text = request.headers[DEADLINE_HEADER] ?: return service.runLimitMs
        return text
            .trim()
            .toLongOrNull()
            ?.takeIf { it > 0 }
            ?.coerceAtMost(service.runLimitMs)
    }

    private fun responseTo(outcome: ForwardOutcome, requestId: String): MeteredResponse =
        when (outcome) {
            is ForwardOutcome.Answered -> if (outcome.looksRefused()) {
                refuse(Rejection.UNKNOWN, "the target answered ${outcome.status}; the request may have run", requestId, "failed")
            } else {
                MeteredResponse(outcome.toResponse(requestId), "answered")
            }
            is ForwardOutcome.NotRun -> refuse(Rejection.NOT_RUN, outcome.reason, requestId, outcome.cause.name.lowercase())
            is ForwardOutcome.Unknown -> refuse(Rejection.UNKNOWN, outcome.reason, requestId, "unknown")
        }

    private fun refuse(rejection: Rejection, reason: String, requestId: String, reasonTag: String): MeteredResponse {
        val outcome = when (rejection) {
            Rejection.MALFORMED, Rejection.NO_SERVICE -> "rejected"
            Rejection.NOT_RUN -> "not-run"
            Rejection.UNKNOWN -> "unknown"
        }
        return MeteredResponse(refusal(rejection, reason, requestId), outcome, reasonTag)
    }

    private fun recordMetrics(service: ServiceName?, reply: MeteredResponse, elapsedMs: Long) {
        val name = service?.value ?: NO_SERVICE
        registry.timer(MetricNames.REQUESTS, "service", name, "outcome", reply.outcome).record(elapsedMs, TimeUnit.MILLISECONDS)
        reply.reason?.let { registry.counter(MetricNames.REFUSALS, "service", name, "reason", it).increment() }
    }
}
