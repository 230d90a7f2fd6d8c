package yuccaflow.router.membership

import kotlinx.coroutines.cancel
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import yuccaflow.platform.Streams
import yuccaflow.router.fake.FakeRouter
import yuccaflow.router.fake.FakeWorld

class MembershipTest {
    /** Runs [body] against [count] started routers after 5 s, in which they have registered and chosen their witnesses. */
    private fun withRouters(count: Int, body: Cluster.() -> Unit) = runTest {
        val world = FakeWorld(testScheduler)
        val cluster = Cluster(this, world, world.start(count))
        cluster.pass(5_000)
        body(cluster)
        cluster.routers.forEach { it.scope.cancel() }
    }

    private class Cluster(
        private val scope: TestScope,
        val world: FakeWorld,
        val routers: List<FakeRouter>,
    ) {
        val log get() = world.log

        fun pass(ms: Long) {
            scope.testScheduler.advanceTimeBy(ms)
            scope.testScheduler.runCurrent()
        }

        fun isLive(router: FakeRouter) = log.table().isLive(router.id)

        fun cutZone(zone: String) {
            val inside = routers.filter { it.zone == zone }.map { it.address }.toSet()
            world.network.isCut = { from, to -> (from in inside) != (to in inside) }
            world.cutFromLog += routers.filter { it.zone == zone }.map { it.host }
        }
    }

    @Test
    fun `routers register, name seven witnesses and hold leases`() = withRouters(12) {
        expectThat(routers).all { get { hasLease }.isTrue() }
        expectThat(
            log
                .table()
                .routers.values
                .toList(),
        ).all { get { witnesses.size }.isEqualTo(7) }
    }

    /** Guards against routers that suspect each other or change their witnesses without need, which would fill the log. */
    @Test
    fun `nothing is appended while nothing changes`() = withRouters(12) {
        val end = log.end(Streams.CONTROL)
        pass(20_000)
        expectThat(log.control(end)).isEqualTo(emptyList())
    }

    /** Guards against a loss that is noticed or recorded too late for service within 3 s, and against a flood of records. */
    @Test
    fun `the lease of a lost router is ended within 2_2 s with few records`() = withRouters(12) {
        val end = log.end(Streams.CONTROL)
        routers[4].kill()
        pass(2_200)
        expectThat(isLive(routers[4])).isFalse()
        expectThat(log.control(end).size).isLessThan(30)
    }
}
