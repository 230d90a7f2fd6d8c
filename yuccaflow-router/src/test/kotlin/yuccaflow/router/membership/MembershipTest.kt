package yuccaflow.router.membership

import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue
import yuccaflow.control.ControlRecord
import yuccaflow.control.RouterId
import yuccaflow.external.Streams
import yuccaflow.router.fake.FakeEnvironment
import yuccaflow.router.fake.FakeRouter
import yuccaflow.router.settings.TimingSettings

class MembershipTest {
    /** Runs [body] against [count] started routers after 5 s, in which they have registered and chosen their witnesses. */
    private fun withRouters(count: Int, body: Cluster.() -> Unit) = runTest {
        val world = FakeEnvironment(testScheduler)
        val cluster = Cluster(this, world, world.start(count))
        try {
            cluster.pass(5_000)
            body(cluster)
        } finally {
            (cluster.routers + cluster.late).forEach { it.scope.cancel() }
        }
    }

    private class Cluster(
        private val scope: TestScope,
        val world: FakeEnvironment,
        val routers: List<FakeRouter>,
    ) {
        val log get() = world.log
        val late = mutableListOf<FakeRouter>()

        /** Starts one more router, of the same host and address as an earlier one when [process] is not 0. */
        fun startLate(index: Int, process: Int = 0): FakeRouter =
            FakeRouter(world, index, process = process).also {
                late += it
                it.start()
            }

        fun pass(ms: Long) {
            scope.testScheduler.advanceTimeBy(ms)
            scope.testScheduler.runCurrent()
        }

        fun heal() {
            world.network.isCut = { _, _ -> false }
            world.cutFromLog.clear()
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

    @Nested
    inner class `while the log is down` {
        /** Guards against a log outage that stops service, and against a lease that is ended without the log. */
        @Test
        fun `the others keep their leases for 60 s, and a lost router is ended once the log is back`() = withRouters(12) {
            log.isDown = true
            routers[4].kill()
            repeat(600) {
                pass(100)
                expectThat(routers - routers[4]).all { get { hasLease }.isTrue() }
            }
            expectThat(isLive(routers[4])).isTrue()
            log.isDown = false
            pass(3_000)
            expectThat(isLive(routers[4])).isFalse()
            expectThat(routers - routers[4]).all { get { hasLease }.isTrue() }
        }

        /** Guards against a router that cannot even forward requests until the log is back, or that acts unregistered. */
        @Test
        fun `a router that starts takes the state from a peer and holds no lease until it has registered`() = withRouters(3) {
            log.isDown = true
            pass(2_000)
            val late = startLate(3)
            pass(5_000)
            expectThat(
                late.membership
                    .state()
                    .value.table.position,
            ).isEqualTo(log.end(Streams.CONTROL) - 1)
            expectThat(late.hasLease).isFalse()
            log.isDown = false
            pass(3_000)
            expectThat(late.hasLease).isTrue()
        }

        /** Guards against a router that stays behind a record that only some routers read before the outage, and loses its lease. */
        @Test
        fun `a router catches up through a witness that has read more`() = withRouters(6) {
            world.cutFromLog += routers[0].host
            world.cutFromLog += routers[1].host
            val offset = log.append(ControlRecord.RouterLeaving(RouterId("nobody")))
            pass(5)
            log.isDown = true
            pass(10_000)
            expectThat(
                routers[0]
                    .membership
                    .state()
                    .value.table.position,
            ).isEqualTo(offset)
            expectThat(routers).all { get { hasLease }.isTrue() }
        }
    }

    @Nested
    inner class `cut off` {
        /** Guards against an isolated zone that goes on as owner, and against one that never comes back. */
        @Test
        fun `a zone without log and peers loses its leases within 1_2 s and registers anew when it is back`() = withRouters(12) {
            val inside = routers.filter { it.zone == "zone-b" }
            val before = inside.map { it.id }
            cutZone("zone-b")
            pass(1_200)
            expectThat(inside).all { get { hasLease }.isFalse() }
            pass(1_800)
            expectThat(before.none { log.table().isLive(it) }).isTrue()
            expectThat(routers - inside.toSet()).all { get { hasLease }.isTrue() }
            heal()
            pass(5_000)
            expectThat(inside).all { get { hasLease }.isTrue() }
            expectThat(inside.map { it.id }.none { it in before }).isTrue()
        }

        /** Guards against a zone that stops although its peers could read and append for it. */
        @Test
        fun `a zone that reaches its peers but not the log keeps its leases and appends through them`() = withRouters(6) {
            val inside = routers.filter { it.zone == "zone-b" }
            world.cutFromLog += inside.map { it.host }
            routers[0].kill()
            repeat(100) {
                pass(100)
                expectThat(inside).all { get { hasLease }.isTrue() }
            }
            expectThat(inside).all {
                get {
                    membership
                        .state()
                        .value.table.position
                }.isEqualTo(log.end(Streams.CONTROL) - 1)
            }
        }

        /** Guards against a lease that is ended although its holder lives and can say so. */
        @Test
        fun `a router that its witnesses do not hear cancels each suspicion and stays registered`() = withRouters(6) {
            val id = routers[0].id
            world.network.isCut = { from, to -> routers[0].address in setOf(from, to) }
            pass(20_000)
            expectThat(routers[0].id).isEqualTo(id)
            expectThat(isLive(routers[0])).isTrue()
            expectThat(routers[0].hasLease).isTrue()
        }
    }

    /** Guards against leases that nobody can end because all witnesses were lost at once, which would stop the system for good. */
    @Test
    fun `after a restart of all routers at once the earlier leases end and the new ones hold`() = withRouters(6) {
        val before = routers.map { it.id }
        routers.forEach { it.kill() }
        pass(500)
        val restarted = routers.map { startLate(it.index, process = 1) }
        pass(3_000)
        expectThat(before.none { log.table().isLive(it) }).isTrue()
        expectThat(restarted).all { get { hasLease }.isTrue() }
    }

    /** Guards against a router that acts in the moment in which it wakes after others have taken over. */
    @Test
    fun `a paused router holds no lease when it wakes and registers anew`() = withRouters(6) {
        val id = routers[2].id
        routers[2].dispatcher.pause()
        pass(5_000)
        expectThat(log.table().isLive(id)).isFalse()
        expectThat(routers[2].hasLease).isFalse()
        routers[2].dispatcher.resume()
        pass(3_000)
        expectThat(routers[2].id).isNotEqualTo(id)
        expectThat(routers[2].hasLease).isTrue()
    }

    /** Guards against records that take effect twice or never when the answers to their appends are lost. */
    @Test
    fun `lost appends and lost answers to appends change nothing`() = withRouters(6) {
        var appends = 0
        log.losesRequest = { ++appends % 3 == 0 }
        log.losesAnswer = { appends % 3 == 1 }
        val id = routers[1].id
        routers[1].kill()
        routers[2].dispatcher.pause()
        pass(700)
        routers[2].dispatcher.resume()
        pass(6_000)
        val rest = routers - routers[1]
        expectThat(log.table().isLive(id)).isFalse()
        expectThat(rest).all { get { hasLease }.isTrue() }
        expectThat(rest.map { log.table().routers.getValue(it.id) }).all { get { witnesses.none { w -> w == id } }.isTrue() }
        val end = log.end(Streams.CONTROL)
        pass(5_000)
        expectThat(log.end(Streams.CONTROL)).isEqualTo(end)
    }

    /** Guards against a router that cannot start because the first records have expired. */
    @Test
    fun `a checkpoint is appended once per period and a later router starts from it`() = runTest {
        val world = FakeEnvironment(testScheduler)
        val routers = (0 until 3).map { FakeRouter(world, it, TimingSettings(retentionMs = 120_000)).also { router -> router.start() } }
        val cluster = Cluster(this, world, routers)
        try {
            startFromCheckpoint(cluster)
        } finally {
            (routers + cluster.late).forEach { it.scope.cancel() }
        }
    }

    private fun startFromCheckpoint(cluster: Cluster) {
        val world = cluster.world
        cluster.pass(95_000)
        val checkpoints = world.log.control().count { it is ControlRecord.Checkpoint }
        expectThat(checkpoints).isEqualTo(3)
        val first = world.log.control().indexOfFirst { it is ControlRecord.Checkpoint } + 1L
        world.log.expire(Streams.CONTROL, first)
        world.network.isCut = { from, to -> from.port == 7003 || to.port == 7003 }
        val late = cluster.startLate(3)
        cluster.pass(100)
        expectThat(
            late.membership
                .state()
                .value.table.routers.keys
                .containsAll(cluster.routers.map { it.id }),
        ).isTrue()
    }

    /** Guards against a planned stop that others take for a loss. */
    @Test
    fun `a planned stop is recorded and nobody suspects the router`() = withRouters(6) {
        val end = log.end(Streams.CONTROL)
        val id = routers[3].id
        var stopped = false
        routers[3].scope.launch {
            routers[3].membership.announceLeaving(2_000)
            routers[3].membership.stop(2_000)
            stopped = true
        }
        pass(100)
        expectThat(stopped).isTrue()
        expectThat(routers[3].hasLease).isFalse()
        routers[3].kill()
        pass(5_000)
        expectThat(log.table().isLive(id)).isFalse()
        expectThat(log.control(end).filterIsInstance<ControlRecord.Suspected>()).isEqualTo(emptyList())
    }
}
