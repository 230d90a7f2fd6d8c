package yuccaflow.router

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import yuccaflow.base.RestartLimits
import yuccaflow.base.SupervisedTask
import yuccaflow.base.Supervisor
import yuccaflow.router.fake.VirtualTimer

class SupervisorTest {
    /** Guards against one failing part that takes the others down, or that is never started again. */
    @Test
    fun `a part that fails is restarted and the others go on`() = runTest {
        var starts = 0
        var otherStarts = 0
        val failing = SupervisedTask("failing") {
            if (++starts < 4) error("failure $starts")
            awaitCancellation()
        }
        val other = SupervisedTask("other") {
            otherStarts++
            awaitCancellation()
        }
        val run = async { Supervisor(VirtualTimer(testScheduler)).run(listOf(failing, other)) }
        testScheduler.advanceTimeBy(60_000)
        expectThat(starts).isEqualTo(4)
        expectThat(otherStarts).isEqualTo(1)
        expectThat(run.isCompleted).isFalse()
        run.cancel()
    }

    /** Guards against a daemon that goes on without a part that can never run. */
    @Test
    fun `a part that fails again and again ends the supervisor`() = runTest {
        val supervisor = Supervisor(VirtualTimer(testScheduler), RestartLimits(failuresPerPeriod = 3))
        val other = SupervisedTask("other") { awaitCancellation() }
        expectThat(supervisor.run(listOf(SupervisedTask("failing") { error("no") }, other))).isEqualTo("failing")
    }
}
