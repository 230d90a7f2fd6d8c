package yuccaflow.control

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

class BatchTest {
    private val harness = ControlTableHarness()

    @Nested
    inner class `a batch of records` {
        @Test
        fun `applies each record to the result of the ones before it, at one offset`() {
            harness.accept(register("r1"))
            val offset = harness.accept(
                ControlRecord.Batch(
                    listOf(
                        assign(KeyRange("", null), "katalog-01"),
                        primary("katalog-01", "r1", NO_EPOCH, by = "r1"),
                    ),
                ),
            )
            expectThat(harness.ownerOf("a")).isEqualTo("katalog-01")
            expectThat(harness.table.primaries[TargetId("katalog-01")]).isNotNull().get { epoch }.isEqualTo(offset)
        }

        @Test
        fun `keeps the effects of the records before and after a void one`() {
            harness.accept(register("r1"))
            harness.accept(
                ControlRecord.Batch(
                    listOf(
                        assign(KeyRange("", "m"), "katalog-01"),
                        assign(KeyRange("a", "c"), "katalog-02"),
                        assign(KeyRange("m", null), "katalog-02"),
                    ),
                ),
            )
            expectThat(listOf("b", "x").map { harness.ownerOf(it) }).isEqualTo(listOf("katalog-01", "katalog-02"))
        }

        @Test
        fun `is void if all of its records are void, so that a stale batch of a planner changes nothing`() {
            harness.reject(ControlRecord.Batch(listOf(primary("katalog-01", "r9", NO_EPOCH, by = "r9"))), "not registered")
        }

        @Test
        fun `ignores a nested batch, since batches could otherwise nest without bound`() {
            val inner = ControlRecord.Batch(listOf(assign(KeyRange("", null), "katalog-01")))
            harness.reject(ControlRecord.Batch(listOf(inner)), "holds no batch")
        }
    }
}
