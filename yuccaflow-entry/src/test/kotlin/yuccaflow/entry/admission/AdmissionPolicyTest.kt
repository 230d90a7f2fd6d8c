package yuccaflow.entry.admission

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isTrue
import yuccaflow.entry.config.RequestKind
import yuccaflow.entry.config.Route
import yuccaflow.entry.config.ServiceShare

/** Requests take 200 ms without queueing, and the objective is 1,000 ms. */
@DisplayName("Admission control")
class AdmissionPolicyTest {
    private val route = Route("read", "h", "/", RequestKind.IDEMPOTENT, 5_000, 1_000, 2, 0, persistentListOf(ServiceShare("s", 1.0)))
    private val control = AdmissionControl()

    private fun admit(queueMs: Int, remainingMs: Long = 5_000, priority: Int = 0, isOverloaded: Boolean = false) = AdmissionPolicy
        .admit(AnswerEstimate(200.0, queueMs.toDouble()), route.copy(priority = priority), remainingMs, Pressure(isOverloaded, false))
        .result

    private fun decide(queueMs: Int, nowMs: Long, priority: Int = 0) =
        control.decide("t", AnswerEstimate(200.0, queueMs.toDouble()), route.copy(priority = priority), 5_000, nowMs)

    /** Guards against a request that is held by a target until its deadline has passed. */
    @Test
    fun `refuses a request that cannot be answered in its remaining time`() {
        expectThat(admit(queueMs = 600, remainingMs = 700)).isEqualTo(AdmissionResult.TOO_LATE)
        expectThat(admit(queueMs = 600, remainingMs = 900)).isEqualTo(AdmissionResult.ADMITTED)
    }

    /** Guards against refusals in brief bursts, and against answers past the objective for everyone while a target is overloaded. */
    @Test
    fun `admits a request that misses its objective unless the target is overloaded`() {
        expectThat(admit(queueMs = 900)).isEqualTo(AdmissionResult.ADMITTED)
        expectThat(admit(queueMs = 900, isOverloaded = true)).isEqualTo(AdmissionResult.MISSES_OBJECTIVE)
        expectThat(admit(queueMs = 700, isOverloaded = true)).isEqualTo(AdmissionResult.ADMITTED)
    }

    /** Guards against low priorities that fill the queue, and against priorities without any share of it. */
    @Test
    fun `lets a higher priority use more of the queue than a lower one`() {
        expectThat(admit(queueMs = 1_400, priority = 0)).isEqualTo(AdmissionResult.ADMITTED)
        expectThat(admit(queueMs = 1_400, priority = 1)).isEqualTo(AdmissionResult.QUEUE_TOO_LONG)
        expectThat(admit(queueMs = 1_600, priority = 0)).isEqualTo(AdmissionResult.QUEUE_TOO_LONG)
        expectThat((0..1_000).minOf(AdmissionPolicy::queueShare)).isGreaterThanOrEqualTo(AdmissionPolicy.PRIORITY_FLOOR)
    }

    /** Guards against a low priority that starves because higher ones keep the queue beyond its limit. */
    @Test
    fun `admits about a tenth of low-priority requests while high priorities fill the queue`() {
        var low = 0
        repeat(400) { step ->
            val nowMs = step * 50L
            control.recordAdmitted("t", route, nowMs)
            val decision = AdmissionPolicy.admit(
                AnswerEstimate(200.0, 1_000.0),
                route.copy(priority = 4),
                5_000,
                Pressure(isOverloaded = false, isBelowFloor = control.isBelowFloor("t", 4)),
            )
            if (decision.result.isAdmitted) {
                low++
                control.recordAdmitted("t", route.copy(priority = 4), nowMs)
            }
        }
        expectThat(low in 30..60).isTrue()
    }

    /** Guards against a burst that counts as overload, and against an overload that is never noticed or never ends. */
    @Test
    fun `counts a target as overloaded after an interval of long queueing delays`() {
        expectThat(decide(queueMs = 900, nowMs = 0).result).isEqualTo(AdmissionResult.ADMITTED)
        expectThat(decide(queueMs = 900, nowMs = 900).result).isEqualTo(AdmissionResult.ADMITTED)
        expectThat(decide(queueMs = 900, nowMs = 1_000).result).isEqualTo(AdmissionResult.MISSES_OBJECTIVE)
        expectThat(decide(queueMs = 100, nowMs = 1_100).result).isEqualTo(AdmissionResult.ADMITTED)
        expectThat(decide(queueMs = 900, nowMs = 1_200).result).isEqualTo(AdmissionResult.ADMITTED)
    }

    /** Guards against two observations of unrelated bursts that count as one overload. */
    @Test
    fun `does not conclude from observations that are far apart`() {
        val detector = OverloadDetector(1_000)
        detector.observe(900.0, 0)
        expectThat(detector.observe(900.0, 2_100)).isFalse()
        expectThat(detector.observe(900.0, 3_100)).isTrue()
    }
}
