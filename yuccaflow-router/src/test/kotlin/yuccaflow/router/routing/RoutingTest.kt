package yuccaflow.router.routing

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import yuccaflow.control.ControlRecord
import yuccaflow.control.KeyRange
import yuccaflow.control.RouterId
import yuccaflow.control.TargetId
import yuccaflow.control.ZoneName
import yuccaflow.router.CATALOGUE
import yuccaflow.router.PeerFault
import yuccaflow.router.TargetFault
import yuccaflow.router.outcome
import yuccaflow.router.ownership.DenialReason
import yuccaflow.router.requestPath
import yuccaflow.router.telemetry.MetricNames
import kotlin.random.Random

class RoutingTest {
    @Nested
    inner class Moves {
        private val all = KeyRange("", null)

        @Test
        fun `a request that arrives during a move is held and served by the new owner`() = requestPath {
            val router = router("a")
            val old = target("t1", router, CATALOGUE)
            val new = target("t2", router, CATALOGUE)
            val epoch = append(ControlRecord.MoveStarted(CATALOGUE, all, assignRange("t1"), TargetId("t2")))
            val held = async { router.post("/katalog/k") }
            delay(200)
            append(ControlRecord.RangeReleased(CATALOGUE, all, epoch, router.id))
            expectThat(held.await().outcome).isEqualTo("answered")
            expectThat(old.runs.size to new.runs.size).isEqualTo(0 to 1)
        }

        @Test
        fun `a held request is refused at its deadline`() = requestPath {
            val router = router("a")
            val target = target("t1", router, CATALOGUE)
            append(ControlRecord.MoveStarted(CATALOGUE, all, assignRange("t1"), null))
            expectThat(router.get("/katalog/k", "X-Deadline-Ms" to "100").outcome).isEqualTo("not-run")
            expectThat(test.currentTime).isEqualTo(100)
            expectThat(target.runs.size).isEqualTo(0)
        }

        @Test
        fun `a request waits until the new owner is granted its range`() = requestPath {
            val router = router("a")
            target("t1", router, CATALOGUE)
            assignRange("t1")
            router.denial = DenialReason.NOT_GRANTED
            val held = async { router.post("/katalog/k") }
            delay(150)
            router.denial = null
            expectThat(held.await().outcome).isEqualTo("answered")
        }

        @Test
        fun `requests held for one range leave half of the capacity to all others`() = requestPath {
            val router = router("a", capacityRequests = 20)
            target("t1", router, CATALOGUE)
            target("s1", router)
            append(ControlRecord.MoveStarted(CATALOGUE, all, assignRange("t1"), null))
            val held = (1..30).map { async { router.get("/katalog/k$it") } }
            delay(10)
            expectThat(held.count { it.isCompleted }).isEqualTo(20)
            expectThat(router.get("/prest").outcome).isEqualTo("answered")
        }
    }

    @Nested
    inner class TargetSelection {
        @Test
        fun `a target at a tenth of its speed gets at most about a tenth of the requests of the others, but still some`() = requestPath {
            val router = router("a")
            val targets = (1..5).map { target("t$it", router) }
            targets[0].serviceMs = { 100 }
            repeat(20_000) {
                launch { router.get("/prest") }
                delay(1)
            }
            val others = targets.drop(1).map { it.answered }.average()
            expectThat(targets[0].answered / others).isLessThanOrEqualTo(0.12).isGreaterThan(0.001)
        }

        @Test
        fun `a target that was slow gets requests again after it has recovered, even while the others are idle`() = requestPath {
            val router = router("a")
            val targets = (1..5).map { target("t$it", router) }
            targets[0].serviceMs = { 200 }
            repeat(300) { router.get("/prest") }
            targets[0].serviceMs = { 10 }
            delay(20_000)
            val answeredBefore = targets[0].answered
            repeat(1_000) { router.get("/prest") }
            expectThat(targets[0].answered - answeredBefore).isGreaterThan(100)
        }

        @Test
        fun `equal targets get equal numbers of requests`() = requestPath {
            val router = router("a")
            val targets = (1..5).map { target("t$it", router) }
            val random = Random(3)
            targets.forEach { it.serviceMs = { random.nextLong(1, 20) } }
            repeat(20_000) {
                launch { router.get("/prest") }
                delay(1)
            }
            expectThat(targets.maxOf { it.answered } / targets.map { it.answered }.average()).isLessThan(1.1)
        }

        @Test
        fun `a target that has just started gets as many requests as the others while there are free slots`() = requestPath {
            val router = router("a")
            val old = (1..4).map { target("t$it", router) }
            repeat(1_000) { launch { router.get("/prest") }.also { delay(4) } }
            val answeredBefore = old.map { it.answered }
            val fresh = target("t5", router)
            repeat(5_000) { launch { router.get("/prest") }.also { delay(4) } }
            val others = old.mapIndexed { index, target -> target.answered - answeredBefore[index] }.average()
            expectThat(fresh.answered / others).isGreaterThan(0.8).isLessThan(1.25)
        }

        @Test
        fun `a target whose zone is marked as leaving gets no new request`() = requestPath {
            val brest = router("a", "brest")
            val rennes = router("b", "rennes")
            val left = target("t1", brest)
            target("t2", rennes)
            configure { copy(leavingZones = setOf(ZoneName("brest"))) }
            repeat(100) { brest.get("/prest") }
            expectThat(left.runs.size).isEqualTo(0)
        }
    }

    @Nested
    inner class Hedges {
        @Test
        fun `hedges stay within 5 percent of the requests and shorten the slowest answers`() = requestPath(runLimitMs = 2_000) {
            val router = router("a")
            val random = Random(7)
            val targets = (1..4).map { target("t$it", router) }
            targets.forEach { it.serviceMs = { if (random.nextInt(50) == 0) 400 else 5 } }
            val latencies = (1..10_000)
                .map {
                    async {
                        val startMs = test.currentTime
                        router.get("/prest")
                        test.currentTime - startMs
                    }.also { delay(2) }
                }.awaitAll()
                .sorted()
            val hedges = router.registry.counter(MetricNames.HEDGES, "service", "prest").count()
            expectThat(hedges).isGreaterThan(100.0).isLessThanOrEqualTo(500.0)
            expectThat(targets.sumOf { it.runs.size }).isLessThanOrEqualTo(10_500)
            expectThat(latencies[9_900]).isLessThan(100)
        }

        @Test
        fun `requests of keyed services and requests that are not idempotent are never hedged`() = requestPath(runLimitMs = 800) {
            val router = router("a")
            val random = Random(7)
            val targets =
                listOf(target("t1", router, CATALOGUE), target("t2", router, CATALOGUE), target("s1", router), target("s2", router))
            assignRange("t1", KeyRange("", "k5"))
            assignRange("t2", KeyRange("k5", null))
            targets.forEach { it.serviceMs = { if (random.nextInt(50) == 0) 400 else 5 } }
            (1..2_000)
                .map {
                    async {
                        if (it % 2 == 0) {
                            router.get("/katalog/k${it % 9}")
                        } else {
                            router.post("/prest")
                        }
                    }.also { delay(4) }
                }.awaitAll()
            val hedges = listOf("prest", "katalog").sumOf { router.registry.counter(MetricNames.HEDGES, "service", it).count() }
            expectThat(hedges).isEqualTo(0.0)
            expectThat(
                targets
                    .drop(2)
                    .flatMap { it.runs }
                    .groupingBy { it }
                    .eachCount()
                    .values
                    .max(),
            ).isEqualTo(1)
        }
    }

    @Nested
    inner class Retries {
        @Test
        fun `retries of a failing service stay within 10 percent of its requests`() = requestPath(runLimitMs = 100) {
            val router = router("a")
            val targets = (1..4).map { target("t$it", router) { onWork = { TargetFault.REQUEST_LOST } } }
            var sends = 0
            targets.forEach { it.onWork = { TargetFault.REQUEST_LOST.also { sends++ } } }
            repeat(2_000) {
                launch { router.get("/prest") }
                delay(10)
            }
            val retries = router.registry.counter(MetricNames.RETRIES, "service", "prest").count()
            expectThat(retries).isLessThanOrEqualTo(0.1 * 2_000 + 10)
        }
    }

    @Nested
    inner class IsolatedZone {
        @Test
        fun `idempotent requests of services without a key are served within the zone, all others are refused as not run`() = requestPath {
            val inside = router("a", "brest")
            val outside = router("b", "rennes")
            val near = (1..2).map { target("near$it", inside) }
            val far = (1..4).map { target("far$it", outside) }
            val keyed = target("k", inside, CATALOGUE)
            assignRange("k")
            inside.hasLease = false
            onPeerCall = { _, _, _ -> PeerFault.NOT_SENT }
            val reads = (1..500).map { async { inside.get("/prest") }.also { delay(5) } }.awaitAll()
            expectThat(reads.map { it.outcome }.toSet()).isEqualTo(setOf("answered"))
            expectThat(inside.post("/prest").outcome).isEqualTo("not-run")
            expectThat(inside.get("/katalog/k").outcome).isEqualTo("not-run")
            expectThat(near.sumOf { it.runs.size }).isGreaterThanOrEqualTo(500)
            expectThat(far.sumOf { it.runs.size } + keyed.runs.size).isEqualTo(0)
        }
    }

    @Nested
    inner class Refusals {
        @Test
        fun `each refusal that says "not run" is true and carries status, reason and request id`() = requestPath(runLimitMs = 100) {
            val router = router("a", capacityRequests = 50)
            val target = target("t", router, slots = 1)
            val keyed = target("k", router, CATALOGUE)
            val cases = mapOf<String, suspend () -> Unit>(
                "target unreachable" to { target.onWork = { TargetFault.NOT_SENT } },
                "target sheds" to { target.onWork = { TargetFault.SHED } },
                "lease lost" to { router.hasLease = false },
                "not granted" to { router.denial = DenialReason.NOT_GRANTED },
                "leaving" to { configure { copy(leavingZones = setOf(ZoneName("brest"))) } },
                "no target" to { configure { copy(targets = targets - TargetId("t")) } },
                "no live primary" to {
                    append(ControlRecord.RouterLeaving(RouterId("a")))
                    append(ControlRecord.RouterStopped(RouterId("a")))
                },
            )
            cases.forEach { (name, prepare) ->
                val before = state.value
                prepare()
                val response = router.post("/prest", "X-Request-Id" to "r-1")
                expectThat(response.status).describedAs(name).isEqualTo(503)
                expectThat(response.outcome).describedAs(name).isEqualTo("not-run")
                expectThat(response.headers["Retry-After"]).describedAs(name).isNotNull()
                expectThat(response.headers["X-Request-Id"]).isEqualTo("r-1")
                expectThat(target.runs.size + keyed.runs.size).describedAs(name).isEqualTo(0)
                target.onWork = { TargetFault.NONE }
                router.hasLease = true
                router.denial = null
                state.value = before
            }
            expectThat(router.post("/katalog/without-owner").outcome).isEqualTo("not-run")
            expectThat(router.post("/prest").outcome).isEqualTo("answered")
        }

        @Test
        fun `requests that name no service, no key or no valid deadline are rejected`() = requestPath {
            val router = router("a")
            target("t", router)
            expectThat(router.get("/unknown").status).isEqualTo(404)
            expectThat(router.get("/prestige").status).isEqualTo(404)
            expectThat(router.get("/katalog/").status).isEqualTo(400)
            expectThat(router.get("/katalog/%zz").status).isEqualTo(400)
            expectThat(router.get("/prest", "X-Deadline-Ms" to "0").status).isEqualTo(400)
        }

        @Test
        fun `requests beyond the capacity of the router are refused at once`() = requestPath {
            val router = router("a", capacityRequests = 3)
            target("t", router) { serviceMs = { 100 } }
            val calls = (1..3).map { async { router.post("/prest") } }
            delay(1)
            expectThat(router.post("/prest").status).isEqualTo(503)
            expectThat(test.currentTime).isEqualTo(1)
            expectThat(calls.awaitAll().count { it.outcome == "answered" }).isGreaterThanOrEqualTo(1)
        }
    }
}
