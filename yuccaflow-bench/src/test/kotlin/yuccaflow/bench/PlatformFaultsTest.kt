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

/** Stated target: a note is in force everywhere within 5 s with the log up. */
private const val IN_FORCE_MS = 5_000L
private const val CUT_MS = 6_000L

@Timeout(60)
class PlatformFaultsTest {
    /** Guards against a note that counts twice because its publisher repeated an append that had taken effect. */
    @Test
    fun `a note whose append answer is lost is in force once`() = underLoad(seed = 21) { cluster, load ->
        val version = currentVersion(cluster)
        cluster.switchLog("\"lose_append_answers\":1")
        Operators(cluster).publish("lost-answer", zoneNote("lost-answer", version, region = "breizh-2"))
        awaitVersion(cluster, version + 1)
        expectThat(auditAfter(cluster, load)).get { isClean }.isTrue()
        expectThat(cluster.configVersions()).isEqualTo(setOf<Long?>(version + 1))
    }

    /** Guards against routers that resolve racing notes differently, and against a second note that overwrites the first. */
    @Test
    fun `of two notes that touch the same entry at once one is accepted everywhere`() = underLoad(seed = 22) { cluster, _ ->
        val version = currentVersion(cluster)
        val operators = Operators(cluster)
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

    /** Guards against an isolated zone that keeps what the other zones take over. */
    @Test
    fun `a zone cut from the log and the other zones has no key in common with them`() = underLoad(seed = 23) { cluster, load ->
        val zone = cluster.deployment.zones[0]
        cluster.cutZone(zone, cut = true)
        delay(CUT_MS)
        cluster.cutZone(zone, cut = false)
        cluster.awaitRouters("/ready")
        expectThat(auditAfter(cluster, load)).get { isClean }.isTrue()
    }

    /** Guards against a target that is flooded with its old load when it is cold again. */
    @Test
    fun `a target that restarts cold sheds no more than was on its way and one probe for each slot`() =
        underLoad(seed = 24) { cluster, load ->
            val target = cluster.deployment.targets.first { !it.service.isDivided && it.service.postedShare == 0.0 }
            cluster.switchTargets(listOf(target.name), "\"restart\":true")
            delay(CUT_MS)
            val shed = cluster.runs().sumOf { it.targets[target.name]?.shed ?: 0 }
            expectThat(auditAfter(cluster, load)).get { isClean }.isTrue()
            expectThat(shed).isLessThanOrEqualTo(2L * target.slots)
        }

    private suspend fun currentVersion(cluster: Cluster): Long = cluster.configVersions().filterNotNull().max()

    private suspend fun awaitVersion(cluster: Cluster, version: Long) {
        awaitUntil("version $version at every router", IN_FORCE_MS) { cluster.configVersions() == setOf<Long?>(version) }
    }

    /** A small note that changes one zone entry, so that two of them touch the same entry. */
    private fun zoneNote(id: String, base: Long, region: String): String =
        "[note]\nid = $id\nbase = $base\n\n[zone brest]\naction = change\nregion = $region\n"
}
