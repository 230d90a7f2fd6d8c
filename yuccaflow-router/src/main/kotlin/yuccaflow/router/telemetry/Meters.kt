package yuccaflow.router.telemetry

import io.micrometer.core.instrument.Meter
import io.micrometer.core.instrument.Tag
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.core.instrument.binder.system.UptimeMetrics
import io.micrometer.core.instrument.config.MeterFilter
import io.micrometer.core.instrument.distribution.DistributionStatisticConfig
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration

private val SHORTEST_REQUEST = Duration.ofMillis(1)

/** The largest run limit. */
private val LONGEST_REQUEST = Duration.ofSeconds(60)

/** Creates the registry of a router, whose meters all carry its [host] and [zone]; it includes the meters of the process. */
fun meterRegistry(host: String, zone: String): PrometheusMeterRegistry {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    registry.config().commonTags(listOf(Tag.of("host", host), Tag.of("zone", zone))).meterFilter(RequestHistogram)
    listOf(JvmMemoryMetrics(), JvmThreadMetrics(), ProcessorMetrics(), UptimeMetrics()).forEach { it.bindTo(registry) }
    return registry
}

/** Gives the timer of callers' requests buckets, so that percentiles can be computed over all routers. */
private object RequestHistogram : MeterFilter {
    override fun configure(id: Meter.Id, config: DistributionStatisticConfig): DistributionStatisticConfig {
        if (id.name != MetricNames.REQUESTS) return config
        return DistributionStatisticConfig
            .builder()
            .percentilesHistogram(true)
            .minimumExpectedValue(SHORTEST_REQUEST.toNanos().toDouble())
            .maximumExpectedValue(LONGEST_REQUEST.toNanos().toDouble())
            .build()
            .merge(config)
    }
}
