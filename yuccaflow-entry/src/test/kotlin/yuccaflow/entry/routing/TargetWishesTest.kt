package yuccaflow.entry.routing

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.doesNotContain
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.KEYED_SERVICE
import yuccaflow.entry.keys.Assignment
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.FIRST_KEY
import yuccaflow.entry.keys.LAST_KEY
import yuccaflow.entry.keys.incarnationOf
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpResult
import yuccaflow.http.SocketAddress
import yuccaflow.http.headersOf

/** Targets may change their mind about requests at any time: between the choice and the send, and in each answer. */
@DisplayName("The request router respects the wishes of targets")
internal class TargetWishesTest : RequestRouterFixture() {
    @Nested
    @DisplayName("given a request that waits for a connection")
    inner class WaitingForConnection {
        /** Guards against requests to a target that began to leave after it was chosen. */
        @Test
        fun `sends it to another target if its target begins to drain meanwhile`() = runTest {
            val drained = ArrayList<SocketAddress>()
            waitForConnection = { address ->
                val entry = directory.ofService("s").map { it.entry }.first { it.address == address }
                val change = FakeRecords.targetChange(entry.copy(isDraining = true))
                if (drained.isEmpty()) directory.onRecords(listOf(KeyedRecord(change.key, change.value, 10)), 11, timer.now)
                drained += address
            }
            expectThat(handleRequest("/book/1").status).isEqualTo(200)
            expectThat(sent.map { it.first }).containsExactly(drained.last())
            expectThat(drained.toSet()).hasSize(2)
        }

        /** Guards against work for a caller whose time is over. */
        @Test
        fun `does not send it after its deadline`() = runTest {
            waitForConnection = { timer.now += 900 }
            val response = handleRequest("/book/1", deadlineMs = 900)
            expectThat(response.status).isEqualTo(503)
            expectThat(sent).hasSize(0)
        }

        /** Guards against a target that works on after the deadline because it was told the time before the wait. */
        @Test
        fun `tells the target the time that is left after the wait`() = runTest {
            waitForConnection = { timer.now += 300 }
            handleRequest("/book/1", deadlineMs = 905)
            expectThat(sent.single().second.headers[names.deadlineMs]).isEqualTo("600")
        }
    }

    @Nested
    @DisplayName("when the entry of the next process at a target's address is read")
    inner class Restarted {
        private fun readNextEntry() {
            val entry = directory.ofService("s").first().entry
            val change = FakeRecords.targetChange(entry.copy(bornMs = entry.bornMs!! + 1))
            directory.onRecords(listOf(KeyedRecord(change.key, change.value, 10)), 11, timer.now)
        }

        /** Guards against an answer of a process that is recorded for the former one, because the request was chosen for that one. */
        @Test
        fun `does not send it a request that was waiting for a connection to the former owner of its key`() = runTest {
            handleRequest("/read/1")
            sent.clear()
            val entry = FakeRecords.entry("k", 9)
            val next = FakeRecords.targetRecord(entry.copy(bornMs = 2), 11)
            directory.onRecords(listOf(FakeRecords.targetRecord(entry, 10)), 11, timer.now)
            val change = ClusterState.rangeChange(Assignment(KEYED_SERVICE, FIRST_KEY, LAST_KEY, incarnationOf(entry), generation = 1))
            clusterState.onRecords(listOf(KeyedRecord(change.key, change.value, 1)), 2)
            waitForConnection = { directory.onRecords(listOf(next), 12, timer.now) }
            val keyed = request("/keyed/1").let { HttpRequest(it.method, it.target, it.headers.with(names.key, "5"), it.body) }
            expectThat(router.handle(keyed).status).isEqualTo(503)
            expectThat(sent).hasSize(0)
        }

        /** Guards against a pause that is recorded for the former process only, so that the one that asked for it gets requests. */
        @Test
        fun `respects the pause for which it asks in response to a request in progress`() = runTest {
            results = { shedWithPause("2.5").also { readNextEntry() } }
            handleRequest("/book/1", targets = 1)
            sent.clear()
            expectThat(router.handle(request("/book/1")).status).isEqualTo(503)
            expectThat(sent).hasSize(0)
        }
    }

    @Nested
    @DisplayName("given a target that asks for a pause")
    inner class PausedTargets {
        private suspend fun sendMany(times: Int = FURTHER_REQUESTS) = repeat(times) { router.handle(request("/book/1")) }

        /** Guards against requests to a target that has asked for none, and against a pause that ends before its time. */
        @Test
        fun `sends it nothing until the pause is over`() = runTest {
            results = { if (it == 1) shedWithPause("2.5") else served() }
            handleRequest("/book/1", targets = 1)
            sendMany()
            timer.now += 2_400
            sendMany()
            expectThat(sent).hasSize(1)
            timer.now += 200
            sendMany()
            expectThat(sent.size).isGreaterThan(1)
        }

        /** Guards against refusals although another target takes requests. */
        @Test
        fun `sends the requests to other targets meanwhile`() = runTest {
            results = { if (it == 1) shedWithPause("2.5") else served() }
            expectThat(handleRequest("/book/1").status).isEqualTo(200)
            sendMany()
            expectThat(sent.count { it.first == sent.first().first }).isEqualTo(1)
            expectThat(sent).hasSize(FURTHER_REQUESTS + 2)
        }

        /** Guards against the end of a longer pause that a shorter one brings forward. */
        @Test
        fun `keeps to the latest end`() = runTest {
            results = { if (it <= 2) shedWithPause(if (it == 1) "2" else "0.5") else served() }
            handleRequest("/book/1", targets = 1)
            timer.now += 2_000
            router.handle(request("/book/1"))
            sent.clear()
            timer.now += 400
            expectThat(router.handle(request("/book/1")).status).isEqualTo(503)
            expectThat(sent).hasSize(0)
        }

        /** Guards against callers that wait or come back although no target takes requests. */
        @Test
        fun `refuses at once with the shortest rest if all have asked`() = runTest {
            results = { shedWithPause(if (it == 1) "4" else "3") }
            handleRequest("/book/1", targets = 2)
            sent.clear()
            val askedAtMs = timer.now
            val response = router.handle(request("/book/1"))
            expectThat(response.status).isEqualTo(503)
            expectThat(response.headers["Retry-After"]!!.toDouble()).isGreaterThan(2.9).isLessThan(5.1)
            expectThat(timer.now).isEqualTo(askedAtMs)
            expectThat(sent).hasSize(0)
        }

        /** Guards against a request that was chosen before the pause and leaves the router within it. */
        @Test
        fun `withdraws a request that waits for a connection to it`() = runTest {
            var isFirst = true
            waitForConnection = { address ->
                if (isFirst) directory.ofService("s").first { it.entry.address == address }.pauseUntil(timer.now + 5_000)
                isFirst = false
            }
            expectThat(handleRequest("/book/1").status).isEqualTo(200)
            expectThat(sent).hasSize(1)
        }

        /** Guards against a target that is suspected of a failure because it has asked for a pause. */
        @Test
        fun `does not suspect it`() = runTest {
            results = { shedWithPause("0.01") }
            repeat(10) {
                handleRequest("/book/1", targets = 1)
                timer.now += 3_000
            }
            expectThat(log.count("target_suspected")).isEqualTo(0)
        }
    }

    @Nested
    @DisplayName("given a target that says in an answer that it leaves")
    inner class LeavingAnswers {
        /** Guards against new requests to a target that has told this router that it leaves, while the store does not say so. */
        @ParameterizedTest
        @ValueSource(ints = [200, 404, 500])
        fun `sends it no further request`(status: Int) = runTest {
            results = { if (it == 1) leaving(status) else served() }
            handleRequest("/book/1")
            val leavingAddress = sent.single().first
            repeat(FURTHER_REQUESTS) { router.handle(request("/book/1")) }
            expectThat(sent.drop(1).map { it.first }).doesNotContain(leavingAddress)
            expectThat(log.count("target_draining")).isEqualTo(1)
        }

        /** Guards against a leaving that is forgotten when the target's entry is listed again. */
        @Test
        fun `keeps to it when its entry is listed again`() = runTest {
            results = { if (it == 1) leaving() else served() }
            handleRequest("/book/1")
            handleRequest("/book/1")
            repeat(FURTHER_REQUESTS) { router.handle(request("/book/1")) }
            expectThat(sent.drop(1).map { it.first }).doesNotContain(sent.first().first)
        }

        /** Guards against a leaving that outlives the process: the next one at the address is another target. */
        @Test
        fun `uses the next process at its address`() = runTest {
            results = { if (it == 1) leaving() else served() }
            handleRequest("/book/1", targets = 1)
            val change = FakeRecords.targetChange(FakeRecords.entry("t0", 1, bornMs = 9, service = "s"))
            directory.onRecords(listOf(KeyedRecord(change.key, change.value, 10)), 11)
            expectThat(router.handle(request("/book/1")).status).isEqualTo(200)
        }

        /** Guards against an answer of another target, at an address that is used again, that is taken for this one's. */
        @Test
        fun `does not believe another target`() = runTest {
            val answer = headersOf(names.instance to "other", names.leaving to "1", names.notRun to "1")
            results = { if (it == 1) HttpResult.Answered(HttpResponse(421, answer)) else served() }
            handleRequest("/book/1")
            expectThat(log.count("target_draining")).isEqualTo(0)
        }
    }

    private companion object {
        const val FURTHER_REQUESTS = 50
    }
}
