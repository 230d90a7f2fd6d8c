package yuccaflow.standins

import kotlinx.serialization.Serializable
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.sampling.distribution.LogNormalSampler
import org.apache.commons.rng.sampling.distribution.ZigguratSampler
import kotlin.math.ln

/** Shape of the time that a request takes. */
@Serializable
internal enum class ServiceTime { FIXED, EXPONENTIAL, LOGNORMAL }

/** One target of a `targets` process. */
@Serializable
internal data class TargetSpec(
    val name: String,
    val service: String,
    val slots: Int = 5,
    /** Tells whether the target checks grants and epochs. */
    val checksFences: Boolean = true,
    /** Index of the path segment that is the key, or -1 when the service is not divided by key. */
    val keySegment: Int = -1,
    val meanMs: Double = 4.0,
    val serviceTime: ServiceTime = ServiceTime.LOGNORMAL,
    /** Answered requests after which a cold target bears one slot more. */
    val warmUpRequests: Int = 20,
    /** Tells whether the target is cold when the process starts. */
    val startsCold: Boolean = false,
)

/** Sigma of the logarithm of lognormal service times; the 99th percentile is then 2.8 times the mean. */
private const val LOGNORMAL_SIGMA = 0.5

/** Returns a source of service times in milliseconds. */
internal fun TargetSpec.serviceTimes(random: UniformRandomProvider): () -> Double = when (serviceTime) {
    ServiceTime.FIXED -> ({ meanMs })

    ServiceTime.EXPONENTIAL -> ZigguratSampler.Exponential.of(random, meanMs).let { sampler -> ({ sampler.sample() }) }

    ServiceTime.LOGNORMAL -> {
        val mu = ln(meanMs) - LOGNORMAL_SIGMA * LOGNORMAL_SIGMA / 2
        val normal = ZigguratSampler.NormalizedGaussian.of(random)
        LogNormalSampler.of(normal, mu, LOGNORMAL_SIGMA).let { sampler -> ({ sampler.sample() }) }
    }
}

/** Faults of one target. */
@Serializable
internal data class TargetSwitches(
    /** Nothing is answered and nothing runs; held requests go on when the switch is cleared. */
    val frozen: Boolean = false,
    /** Factor on every service time. */
    val slow: Double = 1.0,
    /** Age of the load report. */
    val loadLateMs: Long = 0,
    /** Time by which an answer is late after the request ran. */
    val answerDelayMs: Long = 0,
    /** The next answers that carry the request id and body of an earlier request. */
    val crossedAnswers: Int = 0,
    /** No listener: connections are refused. Clearing the switch starts a new, cold instance. */
    val down: Boolean = false,
    /** Set once: the target bears one slot and warms up with answered requests. */
    val cold: Boolean = false,
    /** Set once: connections that are open now never answer again. */
    val silent: Boolean = false,
    /** Set once: a new instance without grants, whose running requests are lost. */
    val restart: Boolean = false,
)
