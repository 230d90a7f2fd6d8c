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
    /** Starts [count] routers and runs [body] after 5 s, when they have registered and chosen their witnesses. */
    private fun withRouters(count: Int, body: Cluster.() -> Unit) = runTest {
        val environment = FakeEnvironment(testScheduler)
        val cluster = Cluster(this, environment, environment.start(count))
        try {
            cluster.advanceTime(5_000)
            body(cluster)
        } finally {
            (cluster.routers + cluster.laterRouters).forEach { it.scope.cancel() }
        }
    }

    private class Cluster(
        private val scope: TestScope,
        val environment: FakeEnvironment,
        val routers: List<FakeRouter>,
    ) {
        val log get() = environment.log
        val laterRouters = mutableListOf<FakeRouter>()

        /** Starts one more router. One with the [index] of an earlier router has the same host and address, and needs a new [process]. */
        fun startAnother(index: Int, process: Int = 0): FakeRouter =
            FakeRouter(environment, index, process = process).also {
                laterRouters += it
                it.start()
            }

        fun advanceTime(ms: Long) {
            scope.testScheduler.advanceTimeBy(ms)
            scope.testScheduler.runCurrent()
        }

        fun endPartition() {
            environment.network.isDisconnected = { _, _ -> false }
            environment.hostsDisconnectedFromLog.clear()
        }

        fun isLive(router: FakeRouter) = log.table().isLive(router.id)

        fun isolateZone(zone: String) {
            val inside = routers.filter { it.zone == zone }.map { it.address }.toSet()
            environment.network.isDisconnected = { from, to -> (from in inside) != (to in inside) }
            environment.hostsDisconnectedFromLog += routers.filter { it.zone == zone }.map { it.host }
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

    /** Routers that suspect each other or change their witnesses without need would fill the log. */
    @Test
    fun `nothing is appended while nothing changes`() = withRouters(12) {
        val end = log.end(Streams.CONTROL)
        advanceTime(20_000)
        expectThat(log.control(end)).isEqualTo(emptyList())
    }

    /** The loss must be recorded early enough to restore service within 3 s, and without a flood of records. */
    @Test
    fun `the lease of a lost router is ended within 2_2 s with few records`() = withRouters(12) {
        val end = log.end(Streams.CONTROL)
        routers[4].kill()
        advanceTime(2_200)
        expectThat(isLive(routers[4])).isFalse()
        expectThat(log.control(end).size).isLessThan(30)
    }

    @Nested
    inner class `while the log is down` {
        /** A log outage must not end leases of running routers, and the lease of a lost router must not be ended without the log. */
        @Test
        fun `the others keep their leases for 60 s, and the lease of a lost router is ended once the log is back`() = withRouters(12) {
            log.isDown = true
            routers[4].kill()
            repeat(600) {
                advanceTime(100)
                expectThat(routers - routers[4]).all { get { hasLease }.isTrue() }
            }
            expectThat(isLive(routers[4])).isTrue()
            log.isDown = false
            advanceTime(3_000)
            expectThat(isLive(routers[4])).isFalse()
            expectThat(routers - routers[4]).all { get { hasLease }.isTrue() }
        }

        /** A router that starts must be able to forward requests before the log is back, but must not act as an owner unregistered. */
        @Test
        fun `a router that starts loads the state from a peer and holds no lease until it has registered`() = withRouters(3) {
            log.isDown = true
            advanceTime(2_000)
            val late = startAnother(3)
            advanceTime(5_000)
            expectThat(
                late.membership
                    .state()
                    .value.table.position,
            ).isEqualTo(log.end(Streams.CONTROL) - 1)
            expectThat(late.hasLease).isFalse()
            log.isDown = false
            advanceTime(3_000)
            expectThat(late.hasLease).isTrue()
        }

        /** A record that only some routers read before the outage must not leave the others behind, which would cost them their leases. */
        @Test
        fun `a router catches up through a witness that is ahead of it`() = withRouters(6) {
            environment.hostsDisconnectedFromLog += routers[0].host
            environment.hostsDisconnectedFromLog += routers[1].host
            val offset = log.append(ControlRecord.RouterLeaving(RouterId("nobody")))
            advanceTime(5)
            log.isDown = true
            advanceTime(10_000)
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
    inner class `after a network partition` {
        /** An isolated zone must stop acting as an owner, and must rejoin when the partition ends. */
        @Test
        fun `a zone without log and peers loses its leases within 1_2 s and registers again after the partition`() = withRouters(12) {
            val inside = routers.filter { it.zone == "zone-b" }
            val before = inside.map { it.id }
            isolateZone("zone-b")
            advanceTime(1_200)
            expectThat(inside).all { get { hasLease }.isFalse() }
            advanceTime(1_800)
            expectThat(before.none { log.table().isLive(it) }).isTrue()
            expectThat(routers - inside.toSet()).all { get { hasLease }.isTrue() }
            endPartition()
            advanceTime(5_000)
            expectThat(inside).all { get { hasLease }.isTrue() }
            expectThat(inside.map { it.id }.none { it in before }).isTrue()
        }

        /** A zone must keep running while its peers can read the log and append to it on its behalf. */
        @Test
        fun `a zone that reaches its peers but not the log keeps its leases and appends through them`() = withRouters(6) {
            val inside = routers.filter { it.zone == "zone-b" }
            environment.hostsDisconnectedFromLog += inside.map { it.host }
            routers[0].kill()
            repeat(100) {
                advanceTime(100)
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

        /** The lease of a running router must not be ended while it can cancel the suspicions against it. */
        @Test
        fun `a router whose heartbeats do not reach its witnesses cancels each suspicion and stays registered`() = withRouters(6) {
            val id = routers[0].id
            environment.network.isDisconnected = { from, to -> routers[0].address in setOf(from, to) }
            advanceTime(20_000)
            expectThat(routers[0].id).isEqualTo(id)
            expectThat(isLive(routers[0])).isTrue()
            expectThat(routers[0].hasLease).isTrue()
        }
    }

    /** If all witnesses are lost at once, leases that no router can end would stop the system permanently. */
    @Test
    fun `after a restart of all routers at once the earlier leases end and the new ones hold`() = withRouters(6) {
        val before = routers.map { it.id }
        routers.forEach { it.kill() }
        advanceTime(500)
        val restarted = routers.map { startAnother(it.index, process = 1) }
        advanceTime(3_000)
        expectThat(before.none { log.table().isLive(it) }).isTrue()
        expectThat(restarted).all { get { hasLease }.isTrue() }
    }

    /** A paused router must not act when it resumes, since others have taken over by then. */
    @Test
    fun `a paused router holds no lease when it resumes and registers again`() = withRouters(6) {
        val id = routers[2].id
        routers[2].dispatcher.pause()
        advanceTime(5_000)
        expectThat(log.table().isLive(id)).isFalse()
        expectThat(routers[2].hasLease).isFalse()
        routers[2].dispatcher.resume()
        advanceTime(3_000)
        expectThat(routers[2].id).isNotEqualTo(id)
        expectThat(routers[2].hasLease).isTrue()
    }

    /** Records must take effect exactly once even if their appends, or the answers to them, are lost. */
    @Test
    fun `lost appends and lost answers to appends have no effect on the outcome`() = withRouters(6) {
        var appends = 0
        log.losesAppendRequest = { ++appends % 3 == 0 }
        log.losesAppendAnswer = { appends % 3 == 1 }
        val id = routers[1].id
        routers[1].kill()
        routers[2].dispatcher.pause()
        advanceTime(700)
        routers[2].dispatcher.resume()
        advanceTime(6_000)
        val rest = routers - routers[1]
        expectThat(log.table().isLive(id)).isFalse()
        expectThat(rest).all { get { hasLease }.isTrue() }
        expectThat(rest.map { log.table().routers.getValue(it.id) }).all { get { witnesses.none { w -> w == id } }.isTrue() }
        val end = log.end(Streams.CONTROL)
        advanceTime(5_000)
        expectThat(log.end(Streams.CONTROL)).isEqualTo(end)
    }

    /** A router must be able to start after the first records have expired. */
    @Test
    fun `a checkpoint is appended once per period and a later router starts from it`() = runTest {
        val environment = FakeEnvironment(testScheduler)
        val routers = (0 until 3).map {
            FakeRouter(environment, it, TimingSettings(retentionMs = 120_000)).also { router -> router.start() }
        }
        val cluster = Cluster(this, environment, routers)
        try {
            startFromCheckpoint(cluster)
        } finally {
            (routers + cluster.laterRouters).forEach { it.scope.cancel() }
        }
    }

    private fun startFromCheckpoint(cluster: Cluster) {
        val environment = cluster.environment
        cluster.advanceTime(95_000)
        val checkpoints = environment.log.control().count { it is ControlRecord.Checkpoint }
        expectThat(checkpoints).isEqualTo(3)
        val first = environment.log.control().indexOfFirst { it is ControlRecord.Checkpoint } + 1L
        environment.log.expire(Streams.CONTROL, first)
        environment.network.isDisconnected = { from, to -> from.port == 7003 || to.port == 7003 }
        val late = cluster.startAnother(3)
        cluster.advanceTime(100)
        expectThat(
            late.membership
                .state()
                .value.table.routers.keys
                .containsAll(cluster.routers.map { it.id }),
        ).isTrue()
    }

    /** A graceful shutdown must not be taken for a loss by the other routers. */
    @Test
    fun `a graceful shutdown is recorded and no router suspects the stopped one`() = withRouters(6) {
        val end = log.end(Streams.CONTROL)
        val id = routers[3].id
        var stopped = false
        routers[3].scope.launch {
            routers[3].membership.announceLeaving(2_000)
            routers[3].membership.stop(2_000)
            stopped = true
        }
        advanceTime(100)
        expectThat(stopped).isTrue()
        expectThat(routers[3].hasLease).isFalse()
        routers[3].kill()
        advanceTime(5_000)
        expectThat(log.table().isLive(id)).isFalse()
        expectThat(log.control(end).filterIsInstance<ControlRecord.Suspected>()).isEqualTo(emptyList())
    }
}
