package yuccaflow.entry.keys

import kotlinx.coroutines.launch
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import yuccaflow.entry.fake.KEYED_SERVICE

@DisplayName("Planners of several routers")
class SoleOwnershipTest {
    /** Guards against keys that nobody is granted at the first start. */
    @Test
    fun `all keys are granted to one target each soon after the first start`() = world(1) {
        advance(5_000)
        expectThat(heldKeys()).isEqualTo(LAST_KEY + 1)
        expectThat(targets.violations).isEmpty()
    }

    /** Guards against renewals that end with the planner. */
    @Test
    fun `keys stay held when the planner is killed`() = world(2) {
        advance(5_000)
        planner()!!.kill()
        repeat(100) {
            advance(100)
            expectThat(heldKeys()).isEqualTo(LAST_KEY + 1)
        }
        expectThat(targets.violations).isEmpty()
    }

    /** Guards against a store outage that takes the keys from their owners at once. */
    @Test
    fun `keys stay held through a store outage of seven seconds`() = world(3) {
        advance(5_000)
        data.isDown = true
        repeat(70) {
            advance(100)
            expectThat(heldKeys()).isEqualTo(LAST_KEY + 1)
        }
        data.isDown = false
        advance(3_000)
        expectThat(heldKeys()).isEqualTo(LAST_KEY + 1)
        expectThat(targets.violations).isEmpty()
    }

    /** Guards against keys of a crashed target that wait for the end of its grant although its process is known to be gone. */
    @Test
    fun `keys of a crashed target are granted elsewhere within three seconds`() = world(4) {
        advance(8_000)
        targets.lives[0].isUp = false
        advance(3_000)
        expectThat(heldKeys()).isEqualTo(LAST_KEY + 1)
        expectThat(targets.violations).isEmpty()
    }

    /** Guards against keys that stay with a target that leaves and soon gets no work any more. */
    @Test
    fun `keys of a target that drains are granted elsewhere within two seconds`() = world(13) {
        advance(8_000)
        val leaving = targets.lives[0]
        rewrite(leaving.entry.copy(isDraining = true))
        advance(2_000)
        expectThat(leaving.holds(FencedKeyRange(FIRST_KEY, LAST_KEY, 0))).isEqualTo(false)
        expectThat(heldKeys()).isEqualTo(LAST_KEY + 1)
        expectThat(targets.violations).isEmpty()
    }

    /** Guards against a planned stop after which nobody renews or moves keys for seconds. */
    @Test
    fun `another router takes over within a second when the planner stops in order`() = world(5) {
        advance(5_000)
        val stopping = planner()!!
        scope.launch { stopping.resign() }
        advance(1_500)
        expectThat(planner()?.node == stopping.node).isEqualTo(false)
        expectThat(planner() != null).isEqualTo(true)
        expectThat(targets.violations).isEmpty()
    }

    /** Guards against generations that start again when every process is lost. */
    @Test
    fun `generations go on rising after all routers are lost at once`() = world(6) {
        advance(5_000)
        val before = routers.values
            .first()
            .records
            .ofService(KEYED_SERVICE)
            .maxOf { it.generation }
        routers.values.forEach { it.kill() }
        advance(1_000)
        routers.keys.toList().forEach(::startRouter)
        advance(2_000)
        targets.lives[1].isUp = false
        advance(12_000)
        val after = routers.values
            .first()
            .records
            .ofService(KEYED_SERVICE)
        expectThat(after.filter { it.generation > before }.size).isGreaterThan(0)
        expectThat(heldKeys()).isEqualTo(LAST_KEY + 1)
        expectThat(targets.violations).isEmpty()
    }

    /** Guards against two owners of a key under losses, cuts, late orders and lost answers in any order. */
    @Test
    fun `no key ever has two owners under random faults`() {
        var grants = 0
        for (seed in 1..SCHEDULES) {
            world(seed) {
                advance(random.nextLong(6_000))
                repeat(FAULTS_PER_SCHEDULE) {
                    randomFault()
                    advance(random.nextLong(4_000))
                }
                expectThat(targets.violations).describedAs("seed $seed").isEmpty()
                grants += targets.grants
            }
        }
        expectThat(grants).isGreaterThan(SCHEDULES * 100)
    }

    private fun PlanningWorld.randomFault() {
        val node = routers.keys.random(random)
        val target = targets.lives.random(random)
        when (random.nextInt(12)) {
            0 -> routers.getValue(node).kill().also { startRouter(node) }
            1 -> routers.getValue(node).store.isDisconnected = true
            2 -> routers.values.forEach { it.store.isDisconnected = false }
            3 -> data.isDown = !data.isDown
            4 -> cuts += node to target.entry.id
            5 -> cuts.clear()
            6 -> targets.lateShare = if (random.nextBoolean()) 0.0 else 0.5
            9 -> targets.cutsKeepOrders = random.nextBoolean()
            8 -> targets.cutsReset = random.nextBoolean()
            10 -> suspend(routers.getValue(node), random.nextLong(LONGEST_SUSPENSION_MS), standsStill = random.nextBoolean())
            7 -> routers.getValue(node).store.losesAppendAnswers = random.nextBoolean()
            else -> {
                targets.lives.filter { it.entry.id == target.entry.id }.forEach { it.isUp = false }
                if (random.nextBoolean()) startTarget(target.entry.id) else removeEntry(target)
            }
        }
    }

    /** Guards against a successor that counts the end of a grant from its own failed renewal, while the former planner still renews. */
    @Test
    fun `a successor waits for the grants of a planner that is cut off with its targets`() = world(8) {
        advance(6_000)
        val former = planner()!!
        val island = setOf("t0", "t1")
        routers.keys.forEach { node ->
            targets.lives.forEach {
                if ((node == former.node) !=
                    (it.entry.id in island)
                ) {
                    cuts += node to it.entry.id
                }
            }
        }
        former.store.isDisconnected = true
        advance(1_500)
        island.forEach { id -> removeEntry(targets.lives.first { it.entry.id == id }) }
        advance(20_000)
        expectThat(targets.violations).isEmpty()
        expectThat(planner()?.node == former.node).isEqualTo(false)
    }

    /** Guards against a successor's successor that takes a resignation for the end of all former planners. */
    @Test
    fun `the successor of a planner that resigns soon waits for the one before, which is cut off with its targets`() {
        val isSucceeded: PlanningWorld.(PlanningRouter) -> Boolean = { former -> (routers.values - former).any { it.authority.isValid() } }
        var succeededAtMs = 0L
        world(13) {
            advance(6_000)
            val former = planner()!!.also { loseFromGroup(it) }
            while (!isSucceeded(former)) advance(10)
            succeededAtMs = timer.nowMs()
        }
        world(13) {
            advance(6_000)
            val former = planner()!!.also { loseFromGroup(it) }
            advance(succeededAtMs - 6_000 - CUT_BEFORE_MS)
            former.store.isDisconnected = true
            isolate(former, setOf("t0", "t1"))
            while (!isSucceeded(former)) advance(10)
            val successor = (routers.values - former).first { it.authority.isValid() }
            scope.launch { successor.resign() }
            advance(20_000)
            expectThat(targets.violations).isEmpty()
            expectThat(planner()?.node == former.node).isEqualTo(false)
        }
    }

    private fun PlanningWorld.loseFromGroup(router: PlanningRouter) {
        router.store.isDisconnectedFromGroup = true
        silentRouters += router.node
    }

    /** Cuts the router and the targets with [ids] off from the others, but not from each other. The entries of the targets lapse. */
    private fun PlanningWorld.isolate(router: PlanningRouter, ids: Set<String>) {
        routers.keys.forEach { node ->
            targets.lives.forEach { if ((node == router.node) != (it.entry.id in ids)) cuts += node to it.entry.id }
        }
        silentRouters += router.node
        ids.forEach { id -> removeEntry(targets.lives.first { it.entry.id == id }) }
    }

    /** Guards against a planner that goes on although its resignation, whose answer was lost, stands in the store. */
    @Test
    fun `a planner whose resignation got no answer gives no more orders`() = world(14) {
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

    /** Guards against keys that a new life of a target got by a renewal for its former life, and that are granted elsewhere at once. */
    @Test
    fun `keys that a restarted target got by a renewal for its former life are taken back first`() = world(15) {
        advance(8_000)
        restartInPlace(targets.lives[0], entryMs = 1_500)
        advance(12_000)
        expectThat(targets.violations).isEmpty()
        expectThat(heldKeys()).isEqualTo(LAST_KEY + 1)
    }

    /** Guards against a partition that resets connections and is taken for the end of the target's process. */
    @Test
    fun `a refused connection from another zone does not show that a target is gone`() = world(9) {
        advance(6_000)
        targets.cutsReset = true
        cuts += routers.keys.map { it to "t0" }
        removeEntry(targets.lives.first { it.entry.id == "t0" })
        advance(12_000)
        expectThat(targets.violations).isEmpty()
        expectThat(heldKeys()).isEqualTo(LAST_KEY + 1)
    }

    /** Guards against renewals that cannot be sent and yet put off the time at which a silent target holds nothing any more. */
    @Test
    fun `keys of a target that falls silent are granted elsewhere when its last grant has run out`() = world(10) {
        advance(6_000)
        targets.cutsKeepOrders = true
        cuts += routers.keys.map { it to "t0" }
        advance(2_600)
        removeEntry(targets.lives.first { it.entry.id == "t0" })
        advance(3_400)
        expectThat(targets.violations).isEmpty()
        expectThat(heldKeys()).isEqualTo(LAST_KEY + 1)
    }

    /** Guards against a planner that is replaced, and moves no keys for seconds, only because the group has given its work to others. */
    @Test
    fun `a planner without a part of the work of the group stays the planner`() = world(12) {
        advance(6_000)
        val acting = planner()!!
        data.memberSeenAtMs.keys
            .first { it.startsWith(acting.node) }
            .let { data.memberSeenAtMs -= it }
        data.maxListedMembers = 1
        advance(6_000)
        expectThat(planner()?.node).isEqualTo(acting.node)
    }

    /** Guards against a planner that wakes, believes that no time has passed, and renews what its successor has given away. */
    @Test
    fun `a planner that was suspended gives no order when it wakes`() {
        for (standsStill in listOf(true, false)) {
            world(11) {
                advance(6_000)
                val former = planner()!!
                // The successor cannot tell the target, so it waits for the end of the grant.
                cuts += (routers.keys - former.node).map { it to "t0" }
                removeEntry(targets.lives.first { it.entry.id == "t0" })
                suspend(former, 20_000, standsStill)
                advance(19_900)
                expectThat(planner()?.node == former.node).isEqualTo(false)
                advance(10_000)
                expectThat(targets.violations).isEmpty()
                expectThat(heldKeys()).isEqualTo(LAST_KEY + 1)
            }
        }
    }

    /** Guards against ranges that move without a need: each move makes the keys slow and is paid for. */
    @Test
    fun `a crash of one target moves only its own keys`() = world(7) {
        advance(8_000)
        val before = routers.values
            .first()
            .records
            .ofService(KEYED_SERVICE)
        targets.lives[2].isUp = false
        advance(3_000)
        val after = routers.values
            .first()
            .records
            .ofService(KEYED_SERVICE)
        val moved = after.filter { it !in before }.sumOf { it.width }
        expectThat(moved).isLessThan((LAST_KEY + 1) / 4)
    }

    private companion object {
        const val SCHEDULES = 60
        const val FAULTS_PER_SCHEDULE = 14
        const val CUT_BEFORE_MS = 60L
        const val LONGEST_SUSPENSION_MS = 15_000L
    }
}
