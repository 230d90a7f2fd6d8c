package yuccaflow.entry.routing

import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isNotNull
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.KEYED_SERVICE
import yuccaflow.entry.keys.Assignment
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.FIRST_KEY
import yuccaflow.entry.keys.LAST_KEY
import yuccaflow.entry.keys.incarnationOf
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.telemetry.Events
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.headersOf

/** Target `t1` owns all keys of the keyed service. */
@DisplayName("The request router, given an owner that turns requests away,")
internal class FullTargetTest : RequestRouterFixture() {
    @BeforeEach
    fun enableLoadControl() {
        hasLoadControl = true
    }

    private suspend fun handleKeyed(times: Int): HttpResponse {
        val owner = FakeRecords.entry("t1", 1)
        operators.onSnapshot(listOf(KeyedRecord("table", ByteArray(0), 0)), 1)
        directory.onSnapshot(listOf(FakeRecords.targetRecord(owner, 0)), 1)
        val change = ClusterState.rangeChange(Assignment(KEYED_SERVICE, FIRST_KEY, LAST_KEY, incarnationOf(owner), 1, emptyList(), false))
        clusterState.onRecords(listOf(KeyedRecord(change.key, change.value, 0)), 1)
        val headers = headersOf("Host" to "h", names.requestId to "r1", names.key to "5", names.deadlineMs to "900")
        return List(times) { router.handle(HttpRequest("GET", "/keyed/1", headers)) }.last()
    }

    /** Guards against a full owner that is mistaken for an unreachable one, so that all of its keys are refused. */
    @Test
    fun `does not suspect it if its load report shows no free slot`() = runTest {
        results = { shedWithLoad("4,2,4") }
        val response = handleKeyed(times = 6)
        expectThat(response.status).isEqualTo(503)
        expectThat(response.headers["Retry-After"]).isNotNull()
        expectThat(log.count(Events.TARGET_SUSPECTED)).isEqualTo(0)
        expectThat(directory.find("t1")!!.failureShare(timer.now)).isEqualTo(0.0)
        expectThat(directory.find("t1")!!.occupancy(timer.now)).isGreaterThan(1.0)
    }

    /** Guards against a faulty target that turns all requests away and is never suspected. */
    @Test
    fun `suspects it if its load report shows free slots or is missing`() = runTest {
        results = { if (it % 2 == 0) shed() else shedWithLoad("1,0,4") }
        handleKeyed(times = 6)
        expectThat(log.count(Events.TARGET_SUSPECTED)).isGreaterThan(0)
    }

    /** Guards against a refusal whose cause cannot be found, and against a place that the response does not tell exactly. */
    @Test
    fun `names the decision and its inputs, and tells the caller its place`() = runTest {
        results = { shedWithLoad("4,20,4") }
        val response = handleKeyed(times = 1)
        val fields = log.events.last { it.first == Events.REQUEST_REFUSED }.second
        expectThat(fields["decision"]).isEqualTo(JsonPrimitive("full_at_target"))
        expectThat(fields.keys).contains("expected_ms", "queue_ms", "limit_ms", "retry_after_ms")
        val retryAfterMs = fields.getValue("retry_after_ms").jsonPrimitive.long
        expectThat(retryAfterMs).isIn(50L..300L)
        expectThat(response.headers["Retry-After"]?.toDoubleOrNull()).isEqualTo(retryAfterMs / 1_000.0)
        expectThat(meters.scrape()).contains("yuccaflow_admission_total{decision=\"full_at_target\"")
    }

    /** Guards against a change of behaviour where load control is not in force. */
    @Test
    fun `suspects it without load control, as before`() = runTest {
        hasLoadControl = false
        results = { shedWithLoad("4,2,4") }
        handleKeyed(times = 6)
        expectThat(log.count(Events.TARGET_SUSPECTED)).isGreaterThan(0)
    }
}
