package yuccaflow.http

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class SkeletonTest {
    @Test
    fun `builds`() {
        expectThat(1 + 1).isEqualTo(2)
    }

    @Property(seed = "1", tries = 10)
    fun addsUp(
        @ForAll value: Int,
    ) {
        expectThat(value + 0).isEqualTo(value)
    }
}
