package yuccaflow.standins

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.headersOf

/** The simulated target must limit, fence and record requests as a real one does, because the audits of experiments rely on its records. */
class TargetStandinTest {
    private val runRecorder = RunRecorder()
    private val spec =
        TargetSpec("t-1", "s", slots = 3, checksFences = false, meanMs = 20.0, serviceTime = ServiceTime.FIXED, warmUpRequests = 2)
    private val target = TargetStandin(spec, runRecorder, seed = 1)

    @Nested
    inner class Slots {
        /** A target must not accept its full load immediately after a cold start. Here two answers add a slot. */
        @Test
        fun `a cold target has one slot and gains slots as it answers requests`(): Unit = runBlocking {
            patchSwitches("""{"cold": true}""")
            expectThat(sendConcurrently(3).map { it.status }.sorted()).containsExactly(OK, UNAVAILABLE, UNAVAILABLE)
            sendConcurrently(1)
            expectThat(sendConcurrently(3).map { it.status }.sorted()).containsExactly(OK, OK, UNAVAILABLE)
        }
    }

    @Nested
    inner class Deadlines {
        /** A target that was frozen must not execute requests whose time has passed. The clock of a target starts above 1 ms. */
        @Test
        fun `a request past its run-before time does not run`(): Unit = runBlocking {
            val answer = sendWork("r-1", "Yuccaflow-Run-Before" to "1")
            expectThat(answer.headers["Yuccaflow-Outcome"]).isEqualTo("not-run")
            expectThat(runRecorder.summary().ranIds["r"]).isNull()
        }
    }

    @Nested
    inner class RecordedRuns {
        /** Ids are listed as ranges of numbers, which cannot show a duplicate execution, so duplicates are listed separately. */
        @Test
        fun `a second run of the same id is listed as a duplicate`(): Unit = runBlocking {
            listOf("r-1", "r-2", "r-3", "r-2").forEach { sendWork(it) }
            expectThat(runRecorder.summary().ranIds["r"]).isEqualTo("1-3")
            expectThat(runRecorder.summary().doubledIds).containsExactly("r-2")
        }
    }

    @Nested
    inner class Grants {
        private val grants = GrantRegistry()

        /** A delayed grant of a former owner must not take effect on a range that has moved; ranges that do not overlap are unaffected. */
        @Test
        fun `a grant with a lower epoch for an overlapping range is refused`() {
            expectThat(grants.accept(grantRequest(epoch = 7, from = "a", to = "m"), NOW_CLOCK_MS)).isNull()
            expectThat(grants.accept(grantRequest(epoch = 6, from = "c", to = "d"), NOW_CLOCK_MS)).isNotNull()
            expectThat(grants.accept(grantRequest(epoch = 6, from = "m", to = null), NOW_CLOCK_MS)).isNull()
        }

        /** Refused in this order: another epoch, a key outside of the range, an expired grant. */
        @Test
        fun `a request needs an unexpired grant for its key with the same epoch`() {
            grants.accept(grantRequest(epoch = 7, from = "a", to = "m"), NOW_CLOCK_MS)
            expectThat(grants.check("s", "b", 7, 1, NOW_CLOCK_MS)).isNull()
            expectThat(grants.check("s", "b", 6, 1, NOW_CLOCK_MS)).isNotNull()
            expectThat(grants.check("s", "z", 7, 1, NOW_CLOCK_MS)).isNotNull()
            expectThat(grants.check("s", "b", 7, 1, EXPIRES_AT_CLOCK_MS)).isNotNull()
        }

        private fun grantRequest(epoch: Long, from: String, to: String?) = GrantRequest(
            listOf(GrantedRange("s", from, to, epoch)),
            1,
            EXPIRES_AT_CLOCK_MS,
            "",
        )
    }

    private suspend fun sendConcurrently(count: Int): List<HttpResponse> = coroutineScope {
        (1..count).map { async { sendWork("p-$it") } }.awaitAll()
    }

    private suspend fun sendWork(id: String, vararg headers: Pair<String, String>): HttpResponse =
        target.handle(HttpRequest("POST", "/s/x", headersOf("X-Request-Id" to id, *headers)))

    private fun patchSwitches(json: String) = target.patch(Json.parseToJsonElement(json).jsonObject)

    private companion object {
        const val NOW_CLOCK_MS = 10L
        const val EXPIRES_AT_CLOCK_MS = 100L
    }
}
