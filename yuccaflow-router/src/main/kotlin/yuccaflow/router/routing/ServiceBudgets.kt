package yuccaflow.router.routing

import io.micrometer.core.instrument.MeterRegistry
import yuccaflow.base.TimerService
import yuccaflow.control.ServiceName
import yuccaflow.router.TokenBudget
import yuccaflow.router.telemetry.MetricNames
import java.util.concurrent.ConcurrentHashMap

/** Retries as a share of the requests. */
internal const val RETRY_SHARE: Double = 0.1

/** Hedges as a share of the requests. */
internal const val HEDGE_SHARE: Double = 0.05

/** Retries that may be saved up: a lost zone makes many requests fail at once. */
private const val RETRY_BURST = 100.0

/** Retries allowed before any request has earned one. */
private const val FIRST_RETRIES = 10.0

/** Hedges that may be saved up; few, because a slow moment of the whole service must not double its load. */
private const val HEDGE_BURST = 10.0

private const val HEDGE_PERCENTILE = 95.0

/** Retry and hedge budgets of each service. */
internal class ServiceBudgets(
    private val timer: TimerService,
    private val registry: MeterRegistry,
) {
    private val services = ConcurrentHashMap<ServiceName, ServiceBudget>()

    fun of(service: ServiceName): ServiceBudget = services.computeIfAbsent(service) { ServiceBudget(it, timer, registry) }
}

/** Budgets and latencies of one service. */
internal class ServiceBudget(
    service: ServiceName,
    timer: TimerService,
    registry: MeterRegistry,
) {
    private val retryTokens = TokenBudget(RETRY_SHARE, RETRY_BURST, FIRST_RETRIES)
    private val hedgeTokens = TokenBudget(HEDGE_SHARE, HEDGE_BURST, initial = 0.0)
    private val latencies = LatencyWindow(timer)
    private val retryCounter = registry.counter(MetricNames.RETRIES, "service", service.value)
    private val hedgeCounter = registry.counter(MetricNames.HEDGES, "service", service.value)

    val retries = RetryPermits { retryTokens.tryWithdraw().also { if (it) retryCounter.increment() } }

    val hedges = object : HedgeRule {
        // Latencies are counted in whole milliseconds, so that only a longer one lies above the percentile.
        override fun delayMs(): Long? = latencies.percentileMs(HEDGE_PERCENTILE)?.let { it + 1 }

        override fun tryWithdraw(): Boolean = hedgeTokens.tryWithdraw().also { if (it) hedgeCounter.increment() }
    }

    /** Counts one request. */
    fun deposit() {
        retryTokens.deposit()
        hedgeTokens.deposit()
    }

    /** Notes the latency of an answered request. */
    fun record(elapsedMs: Long) = latencies.record(elapsedMs)
}
