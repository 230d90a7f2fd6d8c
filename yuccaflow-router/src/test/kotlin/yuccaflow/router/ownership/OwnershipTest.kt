package yuccaflow.router.ownership

import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import yuccaflow.control.ControlRecord
import yuccaflow.control.MarkSubject
import yuccaflow.control.ServiceName
import yuccaflow.control.TargetId
import yuccaflow.control.ZoneName
import yuccaflow.external.WorkResult
import yuccaflow.router.fake.FakeRouterNode
import yuccaflow.router.fake.FakeSystem

/** Six routers, nine targets of a divided service and nine of an undivided one, in three zones; every key is asked for every 20 ms. */
class OwnershipTest {
    private fun withSystem(checksFences: Boolean = true, movesRanges: Boolean = true, body: Run.() -> Unit) = runTest {
        val system = FakeSystem(testScheduler, routerCount = 6, checksFences = checksFences, movesRanges = movesRanges)
        system.start()
        val run = Run(this, system)
        try {
            run.pass(6_000)
            system.startCallers()
            run.pass(500)
            body(run)
            expectThat(run.doubleGrants).isEmpty()
            expectThat(system.doubleRuns()).isEmpty()
        } finally {
            system.stop()
        }
    }

    private class Run(
        private val scope: TestScope,
        val system: FakeSystem,
    ) {
        val log get() = system.world.log
        val nowMs get() = system.world.timer.nowMs()
        val doubleGrants = mutableListOf<String>()

        fun pass(ms: Long) {
            repeat((ms / STEP_MS).toInt()) {
                scope.testScheduler.advanceTimeBy(STEP_MS)
                scope.testScheduler.runCurrent()
                doubleGrants += system.doubleGrants()
            }
        }

        /** The longest time without an answer for any key from [sinceMs] on. */
        fun longestGapMs(sinceMs: Long): Long = system.keys().maxOf { key ->
            val answered = system.results.filter { it.key == key && it.result is WorkResult.Answered && it.atMs >= sinceMs }.map { it.atMs }
            (listOf(sinceMs) + answered + nowMs).zipWithNext { a, b -> b - a }.max()
        }

        fun ownerOf(key: String): TargetId = log.table().rangeOf(FakeSystem.SERVICE, key)!!.owner

        fun primaryOf(target: TargetId): FakeRouterNode =
            log
                .table()
                .primaries
                .getValue(target)
                .router
                .let { id -> system.owners.first { it.router.id == id } }

        fun target(id: TargetId) = system.target(id.value.drop(1).toInt())

        /** The targets of zone [index]. */
        fun targetsIn(index: Int) = system.targets.values.filterIndexed { i, _ -> i % FakeSystem.ZONES.size == index }
    }

    @Test
    fun `every key is served after the start`() = withSystem {
        expectThat(longestGapMs(nowMs - 500)).isLessThan(100)
        expectThat(system.results.count { it.result == null }).isEqualTo(0)
    }

    @Nested
    inner class `after a loss` {
        /** Guards against a loss of a router that costs more than 3 s of service, or that moves keys between targets. */
        @Test
        fun `keys are served again within 3 s of the loss of their primary, by the same target`() = withSystem {
            val owner = ownerOf("055")
            val atMs = nowMs
            primaryOf(owner).router.kill()
            pass(4_000)
            expectThat(longestGapMs(atMs)).isLessThan(SERVICE_WITHIN_MS)
            expectThat(ownerOf("055")).isEqualTo(owner)
        }

        /** Guards against keys of a lost zone that stay with targets that nobody serves any more. */
        @Test
        fun `keys of a zone whose routers and targets are lost are served elsewhere within 3 s`() = withSystem {
            val atMs = nowMs
            system.owners.filter { it.router.zone == "zone-b" }.forEach { it.router.kill() }
            targetsIn(1).forEach { it.freeze() }
            pass(5_000)
            expectThat(longestGapMs(atMs)).isLessThan(SERVICE_WITHIN_MS)
        }

        /** Guards against a log outage that costs service although the witnesses confirm the leases. */
        @Test
        fun `every key is served all the time while the log is down for 60 s`() = withSystem {
            val atMs = nowMs
            log.isDown = true
            pass(60_000)
            log.isDown = false
            pass(1_000)
            expectThat(longestGapMs(atMs)).isLessThan(100)
        }

        /** Guards against a frozen target that keeps its keys, and against one that still owns them when it wakes. */
        @Test
        fun `keys of a frozen target move within 3 s, and it holds no grant when it wakes`() = withSystem {
            val owner = ownerOf("055")
            val atMs = nowMs
            target(owner).freeze()
            pass(4_000)
            expectThat(longestGapMs(atMs)).isLessThan(SERVICE_WITHIN_MS)
            expectThat(ownerOf("055")).isNotEqualTo(owner)
            target(owner).wake()
            pass(10)
            expectThat(target(owner).grants).isEmpty()
            pass(3_000)
        }

        /** Guards against a restart of a target that nobody notices: it has lost its grants and its warmth. */
        @Test
        fun `a restarted target is granted again at once and ramped up from the start`() = withSystem {
            val owner = ownerOf("055")
            val ramps = primaryOf(owner).gateway.ramps
            val before = ramps.count { it == owner }
            val atMs = nowMs
            target(owner).restart()
            pass(1_000)
            expectThat(ramps.count { it == owner }).isEqualTo(before + 1)
            expectThat(longestGapMs(atMs)).isLessThan(150)
        }

        /** Guards against a move that stands still, or releases early, because the router that carries it out is lost. */
        @Test
        fun `a move whose source primary is lost is completed by the next primary`() = withSystem {
            val owner = ownerOf("055")
            val entry = log.table().rangeOf(FakeSystem.SERVICE, "055")!!
            val to = log
                .table()
                .primaries.keys
                .first { it != owner && it.value.drop(1).toInt() < TARGETS }
            val atMs = nowMs
            log.append(ControlRecord.MoveStarted(FakeSystem.SERVICE, entry.range, entry.epoch, to))
            primaryOf(owner).router.kill()
            pass(4_500)
            expectThat(log.table().rangeOf(FakeSystem.SERVICE, "055")!!.move).isNull()
            expectThat(longestGapMs(atMs)).isLessThan(SERVICE_WITHIN_MS)
        }

        /** Guards against keys that go to a target that is lost already, and stay there. */
        @Test
        fun `keys whose move leads to a lost target are served within 3 s`() = withSystem {
            val owner = ownerOf("055")
            val entry = log.table().rangeOf(FakeSystem.SERVICE, "055")!!
            val to = log
                .table()
                .primaries.keys
                .first { it != owner && it.value.drop(1).toInt() < TARGETS }
            val atMs = nowMs
            target(to).freeze()
            log.append(ControlRecord.MoveStarted(FakeSystem.SERVICE, entry.range, entry.epoch, to))
            pass(4_500)
            expectThat(ownerOf("055")).isNotEqualTo(to)
            expectThat(longestGapMs(atMs)).isLessThan(SERVICE_WITHIN_MS)
        }

        /** Guards against requests of an earlier primary that still run at a target that checks nothing when its range is released. */
        @Test
        fun `targets that check nothing never run a key at two places`() = withSystem(checksFences = false) {
            val owner = ownerOf("055")
            val atMs = nowMs
            target(owner).freeze()
            pass(300)
            target(owner).wake()
            pass(300)
            target(owner).freeze()
            pass(4_000)
            target(owner).wake()
            pass(2_000)
            expectThat(longestGapMs(atMs)).isLessThan(SERVICE_WITHIN_MS)
        }
    }

    /** Guards against work that a router sends in the moment in which it wakes, while others own its targets. */
    @Test
    fun `a router that was paused past its lease sends nothing when it wakes`() = withSystem {
        val specs = system.owners[0]
            .router.membership
            .state()
            .value.config.targets.values
        val keysByPrimary = system.keys().groupBy { primaryOf(ownerOf(it)) }
        val plain = specs.first { it.service == ServiceName("plain") && primaryOf(it.id) in keysByPrimary }
        val paused = primaryOf(plain.id)
        val key = keysByPrimary.getValue(paused).first()
        val spec = specs.first { it.id == ownerOf(key) }
        paused.router.dispatcher.pause()
        val results = mutableListOf<WorkResult?>()
        paused.router.scope.launch { results += paused.gateway.send(spec, key, FakeSystem.RUN_LIMIT_MS) }
        paused.router.scope.launch { results += paused.gateway.send(plain, null, FakeSystem.RUN_LIMIT_MS, idempotent = false) }
        pass(5_000)
        paused.router.dispatcher.resume()
        pass(4_000)
        expectThat(results).isEqualTo(mutableListOf(null, null))
    }

    @Nested
    inner class `in an isolated zone` {
        /** Guards against a zone that goes on as owner, and against one that refuses what it could still do. */
        @Test
        fun `only idempotent work of undivided services goes on, and others serve the keys`() = withSystem {
            val inside = system.owners.filter { it.router.zone == "zone-b" }
            val outsideAddresses = system.owners.filter { it !in inside }.map { it.router.address }
            system.world.cutFromLog += inside.map { it.router.host }
            system.world.network.isCut = { from, to -> (from in outsideAddresses) != (to in outsideAddresses) }
            system.isTargetCut = { router, address -> (router.zone == "zone-b") != (targetsIn(1).any { it.address == address }) }
            val atMs = nowMs
            val spec = inside[0]
                .router.membership
                .state()
                .value.config.targets.values
                .first { it.service.value == "plain" && primaryOf(it.id) === inside[0] }
            pass(1_300)
            expectThat(inside[0].ownership.permit(spec.id, spec.service, null, idempotent = true)).isA<WorkPermit.Granted>()
            expectThat(inside[0].ownership.permit(spec.id, spec.service, null, idempotent = false)).isDenied(DenialReason.NO_LEASE)
            expectThat(targetsIn(1).flatMap { it.grants }).isEmpty()
            pass(4_000)
            val moved = system.keys().map {
                log
                    .table()
                    .primaries
                    .getValue(ownerOf(it))
                    .router
            }
            expectThat(inside.none { it.router.id in moved }).isTrue()
            expectThat(longestGapMs(atMs)).isLessThan(ISOLATED_SERVICE_WITHIN_MS)
        }
    }

    @Nested
    inner class `on a planned stop` {
        /** Guards against a stop that cuts or loses requests, or that leaves targets without a primary until a lease has ended. */
        @Test
        fun `targets are handed over under load and no request is cut`() = withSystem {
            val stopping = system.owners[0]
            val id = stopping.router.id
            val atMs = nowMs
            var isStopped = false
            stopping.router.scope.launch {
                stopping.router.membership.announceLeaving(2_000)
                stopping.ownership.handOver(10_000)
                stopping.router.membership.stop(2_000)
                isStopped = true
            }
            pass(500)
            expectThat(isStopped).isTrue()
            stopping.router.kill()
            pass(3_000)
            expectThat(
                log
                    .table()
                    .primaries.values
                    .none { it.router == id },
            ).isTrue()
            expectThat(system.results.filter { it.atMs >= atMs && it.result is WorkResult.Unknown }).isEmpty()
            expectThat(longestGapMs(atMs)).isLessThan(200)
        }
    }

    @Nested
    inner class `leaving` {
        /** Guards against new work in a zone that operators have taken out. */
        @Test
        fun `a marked zone gets no new work after 2 s and its keys are served elsewhere`() = withSystem {
            val atMs = nowMs
            system.mark(MarkSubject.ZONE, "zone-b", leaving = true)
            pass(5_000)
            expectThat(targetsIn(1).flatMap { it.runs }.filter { it.startMs > atMs + LEAVING_WITHIN_MS }).isEmpty()
            expectThat(longestGapMs(atMs)).isLessThan(1_500)
            val inZone = system.owners[0]
                .router.membership
                .state()
                .value.config.targets.values
                .filter { it.zone == ZoneName("zone-b") }
            expectThat(system.keys().map { ownerOf(it) }.filter { owner -> inZone.any { it.id == owner } }).isEmpty()
        }

        /** Guards against work for keys that could not be moved away in time. */
        @Test
        fun `a marked zone gets no new work after 2 s even when its ranges stay`() = withSystem(movesRanges = false) {
            val atMs = nowMs
            system.mark(MarkSubject.ZONE, "zone-b", leaving = true)
            pass(5_000)
            expectThat(targetsIn(1).flatMap { it.runs }.filter { it.startMs > atMs + LEAVING_WITHIN_MS }).isEmpty()
        }

        /** Guards against undivided work, which needs no move, that goes on at a leaving host. */
        @Test
        fun `a marked host is refused at once for undivided services`() = withSystem {
            val plain = TargetId("t$TARGETS")
            val primary = primaryOf(plain)
            expectThat(primary.ownership.permit(plain, ServiceName("plain"), null, idempotent = false)).isA<WorkPermit.Granted>()
            system.mark(MarkSubject.HOST, "th-$TARGETS", leaving = true)
            pass(100)
            expectThat(primary.ownership.permit(plain, ServiceName("plain"), null, idempotent = false)).isDenied(DenialReason.LEAVING)
            system.mark(MarkSubject.HOST, "th-$TARGETS", leaving = false)
            pass(100)
            expectThat(primary.ownership.permit(plain, ServiceName("plain"), null, idempotent = false)).isA<WorkPermit.Granted>()
        }
    }

    private fun strikt.api.Assertion.Builder<WorkPermit>.isDenied(reason: DenialReason) =
        isA<WorkPermit.Denied>().get { this.reason }.isEqualTo(reason)

    private companion object {
        const val STEP_MS = 10L
        const val TARGETS = 9

        /** A key is served again within 3 s of a loss. */
        const val SERVICE_WITHIN_MS = 3_000L

        /** The loss of a zone with its targets: the leases end first, then the run limit passes, then the ranges move. */
        const val ISOLATED_SERVICE_WITHIN_MS = 3_000L
        const val LEAVING_WITHIN_MS = 2_000L
    }
}
