package yuccaflow.bench

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

/** Objective: a key is available again within 3 s of a failure. */
private const val RECOVERY_LIMIT_MS = 3_000L
private const val OBSERVE_MS = 8_000L

/** At least 5 requests per second for each key, so that a measured outage ends with the outage and not with a much later request. */
private const val OUTAGE_RATE = 500.0
private const val PAUSE_MS = 4_000L

@Timeout(60)
class RouterFaultsTest {
    /** After the loss of a primary, other routers must take over its targets, but not before its lease has expired. */
    @Tag("known-red")
    @Test
    fun `a killed router is replaced within 3 s and nothing is lost or doubled`() = underLoad(
        seed = 11,
        rate = OUTAGE_RATE,
    ) { cluster, load ->
        cluster.routers[0].process.kill()
        delay(OBSERVE_MS)
        val longest = load.outages().values.maxOfOrNull { it.longestMs } ?: 0
        expectThat(stopAndAudit(cluster, load)).get { isClean }.isTrue()
        expectThat(longest).isLessThanOrEqualTo(RECOVERY_LIMIT_MS)
    }

    /** A router that resumes from a pause must not act as the primary of targets that others have taken over in the meantime. */
    @Test
    fun `a paused router that wakes does no work of its old lease`() = underLoad(seed = 12) { cluster, load ->
        val paused = cluster.routers[1].process
        paused.signal("STOP")
        delay(PAUSE_MS)
        paused.signal("CONT")
        delay(PAUSE_MS)
        expectThat(stopAndAudit(cluster, load)).get { isClean }.isTrue()
        cluster.awaitRouters("/ready")
    }

    /** A graceful shutdown must complete the requests in flight. */
    @Tag("known-red")
    @Test
    fun `a planned stop under load cuts no request and ends with status 0`() = underLoad(seed = 13) { cluster, load ->
        val stopped = cluster.routers[2].process
        stopped.terminate()
        val status = stopped.awaitExit(STOP_TIMEOUT_MS)
        delay(AFTER_STOP_MS)
        val audit = stopAndAudit(cluster, load)
        val total = load.results().getValue("all")
        expectThat(status).isEqualTo(0)
        expectThat(audit).get { isClean }.isTrue()
        expectThat(total.unknown + total.failed).describedAs("interrupted requests, ${load.reasons()}").isEqualTo(0)
    }

    private companion object {
        const val STOP_TIMEOUT_MS = 12_000L
        const val AFTER_STOP_MS = 1_000L
    }
}
