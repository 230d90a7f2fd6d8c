package yuccaflow.router.routing

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import yuccaflow.control.ControlRecord
import yuccaflow.control.KeyRange
import yuccaflow.control.TargetId
import yuccaflow.http.HttpResponse
import yuccaflow.router.CATALOGUE
import yuccaflow.router.FakeTarget
import yuccaflow.router.PeerFault
import yuccaflow.router.RequestPathFixture
import yuccaflow.router.TargetFault
import yuccaflow.router.outcome
import yuccaflow.router.peer.PeerMessage
import yuccaflow.router.requestPath
import kotlin.random.Random

/** Guards against a request that runs twice, an outcome "not run" of a request that ran, and the answer of another request. */
class AtMostOnceTest {
    @Nested
    inner class SingleFaults {
        @ParameterizedTest
        @EnumSource(TargetFault::class)
        fun `a request that is not idempotent runs at most once when its target fails`(fault: TargetFault) = requestPath {
            val router = router("a")
            val targets = (1..3).map { target("t$it", router) }
            var faults = 0
            targets.forEach { target -> target.onWork = { if (faults++ == 0) fault else TargetFault.NONE } }
            expectTrueOutcome(router.post("/prest", "X-Request-Id" to "r"), "r", targets)
        }

        @ParameterizedTest
        @EnumSource(PeerFault::class)
        fun `a request that is not idempotent runs at most once when its primary fails`(fault: PeerFault) = requestPath {
            val entry = router("a")
            val primaries = listOf(router("b"), router("c"))
            val targets = primaries.mapIndexed { index, primary -> target("t$index", primary) }
            var faults = 0
            onPeerCall = { _, _, _ -> if (faults++ == 0) fault else PeerFault.NONE }
            expectTrueOutcome(entry.post("/prest", "X-Request-Id" to "r"), "r", targets)
        }

        /** Guards against the status of a refusal for a request that its target has run and failed. */
        @Test
        fun `a request that its target answers with 503 after it has run does not look refused`() = requestPath {
            val router = router("a")
            val target = target("t", router) { status = 503 }
            val response = router.post("/prest", "X-Request-Id" to "r")
            expectThat(response.status).isEqualTo(504)
            expectThat(response.headers[OUTCOME_HEADER]).isEqualTo("unknown")
            expectThat(target.runs).isEqualTo(mutableListOf("r"))
        }

        @Test
        fun `a request that reaches a router which is no longer the primary runs once at the new one`() = requestPath {
            val entry = router("a")
            val old = router("b")
            val new = router("c")
            val target = target("t", old, CATALOGUE)
            assignRange("t")
            onPeerCall = { _, to, message ->
                if (message is PeerMessage.ForwardRequest && to === old) handOver("t", new)
                PeerFault.NONE
            }
            expectThat(entry.post("/katalog/k", "X-Request-Id" to "r").outcome).isEqualTo("answered")
            expectThat(target.runs).isEqualTo(mutableListOf("r"))
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `under random faults of targets, peers and primaries every outcome is true`(seed: Int) = requestPath(seed = seed) {
        val random = Random(seed)
        val routers = listOf("a", "b", "c").map { router(it) }
        val targets = routers.map { target("s-${it.id}", it) } + target("k-1", routers[0], CATALOGUE) + target("k-2", routers[1], CATALOGUE)
        assignRange("k-1", KeyRange("", "k5"))
        assignRange("k-2", KeyRange("k5", null))
        targets.forEach { it.onWork = { if (random.nextInt(4) == 0) TargetFault.entries.random(random) else TargetFault.NONE } }
        onPeerCall = { _, _, _ -> if (random.nextInt(4) == 0) PeerFault.entries.random(random) else PeerFault.NONE }
        launch {
            while (true) {
                delay(random.nextLong(200))
                handOver(listOf("s-a", "s-b", "s-c", "k-1", "k-2").random(random), routers.random(random))
            }
        }
        val outcomes = (1..1_500)
            .map { number ->
                delay(random.nextLong(6))
                val path = if (random.nextBoolean()) "/prest" else "/katalog/k${random.nextInt(10)}"
                val post = random.nextBoolean()
                val entry = routers.random(random)
                async {
                    val response = if (post) {
                        entry.post(path, "X-Request-Id" to "r$number")
                    } else {
                        entry.get(
                            path,
                            "X-Request-Id" to "r$number",
                        )
                    }
                    Triple(number, post, response)
                }
            }.awaitAll()
        delay(runLimitMs)
        outcomes.forEach { (number, post, response) -> expectTrueOutcome(response, "r$number", targets, atMostOnce = post) }
        expectThat(outcomes.map { it.third.outcome }.toSet()).isEqualTo(setOf("answered", "not-run", "unknown"))
    }

    @Nested
    inner class RepeatedKeys {
        @Test
        fun `a repeat that arrives while the first runs gets the answer of the first`() = requestPath {
            val entries = listOf(router("a"), router("b"))
            val targets = (1..3).map { target("t$it", entries[0]) }
            targets.forEach { it.serviceMs = { 50 } }
            val answers = (1..4)
                .map { number ->
                    async { entries[number % 2].post("/prest", "Idempotency-Key" to "k", "X-Request-Id" to "r$number") }.also { delay(5) }
                }.awaitAll()
            expectThat(answers.map { it.body.decodeToString() }.distinct()).isEqualTo(listOf("r1"))
            expectThat(targets.sumOf { it.runs.size }).isEqualTo(1)
        }

        @Test
        fun `a repeat after an unknown outcome does not run again`() = requestPath {
            val router = router("a")
            val targets = (1..3).map { target("t$it", router) }
            targets.forEach { it.onWork = { TargetFault.ANSWER_LOST } }
            expectThat(router.post("/prest", "Idempotency-Key" to "k").outcome).isEqualTo("unknown")
            targets.forEach { it.onWork = { TargetFault.NONE } }
            expectThat(router.post("/prest", "Idempotency-Key" to "k").outcome).isEqualTo("unknown")
            expectThat(targets.sumOf { it.runs.size }).isEqualTo(1)
        }

        @Test
        fun `a repeat after the caller has gone gets the answer of the first`() = requestPath {
            val router = router("a")
            val target = target("t", router) { serviceMs = { 50 } }
            val call = launch { router.post("/prest", "Idempotency-Key" to "k", "X-Request-Id" to "r1") }
            delay(10)
            call.cancel()
            val repeat = router.post("/prest", "Idempotency-Key" to "k", "X-Request-Id" to "r2")
            expectThat(repeat.body.decodeToString()).isEqualTo("r1")
            expectThat(target.runs.size).isEqualTo(1)
        }

        @Test
        fun `a repeat after "not run" runs`() = requestPath {
            val router = router("a")
            val target = target("t", router) { onWork = { TargetFault.SHED } }
            expectThat(router.post("/prest", "Idempotency-Key" to "k").outcome).isEqualTo("not-run")
            target.onWork = { TargetFault.NONE }
            expectThat(router.post("/prest", "Idempotency-Key" to "k").outcome).isEqualTo("answered")
        }

        @Test
        fun `another request under a used key is refused and does not get the answer of the first`() = requestPath {
            val router = router("a")
            val target = target("t", router)
            router.post("/prest/1", "Idempotency-Key" to "k")
            expectThat(router.post("/prest/2", "Idempotency-Key" to "k").status).isEqualTo(422)
            expectThat(target.runs.size).isEqualTo(1)
        }
    }

    private fun RequestPathFixture.handOver(target: String, to: RequestPathFixture.FakeRouter) {
        val current = state.value.table.primaries
            .getValue(TargetId(target))
        if (current.router != to.id) append(ControlRecord.PrimaryAssigned(current.target, to.id, current.epoch, current.router))
    }

    private fun expectTrueOutcome(response: HttpResponse, requestId: String, targets: List<FakeTarget>, atMostOnce: Boolean = true) {
        val runs = targets.sumOf { target -> target.runs.count { it == requestId } }
        when (response.outcome) {
            "not-run" -> expectThat(runs).describedAs("runs of refused $requestId").isEqualTo(0)
            "answered" -> {
                expectThat(response.body.decodeToString()).isEqualTo(requestId)
                expectThat(runs).isGreaterThan(0)
            }
        }
        if (atMostOnce) expectThat(runs).describedAs("runs of $requestId").isLessThanOrEqualTo(1)
    }
}
