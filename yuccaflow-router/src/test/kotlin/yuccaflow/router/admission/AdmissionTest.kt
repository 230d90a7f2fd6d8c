package yuccaflow.router.admission

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import yuccaflow.control.ControlRecord
import yuccaflow.control.KeyRange
import yuccaflow.control.RouterId
import yuccaflow.control.TargetId
import yuccaflow.router.CATALOGUE
import yuccaflow.router.TargetFault
import yuccaflow.router.outcome
import yuccaflow.router.requestPath

class AdmissionTest {
    @Nested
    inner class Slots {
        @Test
        fun `a cold target never gets more requests than it can handle while it warms up under full load`() = requestPath {
            val router = router("a")
            val target = target("t", router) { concurrencyLimit = { answered -> 1 + answered / 20 } }
            repeat(5_000) {
                launch { router.get("/prest") }
                delay(1)
            }
            expectThat(target.shed).isEqualTo(0)
            expectThat(target.peak).isEqualTo(5)
        }

        @Test
        fun `a target that turns cold is reduced to one slot by the first requests that it sheds`() = requestPath {
            val router = router("a")
            val target = target("t", router)
            repeat(2_000) { launch { router.get("/prest") }.also { delay(2) } }
            val answeredBefore = target.answered
            target.concurrencyLimit = { answered -> 1 + (answered - answeredBefore) / 20 }
            repeat(2_000) { launch { router.get("/prest") }.also { delay(2) } }
            expectThat(target.shed).isLessThanOrEqualTo(6)
        }

        @Test
        fun `the slot of a lost answer stays taken until the request is past its deadline`() = requestPath {
            val router = router("a")
            val target = target("t", router) {
                onWork = { TargetFault.CONNECTION_LOST }
                serviceMs = { 10_000 }
            }
            expectThat(router.post("/prest", "X-Deadline-Ms" to "300").outcome).isEqualTo("unknown")
            expectThat(router.post("/prest", "X-Deadline-Ms" to "200").outcome).isEqualTo("not-run")
            delay(320 - test.currentTime)
            expectThat(router.post("/prest", "X-Deadline-Ms" to "200").outcome).isEqualTo("unknown")
            expectThat(target.peak).isEqualTo(1)
            expectThat(target.runs.size).isEqualTo(2)
        }

        @Test
        fun `waiting for the running requests of a range lasts until none can be running at the target`() = requestPath {
            val router = router("a")
            val target = target("t", router, CATALOGUE) { serviceMs = { 10_000 } }
            val epoch = assignRange("t")
            launch { router.get("/katalog/k1", "X-Deadline-Ms" to "200") }
            delay(20)
            append(ControlRecord.MoveStarted(CATALOGUE, KeyRange("", null), epoch, null))
            router.gateway.awaitNoneRunning(TargetId("t"), CATALOGUE, KeyRange("", null))
            expectThat(target.running).isEqualTo(0)
            expectThat(target.lastEndMs).isLessThanOrEqualTo(test.currentTime)
        }

        @Test
        fun `requests in flight still take slots after a release note has changed the target`() = requestPath {
            val router = router("a")
            val target = target("t", router) { serviceMs = { 200 } }
            launch { router.post("/prest") }
            delay(20)
            configure { copy(targets = targets.mapValues { it.value.copy(slots = 4) }) }
            launch { router.post("/prest") }
            delay(20)
            expectThat(target.running).isEqualTo(1)
            router.gateway.awaitNoneRunning(TargetId("t"))
            expectThat(test.currentTime).isGreaterThanOrEqualTo(200)
        }

        @Test
        fun `a queued request is not sent if its range starts to move`() = requestPath {
            val router = router("a")
            val target = target("t", router, CATALOGUE) { serviceMs = { 50 } }
            val epoch = assignRange("t")
            val requests = (1..3).map { async { router.get("/katalog/k$it") }.also { delay(1) } }
            append(ControlRecord.MoveStarted(CATALOGUE, KeyRange("", null), epoch, null))
            expectThat(requests.awaitAll().map { it.outcome }).isEqualTo(listOf("answered", "not-run", "not-run"))
            expectThat(target.runs.size).isEqualTo(1)
        }
    }

    @Nested
    inner class Overload {
        @ParameterizedTest
        @ValueSource(ints = [2, 5])
        fun `goodput stays near capacity and refusals are quick under several times the load`(
            factor: Int,
        ) = requestPath {
            val router = router("a")
            val target = target("t", router)
            repeat(1_000) { launch { router.get("/prest") }.also { delay(3) } }
            val answeredBefore = target.answered
            var refusals = 0
            var slowestRefusalMs = 0L
            var answers = 0
            val perMs = factor * 5 / 10.0
            repeat(10_000) { ms ->
                repeat(((ms + 1) * perMs).toInt() - (ms * perMs).toInt()) {
                    launch {
                        val startMs = test.currentTime
                        val outcome = router.get("/prest", "X-Deadline-Ms" to "100").outcome
                        if (outcome == "answered") answers++ else refusals++
                        if (outcome != "answered") slowestRefusalMs = maxOf(slowestRefusalMs, test.currentTime - startMs)
                    }
                }
                delay(1)
            }
            expectThat(answers).isGreaterThanOrEqualTo(4_750)
            expectThat(target.answered - answeredBefore).isLessThanOrEqualTo(answers + 50)
            expectThat(slowestRefusalMs).isLessThan(100)
            expectThat(refusals).isGreaterThan(0)
        }

        @Test
        fun `no request is sent that cannot be answered before its deadline, and refusals come before the deadline`() = requestPath {
            val router = router("a")
            val target = target("t", router, slots = 1) { serviceMs = { 40 } }
            repeat(3) { router.get("/prest") }
            val requests = (1..8).map { async { router.get("/prest", "X-Deadline-Ms" to "${60 + 10 * it}", "X-Request-Id" to "r$it") } }
            val outcomes = requests.awaitAll().map { it.outcome }
            expectThat(outcomes.count { it == "answered" } + 3).isEqualTo(target.runs.size)
            expectThat(outcomes.toSet()).isEqualTo(setOf("answered", "not-run"))
        }

        @Test
        fun `a request that cannot be served in time after the queued ones is refused immediately`() = requestPath {
            val router = router("a")
            target("t", router, slots = 1) { serviceMs = { 40 } }
            repeat(3) { router.get("/prest") }
            repeat(4) { launch { router.post("/prest", "X-Deadline-Ms" to "170") } }
            delay(1)
            val startMs = test.currentTime
            expectThat(router.post("/prest", "X-Deadline-Ms" to "180").outcome).isEqualTo("not-run")
            expectThat(test.currentTime).isEqualTo(startMs)
        }

        @Test
        fun `queued requests are served in the order of their deadlines`() = requestPath {
            val router = router("a")
            val target = target("t", router, slots = 1) { serviceMs = { 20 } }
            val requests = listOf(400, 300, 200, 100).mapIndexed { index, deadlineMs ->
                async { router.get("/prest", "X-Deadline-Ms" to "$deadlineMs", "X-Request-Id" to "r$index") }.also { delay(1) }
            }
            requests.awaitAll()
            expectThat(target.runs).isEqualTo(mutableListOf("r0", "r3", "r2", "r1"))
        }
    }

    @Nested
    inner class UnresponsiveConnections {
        @Test
        fun `idempotent requests lost on unresponsive connections are retried before half of their time is over`() = requestPath(800) {
            val router = router("a")
            val target = target("t", router, CATALOGUE)
            assignRange("t")
            repeat(300) { router.get("/katalog/k") }
            var lost = 0
            target.onWork = { if (lost++ < 5) TargetFault.REQUEST_LOST else TargetFault.NONE }
            val startMs = test.currentTime
            val outcomes = (1..20).map { async { router.get("/katalog/k$it").outcome } }.awaitAll()
            expectThat(outcomes.toSet()).isEqualTo(setOf("answered"))
            expectThat(test.currentTime - startMs).isLessThan(400)
        }

        @Test
        fun `retries stay within a tenth of the requests`() = requestPath {
            val router = router("a")
            val target = target("t", router)
            repeat(300) { router.get("/prest") }
            var sends = 0
            target.onWork = { TargetFault.REQUEST_LOST.also { sends++ } }
            var requests = 0
            repeat(400) { launch { router.get("/prest").also { requests++ } }.also { delay(300) } }
            delay(1_000)
            expectThat(sends).isLessThanOrEqualTo((requests * 1.2).toInt() + 30)
        }
    }

    @Nested
    inner class Cancellation {
        @Test
        fun `an idempotent request whose caller has left is cancelled at the target, and keeps its slot until it ends`() = requestPath {
            val primary = router("a")
            val entry = router("b")
            val target = target("t", primary) { serviceMs = { 100 } }
            val call = launch { entry.get("/prest", "X-Request-Id" to "r1") }
            delay(10)
            call.cancel()
            delay(10)
            expectThat(target.cancelled).isEqualTo(mutableListOf("r1"))
            expectThat(
                primary.gateway
                    .loads()
                    .single()
                    .inFlight,
            ).isEqualTo(1)
            delay(100)
            expectThat(
                primary.gateway
                    .loads()
                    .single()
                    .inFlight,
            ).isEqualTo(0)
        }

        @Test
        fun `a queued request whose caller has left is not sent and takes no slot`() = requestPath {
            val router = router("a")
            val target = target("t", router, slots = 1) { serviceMs = { 50 } }
            launch { router.post("/prest", "X-Request-Id" to "r1") }
            delay(5)
            val waiting = launch { router.post("/prest", "X-Request-Id" to "r2") }
            delay(5)
            waiting.cancel()
            delay(500)
            expectThat(target.runs).isEqualTo(mutableListOf("r1"))
            expectThat(router.post("/prest").outcome).isEqualTo("answered")
        }
    }

    @Nested
    inner class Loads {
        @Test
        fun `the hot key and the rate of its range are reported`() = requestPath {
            val router = router("a")
            target("t", router, CATALOGUE) { serviceMs = { 1 } }
            assignRange("t")
            repeat(20_000) {
                router.get(if (it % 4 == 0) "/katalog/hot" else "/katalog/k${it % 1_000}")
                delay(1)
            }
            val range = router.gateway
                .loads()
                .single()
                .ranges
                .single()
            val rate = range.requestsPerSecond
            expectThat(rate).isGreaterThan(400.0).isLessThan(550.0)
            expectThat(range.hotKeys.first().key).isEqualTo("hot")
            expectThat(range.hotKeys.first().requestsPerSecond / rate).isGreaterThan(0.2).isLessThan(0.3)
            expectThat(RouterId("a")).isEqualTo(router.id)
        }
    }
}
