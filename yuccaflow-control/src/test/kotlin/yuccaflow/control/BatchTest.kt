package yuccaflow.control

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

class BatchTest {
    private val script = TableScript()

    @Nested
    inner class `A batch of records` {
        @Test
        fun `applies each record to what the ones before it left, at one offset`() {
            script.accept(register("r1"))
            val offset = script.accept(
                ControlRecord.Batch(
                    listOf(
                        assign(KeyRange("", null), "katalog-01"),
                        primary("katalog-01", "r1", NO_EPOCH, by = "r1"),
                    ),
                ),
            )
            expectThat(script.ownerOf("a")).isEqualTo("katalog-01")
            expectThat(script.table.primaries[TargetId("katalog-01")]).isNotNull().get { epoch }.isEqualTo(offset)
        }

        @Test
        fun `keeps the effect of the records before and after a void one`() {
            script.accept(register("r1"))
            script.accept(
                ControlRecord.Batch(
                    listOf(
                        assign(KeyRange("", "m"), "katalog-01"),
                        assign(KeyRange("a", "c"), "katalog-02"),
                        assign(KeyRange("m", null), "katalog-02"),
                    ),
                ),
            )
            expectThat(listOf("b", "x").map { script.ownerOf(it) }).isEqualTo(listOf("katalog-01", "katalog-02"))
        }

        @Test
        fun `is void when none of its records holds, so that a planner's stale batch changes nothing`() {
            script.reject(ControlRecord.Batch(listOf(primary("katalog-01", "r9", NO_EPOCH, by = "r9"))), "not registered")
        }

        @Test
        fun `cannot hold another batch, which would nest without bound`() {
            val inner = ControlRecord.Batch(listOf(assign(KeyRange("", null), "katalog-01")))
            script.reject(ControlRecord.Batch(listOf(inner)), "holds no batch")
        }
    }
}
