package yuccaflow.router

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import yuccaflow.base.RestartPolicy
import yuccaflow.base.SupervisedTask
import yuccaflow.base.Supervisor
import yuccaflow.router.fake.VirtualTimer

class SupervisorTest {
    /** Guards against a failing task that stops the others or is not restarted. */
    @Test
    fun `a failed task is restarted and the others go on`() = runTest {
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

    /** Guards against a process that goes on without a task that fails after every restart. */
    @Test
    fun `a task that fails again and again ends the supervisor`() = runTest {
        val supervisor = Supervisor(VirtualTimer(testScheduler), RestartPolicy(maxFailuresPerPeriod = 3))
        val other = SupervisedTask("other") { awaitCancellation() }
        expectThat(supervisor.run(listOf(SupervisedTask("failing") { error("no") }, other))).isEqualTo("failing")
    }
}
