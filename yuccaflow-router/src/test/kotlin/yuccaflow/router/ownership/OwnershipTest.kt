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

/**
 * Runs six routers in three zones, with nine targets of a keyed service and nine of a service that is not keyed. Callers request every
 * key every 20 ms.
 */
class OwnershipTest {
    private fun withSystem(checksFences: Boolean = true, movesRanges: Boolean = true, body: Scenario.() -> Unit) = runTest {
        val system = FakeSystem(testScheduler, routerCount = 6, checksFences = checksFences, movesRanges = movesRanges)
        system.start()
        val scenario = Scenario(this, system)
        try {
            scenario.advanceTime(6_000)
            system.startCallers()
            scenario.advanceTime(500)
            body(scenario)
            expectThat(scenario.overlappingGrants).isEmpty()
            expectThat(system.conflictingRuns()).isEmpty()
        } finally {
            system.stop()
        }
    }

    private class Scenario(
        private val scope: TestScope,
        val system: FakeSystem,
    ) {
        val log get() = system.environment.log
        val nowMs get() = system.environment.timer.nowMs()
        val overlappingGrants = mutableListOf<String>()

        fun advanceTime(ms: Long) {
            repeat((ms / STEP_MS).toInt()) {
                scope.testScheduler.advanceTimeBy(STEP_MS)
                scope.testScheduler.runCurrent()
                overlappingGrants += system.overlappingGrants()
            }
        }

        /** Returns the longest time since [sinceMs] in which any one key got no answer. */
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
                .let { id -> system.nodes.first { it.router.id == id } }

        fun target(id: TargetId) = system.target(id.value.drop(1).toInt())

        /** Returns the targets in the zone with [index]. */
        fun targetsIn(index: Int) = system.targets.values.filterIndexed { i, _ -> i % FakeSystem.ZONES.size == index }
    }

    @Test
    fun `every key is served after the start`() = withSystem {
        expectThat(longestGapMs(nowMs - 500)).isLessThan(100)
        expectThat(system.results.count { it.result == null }).isEqualTo(0)
    }

    @Nested
    inner class `after a loss` {
        /** The loss of a router must not interrupt service for more than 3 s, nor move keys between targets. */
        @Test
        fun `keys are served again within 3 s of the loss of their primary, by the same target`() = withSystem {
            val owner = ownerOf("055")
            val atMs = nowMs
            primaryOf(owner).router.kill()
            advanceTime(4_000)
            expectThat(longestGapMs(atMs)).isLessThan(SERVICE_WITHIN_MS)
            expectThat(ownerOf("055")).isEqualTo(owner)
        }

        /** Keys of a lost zone must not stay assigned to targets that no router can reach any more. */
        @Test
        fun `keys of a zone whose routers and targets are lost are served elsewhere within 3 s`() = withSystem {
            val atMs = nowMs
            system.nodes.filter { it.router.zone == "zone-b" }.forEach { it.router.kill() }
            targetsIn(1).forEach { it.freeze() }
            advanceTime(5_000)
            expectThat(longestGapMs(atMs)).isLessThan(SERVICE_WITHIN_MS)
        }

        /** Leases are confirmed by the witnesses while the log is down, so its outage must not interrupt service. */
        @Test
        fun `every key is served all the time while the log is down for 60 s`() = withSystem {
            val atMs = nowMs
            log.isDown = true
            advanceTime(60_000)
            log.isDown = false
            advanceTime(1_000)
            expectThat(longestGapMs(atMs)).isLessThan(100)
        }

        /** A frozen target must lose its keys, and must hold no valid grant of them once it resumes. */
        @Test
        fun `keys of a frozen target move within 3 s, and it holds no grant when it resumes`() = withSystem {
            val owner = ownerOf("055")
            val atMs = nowMs
            target(owner).freeze()
            advanceTime(4_000)
            expectThat(longestGapMs(atMs)).isLessThan(SERVICE_WITHIN_MS)
            expectThat(ownerOf("055")).isNotEqualTo(owner)
            target(owner).unfreeze()
            advanceTime(10)
            expectThat(target(owner).grants).isEmpty()
            advanceTime(3_000)
        }

        /** A restarted target has lost its grants and its warm caches, which its primary must notice from the new instance. */
        @Test
        fun `a restarted target is granted its ranges again immediately and starts its slow start over`() = withSystem {
            val owner = ownerOf("055")
            val slowStarts = primaryOf(owner).gateway.slowStarts
            val before = slowStarts.count { it == owner }
            val atMs = nowMs
            target(owner).restart()
            advanceTime(1_000)
            expectThat(slowStarts.count { it == owner }).isEqualTo(before + 1)
            expectThat(longestGapMs(atMs)).isLessThan(150)
        }

        /** The loss of the router that carries out a move must neither stall the move nor release the range early. */
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
            advanceTime(4_500)
            expectThat(log.table().rangeOf(FakeSystem.SERVICE, "055")!!.move).isNull()
            expectThat(longestGapMs(atMs)).isLessThan(SERVICE_WITHIN_MS)
        }

        /** Keys must not end up at a target that was lost while they were being moved to it. */
        @Test
        fun `keys that are moving to a lost target are served within 3 s`() = withSystem {
            val owner = ownerOf("055")
            val entry = log.table().rangeOf(FakeSystem.SERVICE, "055")!!
            val to = log
                .table()
                .primaries.keys
                .first { it != owner && it.value.drop(1).toInt() < TARGETS }
            val atMs = nowMs
            target(to).freeze()
            log.append(ControlRecord.MoveStarted(FakeSystem.SERVICE, entry.range, entry.epoch, to))
            advanceTime(4_500)
            expectThat(ownerOf("055")).isNotEqualTo(to)
            expectThat(longestGapMs(atMs)).isLessThan(SERVICE_WITHIN_MS)
        }

        /**
         * A target that does not check fencing tokens may still run requests of a previous primary. Its range must not be released
         * before they have ended.
         */
        @Test
        fun `a key never runs at two targets at once even if targets do not check fencing tokens`() = withSystem(checksFences = false) {
            val owner = ownerOf("055")
            val atMs = nowMs
            target(owner).freeze()
            advanceTime(300)
            target(owner).unfreeze()
            advanceTime(300)
            target(owner).freeze()
            advanceTime(4_000)
            target(owner).unfreeze()
            advanceTime(2_000)
            expectThat(longestGapMs(atMs)).isLessThan(SERVICE_WITHIN_MS)
        }
    }

    /** A router that was paused must not send to its former targets when it resumes, since other routers are their primaries by then. */
    @Test
    fun `a router that was paused past the end of its lease sends nothing when it resumes`() = withSystem {
        val specs = system.nodes[0]
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
        advanceTime(5_000)
        paused.router.dispatcher.resume()
        advanceTime(4_000)
        expectThat(results).isEqualTo(mutableListOf(null, null))
    }

    @Nested
    inner class `in an isolated zone` {
        /** Routers in an isolated zone must stop acting as owners, but must still serve what needs no lease. */
        @Test
        fun `only idempotent requests of services that are not keyed continue, and other zones serve the keys`() = withSystem {
            val inside = system.nodes.filter { it.router.zone == "zone-b" }
            val outsideAddresses = system.nodes.filter { it !in inside }.map { it.router.address }
            system.environment.hostsDisconnectedFromLog += inside.map { it.router.host }
            system.environment.network.isDisconnected = { from, to -> (from in outsideAddresses) != (to in outsideAddresses) }
            system.isTargetDisconnected = { router, address -> (router.zone == "zone-b") != (targetsIn(1).any { it.address == address }) }
            val atMs = nowMs
            val spec = inside[0]
                .router.membership
                .state()
                .value.config.targets.values
                .first { it.service.value == "plain" && primaryOf(it.id) === inside[0] }
            advanceTime(1_300)
            expectThat(inside[0].ownership.permit(spec.id, spec.service, null, idempotent = true)).isA<WorkPermit.Granted>()
            expectThat(inside[0].ownership.permit(spec.id, spec.service, null, idempotent = false)).isDenied(DenialReason.NO_LEASE)
            expectThat(targetsIn(1).flatMap { it.grants }).isEmpty()
            advanceTime(4_000)
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
    inner class `during a graceful shutdown` {
        /** A graceful shutdown must not abort or lose requests, nor leave targets without a primary until the lease has expired. */
        @Test
        fun `targets are handed over under load and no request is aborted`() = withSystem {
            val stopping = system.nodes[0]
            val id = stopping.router.id
            val atMs = nowMs
            var isStopped = false
            stopping.router.scope.launch {
                stopping.router.membership.announceLeaving(2_000)
                stopping.ownership.handOver(10_000)
                stopping.router.membership.stop(2_000)
                isStopped = true
            }
            advanceTime(500)
            expectThat(isStopped).isTrue()
            stopping.router.kill()
            advanceTime(3_000)
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
        /** A zone that the operators evacuate must get no new requests. */
        @Test
        fun `a zone marked as leaving gets no new requests after 2 s and its keys are served elsewhere`() = withSystem {
            val atMs = nowMs
            system.mark(MarkSubject.ZONE, "zone-b", leaving = true)
            advanceTime(5_000)
            expectThat(targetsIn(1).flatMap { it.runs }.filter { it.startMs > atMs + LEAVING_WITHIN_MS }).isEmpty()
            expectThat(longestGapMs(atMs)).isLessThan(1_500)
            val inZone = system.nodes[0]
                .router.membership
                .state()
                .value.config.targets.values
                .filter { it.zone == ZoneName("zone-b") }
            expectThat(system.keys().map { ownerOf(it) }.filter { owner -> inZone.any { it.id == owner } }).isEmpty()
        }

        /** The 2 s limit must hold even for keys that could not be moved away in time. */
        @Test
        fun `a zone marked as leaving gets no new requests after 2 s even if its ranges do not move`() = withSystem(movesRanges = false) {
            val atMs = nowMs
            system.mark(MarkSubject.ZONE, "zone-b", leaving = true)
            advanceTime(5_000)
            expectThat(targetsIn(1).flatMap { it.runs }.filter { it.startMs > atMs + LEAVING_WITHIN_MS }).isEmpty()
        }

        /** Requests of a service that is not keyed need no range move, so they must stop at a leaving host immediately. */
        @Test
        fun `a host marked as leaving immediately gets no more requests of services that are not keyed`() = withSystem {
            val plain = TargetId("t$TARGETS")
            val primary = primaryOf(plain)
            expectThat(primary.ownership.permit(plain, ServiceName("plain"), null, idempotent = false)).isA<WorkPermit.Granted>()
            system.mark(MarkSubject.HOST, "th-$TARGETS", leaving = true)
            advanceTime(100)
            expectThat(primary.ownership.permit(plain, ServiceName("plain"), null, idempotent = false)).isDenied(DenialReason.LEAVING)
            system.mark(MarkSubject.HOST, "th-$TARGETS", leaving = false)
            advanceTime(100)
            expectThat(primary.ownership.permit(plain, ServiceName("plain"), null, idempotent = false)).isA<WorkPermit.Granted>()
        }
    }

    private fun strikt.api.Assertion.Builder<WorkPermit>.isDenied(reason: DenialReason) =
        isA<WorkPermit.Denied>().get { this.reason }.isEqualTo(reason)

    private companion object {
        const val STEP_MS = 10L
        const val TARGETS = 9

        /** Maximum interruption of a key after a loss. */
        const val SERVICE_WITHIN_MS = 3_000L

        /** Maximum interruption when a zone is lost with its targets: leases expire, then the run limit passes, then ranges move. */
        const val ISOLATED_SERVICE_WITHIN_MS = 3_000L
        const val LEAVING_WITHIN_MS = 2_000L
    }
}
