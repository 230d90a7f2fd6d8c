package yuccaflow.bench

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class AuditTest {
    private val callers = listOf(CallerIds("c", answered = "0-3", notRun = "4-5", unknown = "6"))

    /** Guards against an acknowledged booking that no target ran. */
    @Test
    fun `an acknowledged id that no target ran is lost`() {
        val audit = Audit.of(listOf(ran("0-2")), emptyList(), callers)
        expectThat(audit.lost).isEqualTo(1)
        expectThat(audit.isClean).isFalse()
    }

    /** Guards against a booking that two targets in different processes ran. */
    @Test
    fun `an id that two processes ran is doubled`() {
        expectThat(Audit.of(listOf(ran("0-3"), ran("2")), emptyList(), callers).doubled).isEqualTo(1)
    }

    /** Guards against a refusal that says "not run" although a target ran it. */
    @Test
    fun `a refused id that ran is a false refusal`() {
        expectThat(Audit.of(listOf(ran("0-4")), emptyList(), callers).falseRefusals).isEqualTo(1)
    }

    /** Guards against unknown outcomes being counted as faults. */
    @Test
    fun `unknown ids may have run or not`() {
        expectThat(Audit.of(listOf(ran("0-3,6")), emptyList(), callers).isClean).isTrue()
        expectThat(Audit.of(listOf(ran("0-3")), emptyList(), callers).isClean).isTrue()
    }

    /** Guards against two owners of a key at the same time. */
    @Test
    fun `intervals of two targets that meet in time overlap`() {
        val first = mapOf("s/1" to listOf(OwnedInterval("a", 1, 0, 10)))
        val after = mapOf("s/1" to listOf(OwnedInterval("b", 2, 10, 20)))
        val during = mapOf("s/1" to listOf(OwnedInterval("b", 2, 9, 20)))
        expectThat(Audit.of(emptyList(), listOf(first, after), emptyList()).overlaps).isEqualTo(0)
        expectThat(Audit.of(emptyList(), listOf(first, during), emptyList()).overlaps).isEqualTo(1)
    }

    private fun ran(ids: String) = RunSummary(ranIds = mapOf("c" to ids))
}
