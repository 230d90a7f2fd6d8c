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

/** The maximum run limit of a service. */
private val LONGEST_REQUEST = Duration.ofSeconds(60)

/** Creates the meter registry of a router. All meters are tagged with [host] and [zone]; JVM and process meters are included. */
fun meterRegistry(host: String, zone: String): PrometheusMeterRegistry {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    registry.config().commonTags(listOf(Tag.of("host", host), Tag.of("zone", zone))).meterFilter(RequestHistogram)
    listOf(JvmMemoryMetrics(), JvmThreadMetrics(), ProcessorMetrics(), UptimeMetrics()).forEach { it.bindTo(registry) }
    return registry
}

/** Configures histogram buckets for the timer of callers' requests, so that percentiles can be computed over all routers. */
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
