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

class TargetStandinTest {
    private val book = RunBook()
    private val spec =
        TargetSpec("t-1", "s", slots = 3, checksFences = false, meanMs = 20.0, serviceTime = ServiceTime.FIXED, warmUpRequests = 2)
    private val target = TargetStandin(spec, book, seed = 1)

    @Nested
    inner class Slots {
        /** Guards against a target that bears full load at once after a cold start. */
        @Test
        fun `a cold target sheds above one slot and warms up with answers`(): Unit = runBlocking {
            switch("""{"cold": true}""")
            expectThat(together(3).map { it.status }.sorted()).containsExactly(OK, UNAVAILABLE, UNAVAILABLE)
            together(1)
            expectThat(together(3).map { it.status }.sorted()).containsExactly(OK, OK, UNAVAILABLE)
        }
    }

    @Nested
    inner class Deadlines {
        /** Guards against a frozen target that runs old requests when it wakes. */
        @Test
        fun `work past its run-before does not run`(): Unit = runBlocking {
            val answer = work("r-1", "Yuccaflow-Run-Before" to "1")
            expectThat(answer.headers["Yuccaflow-Outcome"]).isEqualTo("not-run")
            expectThat(book.summary().ranIds["r"]).isNull()
        }
    }

    @Nested
    inner class Records {
        /** Guards against doubled runs that go unnoticed. */
        @Test
        fun `a second run of an id is listed as doubled`(): Unit = runBlocking {
            listOf("r-1", "r-2", "r-3", "r-2").forEach { work(it) }
            expectThat(book.summary().ranIds["r"]).isEqualTo("1-3")
            expectThat(book.summary().doubledIds).containsExactly("r-2")
        }
    }

    @Nested
    inner class Grants {
        private val grants = GrantBook()

        /** Guards against an old owner that takes a range back with a late grant. */
        @Test
        fun `a grant with a lower epoch for an overlapping range is refused`() {
            expectThat(grants.grant(order(epoch = 7, from = "a", to = "m"), NOW)).isNull()
            expectThat(grants.grant(order(epoch = 6, from = "c", to = "d"), NOW)).isNotNull()
            expectThat(grants.grant(order(epoch = 6, from = "m", to = null), NOW)).isNull()
        }

        /** Guards against work under an expired grant or another epoch. */
        @Test
        fun `work needs a current grant of its epoch`() {
            grants.grant(order(epoch = 7, from = "a", to = "m"), NOW)
            expectThat(grants.check("s", "b", 7, 1, NOW)).isNull()
            expectThat(grants.check("s", "b", 6, 1, NOW)).isNotNull()
            expectThat(grants.check("s", "z", 7, 1, NOW)).isNotNull()
            expectThat(grants.check("s", "b", 7, 1, EXPIRY)).isNotNull()
        }

        private fun order(epoch: Long, from: String, to: String?) = GrantBody(listOf(RangeBody("s", from, to, epoch)), 1, EXPIRY, "")
    }

    private suspend fun together(count: Int): List<HttpResponse> = coroutineScope {
        (1..count).map { async { work("p-$it") } }.awaitAll()
    }

    private suspend fun work(id: String, vararg headers: Pair<String, String>): HttpResponse =
        target.handle(HttpRequest("POST", "/s/x", headersOf("X-Request-Id" to id, *headers)))

    private fun switch(json: String) = target.patch(Json.parseToJsonElement(json).jsonObject)

    private companion object {
        const val NOW = 10L
        const val EXPIRY = 100L
    }
}
