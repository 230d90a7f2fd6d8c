package yuccaflow.router.routing

import com.google.common.hash.Hashing
import yuccaflow.base.TimerService
import yuccaflow.control.RouterId
import yuccaflow.control.TargetId
import yuccaflow.control.TargetLoad
import yuccaflow.control.TargetSpec
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.pow
import kotlin.random.Random

/** How long a target or a router is avoided after a failed attempt. */
private const val AVOID_MS: Long = 300

/** Half-life of a reported service time, so that a target that was slow gets requests again once it may have recovered. */
private const val SPEED_HALF_LIFE_MS = 2_000.0

/** Half-life of a reported number of requests at a target. It is short because requests take milliseconds. */
private const val LOAD_HALF_LIFE_MS = 100.0

/** Service times within this factor of the median are treated as equal to it. */
private const val SAME_SPEED_FACTOR = 1.5

private const val MIN_SERVICE_TIME_MS = 0.5

/** A target with its primary. */
internal class Candidate(
    val target: TargetSpec,
    val primary: RouterId,
)

/**
 * Selects targets by expected response time. It uses the loads that arrive with the answers of primaries and this router's own requests
 * in flight.
 */
internal class TargetSelector(
    private val timer: TimerService,
    private val random: Random,
) {
    private class Entry {
        val localInFlight = AtomicInteger()

        @Volatile var load: TargetLoad? = null

        @Volatile var loadAtMs: Long = 0

        @Volatile var avoidUntilMs: Long = Long.MIN_VALUE
    }

    private class Cost(
        val timeMs: Double,
        val usedFraction: Double,
    )

    private val avoidedRouters = ConcurrentHashMap<RouterId, Long>()
    private val entries = ConcurrentHashMap<TargetId, Entry>()

    /** Counts a request of this router to [target] as in flight until [requestEnded] is called. */
    fun requestStarted(target: TargetId) {
        entryOf(target).localInFlight.incrementAndGet()
    }

    fun requestEnded(target: TargetId) {
        entryOf(target).localInFlight.decrementAndGet()
    }

    fun recordLoad(load: TargetLoad) {
        val entry = entryOf(load.target)
        entry.load = load
        entry.loadAtMs = timer.nowMs()
    }

    /** Avoids [target] for [AVOID_MS] after it or its primary failed. */
    fun avoid(target: TargetId) {
        entryOf(target).avoidUntilMs = timer.nowMs() + AVOID_MS
    }

    /**
     * Avoids all targets whose primary is [router] for [AVOID_MS], because it cannot be reached or does not answer, for example when its
     * zone is isolated.
     */
    fun avoid(router: RouterId) {
        val nowMs = timer.nowMs()
        avoidedRouters.values.removeIf { it <= nowMs }
        avoidedRouters[router] = nowMs + AVOID_MS
    }

    /**
     * Picks the better of two random candidates (power of two choices). Avoided targets are considered only when there are no others.
     * Returns null when [candidates] is empty.
     */
    fun choose(candidates: List<Candidate>): TargetSpec? {
        val nowMs = timer.nowMs()
        val preferred = candidates
            .filter { entryOf(it.target.id).avoidUntilMs <= nowMs && (avoidedRouters[it.primary] ?: nowMs) <= nowMs }
            .ifEmpty { candidates }
            .map { it.target }
        if (preferred.size < 2) return preferred.firstOrNull()
        val first = random.nextInt(preferred.size)
        val second = (first + 1 + random.nextInt(preferred.size - 1)) % preferred.size
        val typicalMs = typicalServiceTimeMs(preferred)
        return listOf(preferred[first], preferred[second])
            .minWith(compareBy({ costOf(it, typicalMs).timeMs }, { costOf(it, typicalMs).usedFraction }))
    }

    /**
     * Returns the expected time of a new request at [target], and the fraction of its slots in use, which decides between equal times.
     * While a slot is free the number of slots does not count: otherwise a target that has just started would get no requests to warm up
     * with.
     */
    private fun costOf(target: TargetSpec, typicalMs: Double): Cost {
        val entry = entryOf(target.id)
        val load = entry.load
        val ageMs = (timer.nowMs() - entry.loadAtMs).toDouble()
        val reported = if (load == null) 0.0 else (load.inFlight + load.queued) * decay(ageMs, LOAD_HALF_LIFE_MS)
        val requestsAhead = maxOf(reported, entry.localInFlight.get().toDouble())
        val slots = load?.capacity?.coerceAtLeast(1.0) ?: target.slots.toDouble()
        val serviceMs = if (load == null) typicalMs else serviceTimeMs(load, ageMs, typicalMs)
        return Cost(serviceMs * maxOf(1.0, (1 + requestsAhead) / slots), requestsAhead / slots)
    }

    /**
     * Returns the target's own service time when it clearly differs from [typicalMs], or else [typicalMs]: small differences are noise,
     * and the target that seems fastest would attract all requests.
     */
    private fun serviceTimeMs(load: TargetLoad, ageMs: Double, typicalMs: Double): Double {
        val trust = decay(ageMs, SPEED_HALF_LIFE_MS)
        val serviceMs = load.serviceTimeMs * trust + typicalMs * (1 - trust)
        return if (serviceMs in typicalMs / SAME_SPEED_FACTOR..typicalMs * SAME_SPEED_FACTOR) typicalMs else serviceMs
    }

    private fun typicalServiceTimeMs(targets: List<TargetSpec>): Double {
        val known = targets.mapNotNull { entryOf(it.id).load?.serviceTimeMs?.takeIf { time -> time > 0 } }.sorted()
        return known.getOrNull(known.size / 2) ?: MIN_SERVICE_TIME_MS
    }

    private fun decay(ageMs: Double, halfLifeMs: Double): Double = 0.5.pow(ageMs / halfLifeMs)

    private fun entryOf(target: TargetId): Entry = entries.computeIfAbsent(target) { Entry() }
}

/**
 * Returns the target with the highest rendezvous hash for [key]. All routers pick the same one, so a repeated request reaches the primary
 * that remembers the first one.
 */
internal fun rendezvousTarget(targets: List<TargetSpec>, key: String): TargetSpec? =
    targets.maxWithOrNull(
        compareBy<TargetSpec> { Hashing.murmur3_128().hashUnencodedChars("${it.id.value}\u0000$key").asLong() }.thenBy { it.id.value },
    )
