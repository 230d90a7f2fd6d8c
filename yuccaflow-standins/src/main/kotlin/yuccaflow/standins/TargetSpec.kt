package yuccaflow.standins

import kotlinx.serialization.Serializable
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.sampling.distribution.LogNormalSampler
import org.apache.commons.rng.sampling.distribution.ZigguratSampler
import kotlin.math.ln

/** Distribution of service times. */
@Serializable
internal enum class ServiceTime { FIXED, EXPONENTIAL, LOGNORMAL }

/** One target in the file that the `targets` command reads. */
@Serializable
internal data class TargetSpec(
    val name: String,
    val service: String,
    val slots: Int = 5,
    /** Whether the target checks grants and epochs. */
    val checksFences: Boolean = true,
    /** Index of the path segment that is the key, or -1 when the service is not sharded by key. */
    val keySegment: Int = -1,
    val meanMs: Double = 4.0,
    val serviceTime: ServiceTime = ServiceTime.LOGNORMAL,
    /** Number of answered requests after which a cold target gains a slot. */
    val warmUpRequests: Int = 20,
    /** Whether the target is cold when the process starts. */
    val startsCold: Boolean = false,
)

/** Sigma of the logarithm of lognormal service times; the 99th percentile is then 2.8 times the mean. */
private const val LOGNORMAL_SIGMA = 0.5

/** Returns a generator of service times in milliseconds. */
internal fun TargetSpec.serviceTimes(random: UniformRandomProvider): () -> Double = when (serviceTime) {
    ServiceTime.FIXED -> ({ meanMs })

    ServiceTime.EXPONENTIAL -> ZigguratSampler.Exponential.of(random, meanMs).let { sampler -> ({ sampler.sample() }) }

    ServiceTime.LOGNORMAL -> {
        val mu = ln(meanMs) - LOGNORMAL_SIGMA * LOGNORMAL_SIGMA / 2
        val normal = ZigguratSampler.NormalizedGaussian.of(random)
        LogNormalSampler.of(normal, mu, LOGNORMAL_SIGMA).let { sampler -> ({ sampler.sample() }) }
    }
}

/** Fault injection switches of one target. */
@Serializable
internal data class TargetSwitches(
    /** Suspends all requests; they continue when the switch is cleared. */
    val frozen: Boolean = false,
    /** Multiplier of service times. */
    val slow: Double = 1.0,
    /** Age of the reported load. */
    val loadLateMs: Long = 0,
    /** Delay of a response after the request has run. */
    val answerDelayMs: Long = 0,
    /** Number of responses, starting with the next, that carry the request id and body of the preceding request instead of their own. */
    val crossedAnswers: Int = 0,
    /** Closes the listener, so that connections are refused. Clearing the switch starts a new, cold instance. */
    val down: Boolean = false,
    /** One-shot: reduces the target to one slot, from which it warms up as it answers requests. */
    val cold: Boolean = false,
    /** One-shot: connections that are open at this time never carry a response again. */
    val silent: Boolean = false,
    /** One-shot: starts a new, cold instance without grants; requests in flight are lost. */
    val restart: Boolean = false,
)
