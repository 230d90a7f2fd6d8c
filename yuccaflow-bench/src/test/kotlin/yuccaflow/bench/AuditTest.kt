package yuccaflow.bench

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class AuditTest {
    private val callers = listOf(RequestIdsByOutcome("c", answered = "0-3", notRun = "4-5", unknown = "6"))

    @Test
    fun `an acknowledged id that no target executed is lost`() {
        val audit = Audit.of(listOf(ran("0-2")), emptyList(), callers)
        expectThat(audit.lost).isEqualTo(1)
        expectThat(audit.isClean).isFalse()
    }

    /** No single process detects a request that targets of two processes executed. */
    @Test
    fun `an id that two processes executed is a duplicate`() {
        expectThat(Audit.of(listOf(ran("0-3"), ran("2")), emptyList(), callers).doubled).isEqualTo(1)
    }

    @Test
    fun `an id that was refused as not run but executed is a false refusal`() {
        expectThat(Audit.of(listOf(ran("0-4")), emptyList(), callers).falseRefusals).isEqualTo(1)
    }

    /** Unknown outcomes must not count as faults. */
    @Test
    fun `an id with an unknown outcome may have been executed or not`() {
        expectThat(Audit.of(listOf(ran("0-3,6")), emptyList(), callers).isClean).isTrue()
        expectThat(Audit.of(listOf(ran("0-3")), emptyList(), callers).isClean).isTrue()
    }

    /** A key must not have two owners at the same time. */
    @Test
    fun `intervals of two targets overlap only when they share time`() {
        val first = mapOf("s/1" to listOf(OwnedInterval("a", 1, 0, 10)))
        val after = mapOf("s/1" to listOf(OwnedInterval("b", 2, 10, 20)))
        val during = mapOf("s/1" to listOf(OwnedInterval("b", 2, 9, 20)))
        expectThat(Audit.of(emptyList(), listOf(first, after), emptyList()).overlaps).isEqualTo(0)
        expectThat(Audit.of(emptyList(), listOf(first, during), emptyList()).overlaps).isEqualTo(1)
    }

    private fun ran(ids: String) = RunSummary(ranIds = mapOf("c" to ids))
}
