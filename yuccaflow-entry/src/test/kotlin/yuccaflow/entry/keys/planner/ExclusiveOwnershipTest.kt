package yuccaflow.entry.keys.planner

import kotlinx.coroutines.launch
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import yuccaflow.entry.fake.KEYED_SERVICE
import yuccaflow.entry.keys.FIRST_KEY
import yuccaflow.entry.keys.FencedKeyRange
import yuccaflow.entry.keys.KeyOwnershipSettings
import yuccaflow.entry.keys.LAST_KEY

@DisplayName("Key ownership with several planners")
class ExclusiveOwnershipTest {
    /** Guards against keys that are granted to no target at the first start. */
    @Test
    fun `every key is granted to one target soon after the first start`() = simulation(1) {
        advance(5_000)
        expectThat(ownedKeyCount()).isEqualTo(LAST_KEY + 1)
        expectThat(targets.violations).isEmpty()
    }

    /** Guards against renewals that stop with the planner, so that grants expire before the successor renews them. */
    @Test
    fun `all keys stay granted when the planner is killed`() = simulation(2) {
        advance(5_000)
        planner()!!.kill()
        repeat(100) {
            advance(100)
            expectThat(ownedKeyCount()).isEqualTo(LAST_KEY + 1)
        }
        expectThat(targets.violations).isEmpty()
    }

    /** Guards against owners that lose their keys as soon as the store is down. */
    @Test
    fun `all keys stay granted during a store outage of seven seconds`() = simulation(3) {
        advance(5_000)
        data.isDown = true
        repeat(70) {
            advance(100)
            expectThat(ownedKeyCount()).isEqualTo(LAST_KEY + 1)
        }
        data.isDown = false
        advance(3_000)
        expectThat(ownedKeyCount()).isEqualTo(LAST_KEY + 1)
        expectThat(targets.violations).isEmpty()
    }

    /** Guards against keys of a crashed target that stay without an owner for longer than its grants can last. */
    @Test
    fun `keys of a crashed target are granted elsewhere as soon as its grants have expired`() = simulation(4) {
        advance(8_000)
        targets.incarnations[0].isUp = false
        advance(KeyOwnershipSettings().maxGrantDurationMs + KeyOwnershipSettings().planIntervalMs)
        expectThat(ownedKeyCount()).isEqualTo(LAST_KEY + 1)
        expectThat(targets.violations).isEmpty()
    }

    /** Guards against keys that stay with a draining target, which soon receives no more work. */
    @Test
    fun `keys of a draining target are granted elsewhere within two seconds`() = simulation(13) {
        advance(8_000)
        val leaving = targets.incarnations[0]
        writeEntry(leaving.entry.copy(isDraining = true))
        advance(2_000)
        expectThat(leaving.holds(FencedKeyRange(FIRST_KEY, LAST_KEY, 0))).isEqualTo(false)
        expectThat(ownedKeyCount()).isEqualTo(LAST_KEY + 1)
        expectThat(targets.violations).isEmpty()
    }

    /** Guards against a graceful shutdown after which no router renews grants or moves keys for seconds. */
    @Test
    fun `another router takes over within 1500 ms when the planner shuts down gracefully`() = simulation(5) {
        advance(5_000)
        val stopping = planner()!!
        scope.launch { stopping.resign() }
        advance(1_500)
        expectThat(planner()?.node == stopping.node).isEqualTo(false)
        expectThat(planner() != null).isEqualTo(true)
        expectThat(targets.violations).isEmpty()
    }

    /** Guards against generations that start over when every router process is lost. */
    @Test
    fun `generations keep increasing after all routers are lost at once`() = simulation(6) {
        advance(5_000)
        val before = routers.values
            .first()
            .clusterState
            .ofService(KEYED_SERVICE)
            .maxOf { it.generation }
        routers.values.forEach { it.kill() }
        advance(1_000)
        routers.keys.toList().forEach(::startRouter)
        advance(2_000)
        targets.incarnations[1].isUp = false
        advance(12_000)
        val after = routers.values
            .first()
            .clusterState
            .ofService(KEYED_SERVICE)
        expectThat(after.filter { it.generation > before }.size).isGreaterThan(0)
        expectThat(ownedKeyCount()).isEqualTo(LAST_KEY + 1)
        expectThat(targets.violations).isEmpty()
    }

    /** Guards against two owners of a key under crashes, partitions, late calls, suspensions and lost answers in any order. */
    @Test
    fun `no key ever has two owners under random faults`() {
        var grants = 0
        for (seed in 1..FAULT_SCHEDULES) {
            simulation(seed) {
                advance(random.nextLong(6_000))
                repeat(FAULTS_PER_SCHEDULE) {
                    randomFault()
                    advance(random.nextLong(4_000))
                }
                expectThat(targets.violations).describedAs("seed $seed").isEmpty()
                grants += targets.grantCount
            }
        }
        expectThat(grants).isGreaterThan(FAULT_SCHEDULES * 100)
    }

    private fun PlannerSimulation.randomFault() {
        val node = routers.keys.random(random)
        val target = targets.incarnations.random(random)
        when (random.nextInt(12)) {
            0 -> routers.getValue(node).kill().also { startRouter(node) }
            1 -> routers.getValue(node).store.isDisconnected = true
            2 -> routers.values.forEach { it.store.isDisconnected = false }
            3 -> data.isDown = !data.isDown
            4 -> partitions += node to target.entry.id
            5 -> partitions.clear()
            6 -> targets.unansweredShare = if (random.nextBoolean()) 0.0 else 0.5
            9 -> targets.partitionsBlockConnecting = random.nextBoolean()
            8 -> targets.partitionsResetConnections = random.nextBoolean()
            10 -> suspend(routers.getValue(node), random.nextLong(MAX_SUSPENSION_MS), isClockStopped = random.nextBoolean())
            7 -> routers.getValue(node).store.losesAppendAnswers = random.nextBoolean()
            else -> {
                targets.incarnations.filter { it.entry.id == target.entry.id }.forEach { it.isUp = false }
                if (random.nextBoolean()) startTarget(target.entry.id) else removeEntry(target)
            }
        }
    }

    /** Guards against a successor that measures a grant from its own failed renewal while the former planner still renews it. */
    @Test
    fun `a successor waits for the grants of a planner that is partitioned together with its targets`() = simulation(8) {
        advance(6_000)
        val former = planner()!!
        val isolatedTargets = setOf("t0", "t1")
        routers.keys.forEach { node ->
            targets.incarnations.forEach {
                if ((node == former.node) !=
                    (it.entry.id in isolatedTargets)
                ) {
                    partitions += node to it.entry.id
                }
            }
        }
        former.store.isDisconnected = true
        advance(1_500)
        isolatedTargets.forEach { id -> removeEntry(targets.incarnations.first { it.entry.id == id }) }
        advance(20_000)
        expectThat(targets.violations).isEmpty()
        expectThat(planner()?.node == former.node).isEqualTo(false)
    }

    /**
     * Guards against a planner that takes the resignation of its predecessor as proof that all former planners have ended. If the
     * predecessor resigned early in its term, the planner before it may still renew the grants of targets in its partition.
     */
    @Test
    fun `the successor of a planner that resigned early waits for the grants of the planner before it`() =
        expectWaitsForTheOneBefore { successor -> scope.launch { successor.resign() } }

    /**
     * Guards against a restarted planner that takes the end of its own previous incarnation as proof that all former planners have ended.
     */
    @Test
    fun `a planner that restarted early in its term waits for the grants of the planner before it`() =
        expectWaitsForTheOneBefore { successor ->
            successor.kill()
            startRouter(successor.node)
        }

    /** Lets [endTerm] end the term of a planner that has just taken over from one that is partitioned together with some targets. */
    private fun expectWaitsForTheOneBefore(endTerm: PlannerSimulation.(SimulatedRouter) -> Unit) {
        val hasSuccessor: PlannerSimulation.(SimulatedRouter) -> Boolean = { former ->
            (routers.values - former).any { it.authority.isValid() }
        }
        var takenOverAtMs = 0L
        simulation(13) {
            advance(6_000)
            val former = planner()!!.also { disconnectFromGroup(it) }
            while (!hasSuccessor(former)) advance(10)
            takenOverAtMs = timer.nowMs()
        }
        simulation(13) {
            advance(6_000)
            val former = planner()!!.also { disconnectFromGroup(it) }
            advance(takenOverAtMs - 6_000 - PARTITION_LEAD_MS)
            former.store.isDisconnected = true
            isolate(former, setOf("t0", "t1"))
            while (!hasSuccessor(former)) advance(10)
            val successor = (routers.values - former).first { it.authority.isValid() }
            endTerm(successor)
            advance(20_000)
            expectThat(targets.violations).isEmpty()
            expectThat(planner()?.node == former.node).isEqualTo(false)
        }
    }

    private fun PlannerSimulation.disconnectFromGroup(router: SimulatedRouter) {
        router.store.isDisconnectedFromGroup = true
        unreachableRouters += router.node
    }

    /** Partitions [router] and the targets with [ids] from all others, but not from each other, and removes these targets' entries. */
    private fun PlannerSimulation.isolate(router: SimulatedRouter, ids: Set<String>) {
        routers.keys.forEach { node ->
            targets.incarnations.forEach { if ((node == router.node) != (it.entry.id in ids)) partitions += node to it.entry.id }
        }
        unreachableRouters += router.node
        ids.forEach { id -> removeEntry(targets.incarnations.first { it.entry.id == id }) }
    }

    /** Guards against a planner that continues because the answer to its resignation was lost, although the store has the record. */
    @Test
    fun `a planner whose resignation got no answer makes no more calls`() = simulation(14) {
        advance(6_000)
        val former = planner()!!
        former.store.losesAppendAnswers = true
        former.store.disconnectsAfterAppend = true
        scope.launch { former.resign() }
        advance(200)
        isolate(former, setOf("t0", "t1"))
        advance(20_000)
        expectThat(targets.violations).isEmpty()
        expectThat(planner()?.node == former.node).isEqualTo(false)
    }

    /** Guards against moving keys at once although the new incarnation of their owner accepted a renewal meant for the previous one. */
    @Test
    fun `keys that a restarted target got by a renewal for its previous incarnation are released first`() = simulation(15) {
        advance(8_000)
        restartInPlace(targets.incarnations[0], entryDelayMs = 1_500)
        advance(12_000)
        expectThat(targets.violations).isEmpty()
        expectThat(ownedKeyCount()).isEqualTo(LAST_KEY + 1)
    }

    /** Guards against taking a partition that resets connections for the end of the target's process. */
    @Test
    fun `a refused connection from another zone does not prove that a target has ended`() = simulation(9) {
        advance(6_000)
        targets.partitionsResetConnections = true
        partitions += routers.keys.map { it to "t0" }
        removeEntry(targets.incarnations.first { it.entry.id == "t0" })
        advance(12_000)
        expectThat(targets.violations).isEmpty()
        expectThat(ownedKeyCount()).isEqualTo(LAST_KEY + 1)
    }

    /** Guards against renewals that cannot be sent and yet postpone the time from which an unreachable target is known to hold no grant. */
    @Test
    fun `keys of an unreachable target are granted elsewhere when its last grant has expired`() = simulation(10) {
        advance(6_000)
        targets.partitionsBlockConnecting = true
        partitions += routers.keys.map { it to "t0" }
        advance(2_600)
        removeEntry(targets.incarnations.first { it.entry.id == "t0" })
        advance(3_400)
        expectThat(targets.violations).isEmpty()
        expectThat(ownedKeyCount()).isEqualTo(LAST_KEY + 1)
    }

    /** Guards against replacing an active planner, which stops moves for seconds, only because the group gave its work to other members. */
    @Test
    fun `a planner without a share of the work of the group stays the planner`() = simulation(12) {
        advance(6_000)
        val acting = planner()!!
        data.memberSeenAtMs.keys
            .first { it.startsWith(acting.node) }
            .let { data.memberSeenAtMs -= it }
        data.maxListedMembers = 1
        advance(6_000)
        expectThat(planner()?.node).isEqualTo(acting.node)
    }

    /** Guards against a planner that resumes, assumes that no time has passed, and renews grants of keys that its successor has moved. */
    @Test
    fun `a planner that was suspended makes no calls when it resumes`() {
        for (isClockStopped in listOf(true, false)) {
            simulation(11) {
                advance(6_000)
                val former = planner()!!
                // The successor cannot reach the target, so it waits for the grant to expire.
                partitions += (routers.keys - former.node).map { it to "t0" }
                removeEntry(targets.incarnations.first { it.entry.id == "t0" })
                suspend(former, 20_000, isClockStopped)
                advance(19_900)
                expectThat(planner()?.node == former.node).isEqualTo(false)
                advance(10_000)
                expectThat(targets.violations).isEmpty()
                expectThat(ownedKeyCount()).isEqualTo(LAST_KEY + 1)
            }
        }
    }

    /** Guards against needless moves, because each move slows down requests for its keys and costs money. */
    @Test
    fun `a crash of one target moves only its own keys`() = simulation(7) {
        advance(8_000)
        val before = routers.values
            .first()
            .clusterState
            .ofService(KEYED_SERVICE)
        targets.incarnations[2].isUp = false
        advance(3_000)
        val after = routers.values
            .first()
            .clusterState
            .ofService(KEYED_SERVICE)
        val moved = after.filter { it !in before }.sumOf { it.width }
        expectThat(moved).isLessThan((LAST_KEY + 1) / 4)
    }

    private companion object {
        const val FAULT_SCHEDULES = 60
        const val FAULTS_PER_SCHEDULE = 14
        const val PARTITION_LEAD_MS = 60L
        const val MAX_SUSPENSION_MS = 15_000L
    }
}
