package yuccaflow.bench

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

/** Objective: a release note is in force at every router within 5 s while the log service is available. */
private const val IN_FORCE_MS = 5_000L
private const val FAULT_MS = 6_000L

@Timeout(60)
class PlatformFaultsTest {
    /** A note must not be applied twice when its publisher retries an append that had taken effect. */
    @Test
    fun `a note whose append response is lost is applied once`() = underLoad(seed = 21) { cluster, load ->
        val version = currentVersion(cluster)
        cluster.setLogSwitches("\"lose_append_answers\":1")
        OperatorCli(cluster).publish("lost-answer", zoneNote("lost-answer", version, region = "breizh-2"))
        awaitVersion(cluster, version + 1)
        expectThat(stopAndAudit(cluster, load)).get { isClean }.isTrue()
        expectThat(cluster.configVersions()).isEqualTo(setOf<Long?>(version + 1))
    }

    /** All routers must resolve a conflict of concurrent notes alike, and the second note must not overwrite the first. */
    @Test
    fun `of two concurrent notes for the same entry every router accepts the same one`() = underLoad(seed = 22) { cluster, _ ->
        val version = currentVersion(cluster)
        val operators = OperatorCli(cluster)
        val statuses = coroutineScope {
            listOf("race-a" to "breizh-a", "race-b" to "breizh-b")
                .map { (id, region) -> async { operators.tryPublish(id, zoneNote(id, version, region)) } }
                .awaitAll()
        }
        awaitVersion(cluster, version + 1)
        delay(IN_FORCE_MS)
        expectThat(statuses.count { it == 0 }).describedAs("accepted notes, $statuses").isEqualTo(1)
        expectThat(cluster.configVersions()).isEqualTo(setOf<Long?>(version + 1))
    }

    /** An isolated zone must give up the keys that other zones take over. */
    @Test
    fun `a zone partitioned from the log and the other zones shares no key with them`() = underLoad(seed = 23) { cluster, load ->
        val zone = cluster.deployment.zones[0]
        cluster.setPartitioned(zone, isPartitioned = true)
        delay(FAULT_MS)
        cluster.setPartitioned(zone, isPartitioned = false)
        cluster.awaitRouters("/ready")
        expectThat(stopAndAudit(cluster, load)).get { isClean }.isTrue()
    }

    /** A target that restarts cold must not get its former load at once. */
    @Test
    fun `a target that restarts cold sheds at most the requests in transit and one probe per slot`() =
        underLoad(seed = 24) { cluster, load ->
            val target = cluster.deployment.targets.first { !it.service.isKeyed && it.service.postedShare == 0.0 }
            cluster.setTargetSwitches(listOf(target.name), "\"restart\":true")
            delay(FAULT_MS)
            val shed = cluster.runs().sumOf { it.targets[target.name]?.shed ?: 0 }
            expectThat(stopAndAudit(cluster, load)).get { isClean }.isTrue()
            expectThat(shed).isLessThanOrEqualTo(2L * target.slots)
        }

    private suspend fun currentVersion(cluster: Cluster): Long = cluster.configVersions().filterNotNull().max()

    private suspend fun awaitVersion(cluster: Cluster, version: Long) {
        awaitUntil("version $version at every router", IN_FORCE_MS) { cluster.configVersions() == setOf<Long?>(version) }
    }

    /** A note that changes a single zone entry, so that two of them conflict. */
    private fun zoneNote(id: String, base: Long, region: String): String =
        "[note]\nid = $id\nbase = $base\n\n[zone brest]\naction = change\nregion = $region\n"
}
