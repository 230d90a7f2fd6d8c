package yuccaflow.entry.telemetry

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Outcome of a request as reported in the metrics. */
internal enum class RequestOutcome { SERVED, FAILED_BY_TARGET, REFUSED, UNKNOWN }

/** The metrics of a router. Their names are part of the interface to operators; see `docs/OPERATIONS.md`. */
internal class RouterMeters(
    node: String,
    zone: String,
) {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT).apply { config().commonTags("node", node, "zone", zone) }
    private val requestTimers = HashMap<Pair<String, RequestOutcome>, Timer>()
    private val retryCounters = HashMap<String, Counter>()
    private val counterValues = ArrayList<() -> Number>()
    private val noticeCounters = HashMap<Pair<String, String>, Counter>()
    private val admissionCounters = HashMap<Pair<String, String>, Counter>()

    /** Records a request for [service] that ended with [outcome] after [elapsedMs]. The latency buckets are multiples of [objectiveMs]. */
    fun request(service: String, outcome: RequestOutcome, elapsedMs: Long, objectiveMs: Long) {
        requestTimers
            .getOrPut(
                service to outcome,
            ) { newRequestTimer(service, outcome, objectiveMs) }
            .record(elapsedMs, TimeUnit.MILLISECONDS)
    }

    /** Counts a retry of a request for [service]. */
    fun retry(service: String) =
        retryCounters.getOrPut(service) { Counter.builder("yuccaflow.repeats").tag("service", service).register(registry) }.increment()

    /** Counts a [notice] of a target of [service] about itself. */
    fun targetNotice(service: String, notice: String) =
        noticeCounters
            .getOrPut(service to notice) {
                Counter
                    .builder("yuccaflow.target.notices")
                    .tag("service", service)
                    .tag("notice", notice)
                    .register(registry)
            }.increment()

    /** Counts a [decision] of admission control on a request for [service]. */
    fun admission(service: String, decision: String) =
        admissionCounters
            .getOrPut(service to decision) {
                Counter
                    .builder("yuccaflow.admission")
                    .tag("service", service)
                    .tag("decision", decision)
                    .register(registry)
            }.increment()

    /** Registers a gauge whose [value] is read at each scrape. */
    fun gauge(name: String, value: () -> Number) {
        Gauge.builder(name) { value() }.register(registry)
    }

    /** Registers a gauge that has the value [tagValue] in its tag [tag]. */
    fun gauge(name: String, tag: String, tagValue: String, value: () -> Number) {
        Gauge.builder(name) { value() }.tag(tag, tagValue).register(registry)
    }

    /** Registers a counter whose [value], which must not decrease, is read at each scrape. */
    fun counter(name: String, value: () -> Number) {
        // The library keeps only a weak reference to the object that it reads the value from.
        counterValues += value
        FunctionCounter.builder(name, value) { it().toDouble() }.register(registry)
    }

    /** Returns the metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    private fun newRequestTimer(service: String, outcome: RequestOutcome, objectiveMs: Long): Timer {
        val bounds = LATENCY_BUCKETS.map { Duration.ofMillis((objectiveMs * it).toLong().coerceAtLeast(1)) }
        val builder = Timer.builder("yuccaflow.requests").tag("service", service).tag("outcome", outcome.name.lowercase())
        @Suppress("SpreadOperator") // The library accepts the bounds only as varargs, and each timer is built once.
        return builder.serviceLevelObjectives(*bounds.toTypedArray()).register(registry)
    }

    private companion object {
        /** Upper bounds of the latency buckets, as multiples of the service's latency objective. */
        val LATENCY_BUCKETS = listOf(0.25, 0.5, 1.0, 2.0, 4.0)
    }
}
