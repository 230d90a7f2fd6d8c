package yuccaflow.entry.routing

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import yuccaflow.entry.store.KeyedRecord

@DisplayName("A request router whose routing table may be out of date")
internal class RouteFinderTest {
    @Nested
    @DisplayName("for a path without a route")
    inner class PathWithoutRoute : RequestRouterFixture() {
        /** Guards against a 404 for a route that operators added seconds ago, whatever delayed the record on this router. */
        @Test
        fun `refuses the request as not run`() = runTest {
            freshness.freshAtMs = timer.now - TABLE_AGE_MS
            val response = handleRequest("/added/x")
            expectThat(response.status).isEqualTo(503)
            expectThat(response.headers["Retry-After"]).isNotNull()
            expectThat(sent).isEmpty()
            expectThat(log.count("request_unrouted")).isEqualTo(1)
        }

        /** Guards against a refusal although the record only waited behind the request on a late event loop. */
        @Test
        fun `answers by the table that arrives while the request waits`() = runTest {
            freshness.freshAtMs = timer.now - TABLE_AGE_MS
            freshness.onWait = { freshness.freshAtMs = timer.now }
            expectThat(handleRequest("/unknown/x").status).isEqualTo(404)
        }

        /** Guards against callers of paths that never existed that come back again and again. */
        @Test
        fun `says that there is no route once the table is recent`() = runTest {
            freshness.freshAtMs = timer.now
            expectThat(handleRequest("/unknown/x").status).isEqualTo(404)
        }
    }

    @Nested
    @DisplayName("for a path with an invalid route")
    inner class PathWithInvalidRoute : RequestRouterFixture() {
        /** Guards against requests that run as a route with a shorter prefix says, and against a 404 for a route that is there. */
        @Test
        fun `refuses the request as not run`() = runTest {
            freshness.freshAtMs = timer.now
            val response = handleRequest("/read/odd/x")
            expectThat(response.status).isEqualTo(503)
            expectThat(response.headers["Retry-After"]).isNotNull()
            expectThat(sent).isEmpty()
        }
    }

    @Nested
    @DisplayName("for a path with a route")
    inner class PathWithRoute : RequestRouterFixture() {
        /** Guards against a router that serves nobody while the store cannot be reached. */
        @Test
        fun `serves the request`() = runTest {
            freshness.freshAtMs = timer.now - 60_000
            expectThat(handleRequest("/read/x").status).isEqualTo(200)
            expectThat(sent).hasSize(1)
        }

        /** Guards against requests that are handled as a replaced configuration says, whatever delays the new one (CONFIG). */
        @Test
        fun `refuses the request as not run while later records are known to be missing`() = runTest {
            freshness.freshAtMs = timer.now - TABLE_AGE_MS
            freshness.isMissingRecords = true
            val response = handleRequest("/read/x")
            expectThat(response.status).isEqualTo(503)
            expectThat(response.headers["Retry-After"]).isNotNull()
            expectThat(sent).isEmpty()
            expectThat(log.count("request_unrouted")).isEqualTo(1)
        }

        /** Guards against requests that are sent to targets which have left, whatever delays their records (DRAIN). */
        @Test
        fun `refuses the request as not run while later entries of targets are known to be missing`() = runTest {
            targetsFreshness.freshAtMs = timer.now - TABLE_AGE_MS
            targetsFreshness.isMissingRecords = true
            expectThat(handleRequest("/read/x").status).isEqualTo(503)
            expectThat(sent).isEmpty()
        }

        /** Guards against refusals while a record that has just been appended is being read. */
        @Test
        fun `serves the request if the view was complete within the time in which records take effect`() = runTest {
            freshness.freshAtMs = timer.now
            freshness.isMissingRecords = true
            expectThat(handleRequest("/read/x").status).isEqualTo(200)
        }

        /** Guards against a request that goes to a target which has left, while the record of that waits behind the request (DRAIN). */
        @Test
        fun `waits for recent entries of targets before it chooses one`() = runTest {
            targetsFreshness.freshAtMs = timer.now - TABLE_AGE_MS
            targetsFreshness.onWait = { directory.onRecords(listOf(KeyedRecord("t0", null, 9)), 10) }
            expectThat(handleRequest("/read/x", targets = 1).status).isEqualTo(503)
            expectThat(sent).isEmpty()
        }

        /** Guards against a target that is given more time than the caller has left, because the wait for the record is not counted. */
        @Test
        fun `counts the wait for the record as time of the request`() = runTest {
            freshness.freshAtMs = timer.now - TABLE_AGE_MS
            freshness.onWait = { timer.now += WAIT_MS }
            handleRequest("/read/x", deadlineMs = DEADLINE_MS)
            val headers = sent.single().second.headers
            expectThat(headers[names.deadlineMs]!!.toLong()).isLessThanOrEqualTo(DEADLINE_MS - WAIT_MS)
        }
    }

    private companion object {
        /** More than the two seconds in which changes must be in force. */
        const val TABLE_AGE_MS = 2_100L
        const val WAIT_MS = 200L
        const val DEADLINE_MS = 900L
    }
}
