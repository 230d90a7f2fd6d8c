package yuccaflow.router.routing

import io.micrometer.core.instrument.MeterRegistry
import yuccaflow.base.TimerService
import yuccaflow.control.ServiceName
import yuccaflow.router.TokenBudget
import yuccaflow.router.telemetry.MetricNames
import java.util.concurrent.ConcurrentHashMap

/** Retry tokens added per request: retries stay below this share of the requests. */
internal const val RETRY_SHARE: Double = 0.1

/** Hedge tokens added per request: hedges stay below this share of the requests. */
internal const val HEDGE_SHARE: Double = 0.05

/** Upper limit of saved retry tokens. It is high because many requests fail at once when a zone is lost. */
private const val RETRY_BURST = 100.0

/** Retry tokens of a service that has had no requests yet. */
private const val INITIAL_RETRIES = 10.0

/** Upper limit of saved hedge tokens. It is low so that hedges do not double the load when the whole service is briefly slow. */
private const val HEDGE_BURST = 10.0

private const val HEDGE_PERCENTILE = 95.0

/** The retry and hedge budgets of all services, created on first use. */
internal class ServiceBudgets(
    private val timer: TimerService,
    private val registry: MeterRegistry,
) {
    private val services = ConcurrentHashMap<ServiceName, ServiceBudget>()

    fun of(service: ServiceName): ServiceBudget = services.computeIfAbsent(service) { ServiceBudget(it, timer, registry) }
}

/** The retry and hedge budgets of one service, and its latencies, from which the delay of hedges is derived. */
internal class ServiceBudget(
    service: ServiceName,
    timer: TimerService,
    registry: MeterRegistry,
) {
    private val retryTokens = TokenBudget(RETRY_SHARE, RETRY_BURST, INITIAL_RETRIES)
    private val hedgeTokens = TokenBudget(HEDGE_SHARE, HEDGE_BURST, initial = 0.0)
    private val latencies = LatencyWindow(timer)
    private val retryCounter = registry.counter(MetricNames.RETRIES, "service", service.value)
    private val hedgeCounter = registry.counter(MetricNames.HEDGES, "service", service.value)

    val retries = RetryBudget { retryTokens.tryWithdraw().also { if (it) retryCounter.increment() } }

    val hedges = object : HedgePolicy {
        // Latencies are recorded in whole milliseconds, so only a longer one lies above the percentile.
        override fun delayMs(): Long? = latencies.percentileMs(HEDGE_PERCENTILE)?.let { it + 1 }

        override fun tryWithdraw(): Boolean = hedgeTokens.tryWithdraw().also { if (it) hedgeCounter.increment() }
    }

    /** Credits both budgets for one request. */
    fun deposit() {
        retryTokens.deposit()
        hedgeTokens.deposit()
    }

    /** Records the latency of an answered request. */
    fun record(elapsedMs: Long) = latencies.record(elapsedMs)
}
