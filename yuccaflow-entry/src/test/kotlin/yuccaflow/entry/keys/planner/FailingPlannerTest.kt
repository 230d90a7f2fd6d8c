package yuccaflow.entry.keys.planner

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import yuccaflow.entry.keys.FIRST_KEY
import yuccaflow.entry.keys.LAST_KEY

@DisplayName("A planner in which an exception is thrown")
class FailingPlannerTest {
    private val keyCount = LAST_KEY - FIRST_KEY + 1

    /** Guards against a planner that is restarted after a failure, remains planner, and never renews the grants of its former run. */
    @Test
    fun `grants all keys again after it is restarted`() = simulation(1) {
        advance(6_000)
        expectThat(ownedKeyCount()).isEqualTo(keyCount)
        val planner = planner()!!
        planner.store.nextJoinFailure = IllegalStateException("unexpected")
        advance(20_000)
        expectThat(planner()).isEqualTo(planner)
        expectThat(ownedKeyCount()).isEqualTo(keyCount)
        expectThat(targets.violations).isEmpty()
    }

    @Nested
    @DisplayName("by each call to one target")
    inner class ByOneTarget {
        /** Guards against one target whose calls fail in an unexpected way and which leaves all keys of all services without an owner. */
        @Test
        fun `grants the keys of the other targets`() = simulation(2) {
            targets.throwingTargets += FIRST_HOLDER
            advance(10_000)
            expectThat(ownedKeyCount()).isGreaterThan(keyCount / 2)
        }

        /** Guards against keys that stay without an owner after the entry of such a target was removed. */
        @Test
        fun `grants all keys once its entry is removed`() = simulation(3) {
            targets.throwingTargets += FIRST_HOLDER
            advance(10_000)
            removeEntry(targets.incarnations.first { it.entry.id == FIRST_HOLDER })
            advance(20_000)
            expectThat(ownedKeyCount()).isEqualTo(keyCount)
            expectThat(targets.violations).isEmpty()
        }
    }

    private companion object {
        /** The target to which the planner assigns the first keys, so that it is called before the other targets. */
        const val FIRST_HOLDER = "t4"
    }
}
