package yuccaflow.entry.keys.planner

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import yuccaflow.entry.keys.LAST_KEY

@DisplayName("Key ownership after the store has lost its last records")
class LostRecordsOwnershipTest {
    /**
     * Guards against two owners of a key, and a generation that two targets are given for it, when assignments and elections are lost and
     * offsets are issued again, under the faults of a system whose routers may be cut off from the store, targets and each other.
     */
    @Test
    fun `no key has two owners and no generation is given twice under random losses and faults`() {
        val failures = ArrayList<String>()
        var grants = 0
        for (seed in 1..SCHEDULES) {
            simulation(seed) {
                advance(random.nextLong(8_000))
                data.takeCopy()
                repeat(FAULTS_PER_SCHEDULE) {
                    randomFault()
                    advance(random.nextLong(4_000))
                }
                grants += targets.grantCount
                targets.violations.firstOrNull()?.let { failures += "seed $seed: $it (${targets.violations.size} in all)" }
            }
        }
        expectThat(failures).isEmpty()
        expectThat(grants).isGreaterThan(SCHEDULES * 100)
    }

    private fun PlannerSimulation.randomFault() {
        val node = routers.keys.random(random)
        val target = targets.incarnations.random(random)
        when (random.nextInt(18)) {
            0 -> routers.getValue(node).kill().also { startRouter(node) }
            1 -> routers.getValue(node).store.isDisconnected = true
            2 -> routers.values.forEach { it.store.isDisconnected = false }
            3 -> data.isDown = !data.isDown
            4 -> partitions += node to target.entry.id
            5 -> partitions.clear()
            6 -> targets.unansweredShare = if (random.nextBoolean()) 0.0 else 0.5
            7 -> suspend(routers.getValue(node), random.nextLong(MAX_SUSPENSION_MS), isClockStopped = random.nextBoolean())
            8 -> routers.getValue(node).store.losesAppendAnswers = random.nextBoolean()
            9 -> routers.getValue(node).store.appendDelayMs = if (random.nextBoolean()) 4 else random.nextLong(3_000)
            10 -> routers.getValue(node).store.isDisconnectedFromGroup = random.nextBoolean()
            11 -> if (!unreachableRouters.remove(node)) unreachableRouters += node
            12, 13 -> data.takeCopy()
            14, 15 -> loseRecords()
            else -> {
                targets.incarnations.filter { it.entry.id == target.entry.id }.forEach { it.isUp = false }
                if (random.nextBoolean()) startTarget(target.entry.id) else removeEntry(target)
            }
        }
    }

    /** Guards against keys that lose their owner because the planner stops renewing grants when the store has lost records. */
    @Test
    fun `all keys stay granted and the planner stays when the store loses its last seconds`() = simulation(1) {
        advance(6_000)
        data.takeCopy()
        advance(4_000)
        val acting = planner()!!
        data.isDown = true
        advance(1_500)
        loseRecords()
        data.isDown = false
        repeat(200) {
            advance(100)
            expectThat(ownedKeyCount()).isEqualTo(LAST_KEY + 1)
        }
        expectThat(planner()?.node).isEqualTo(acting.node)
        expectThat(targets.violations).isEmpty()
    }

    /** Guards against keys that stay without an owner because no router claims in the new era, or the one that does never assigns. */
    @Test
    fun `all keys are granted again after a loss at which the planner was lost as well`() = simulation(2) {
        advance(8_000)
        data.takeCopy()
        targets.incarnations[0].isUp = false
        advance(3_000)
        planner()!!.kill()
        loseRecords()
        advance(20_000)
        expectThat(ownedKeyCount()).isEqualTo(LAST_KEY + 1)
        expectThat(targets.violations).isEmpty()
    }

    private companion object {
        const val SCHEDULES = 150
        const val FAULTS_PER_SCHEDULE = 14
        const val MAX_SUSPENSION_MS = 15_000L
    }
}
