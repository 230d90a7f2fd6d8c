package yuccaflow.router.telemetry

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.tinylog.Level
import org.tinylog.core.LogEntry
import org.tinylog.runtime.RuntimeProvider
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import strikt.assertions.single
import yuccaflow.base.JsonLinesWriter
import yuccaflow.control.OwnersReport
import yuccaflow.control.RouterId
import yuccaflow.control.StatusReport
import yuccaflow.control.TargetsReport
import yuccaflow.control.ZoneName
import yuccaflow.http.HttpRequest
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.util.concurrent.TimeUnit

/** A valid `traceparent` header; the last field says that the caller did not sample the trace. */
private const val UNSAMPLED_TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00"

@DisplayName("Telemetry")
class TelemetryTest {
    private val spans = spanStore(maxRequests = 2)
    private val tracing = routerTracing("entry-1", spans)

    @Nested
    @DisplayName("traces")
    inner class Traces {
        @Test
        fun `continue the caller's trace even when the caller did not sample it`() {
            val span = tracing.start("entry", "r-1", UNSAMPLED_TRACEPARENT)
            span.tag("target", "katalog-01")
            span.end()
            expectThat(spans.spans("r-1")).single().and {
                get { traceId }.isEqualTo("0af7651916cd43dd8448eb211c80319c")
                get { parentId }.isEqualTo("b7ad6b7169203331")
                get { tags }.isEqualTo(mapOf("target" to "katalog-01"))
                get { host }.isEqualTo("entry-1")
                get { "00-$traceId-$spanId-01" }.isEqualTo(span.traceparent)
            }
        }

        @Test
        fun `start a new trace without a valid parent`() {
            listOf(null, "", "00-zz-11-01", "junk").forEach { tracing.start("entry", "r-1", it).end() }
            expectThat(spans.spans("r-1"))
                .hasSize(4)
                .get { map { it.parentId }.distinct() }
                .single()
                .isNull()
            expectThat(spans.spans("r-1")).get { map { it.traceId }.distinct() }.hasSize(4)
        }

        @Test
        fun `link the spans of a request on several routers by traceparent`() {
            val entry = tracing.start("entry", "r-1", null)
            tracing.start("primary", "r-1", entry.traceparent).end()
            entry.end()
            val (primarySpan, entrySpan) = spans.spans("r-1")
            expectThat(primarySpan.parentId).isEqualTo(entrySpan.spanId)
            expectThat(primarySpan.spanId).isNotEqualTo(entrySpan.spanId)
        }

        /** Memory must stay bounded when many requests arrive, and when a caller repeats one request id. */
        @Test
        fun `are kept for the latest requests only, with a limited number of spans each`() {
            repeat(100) { tracing.start("entry", "r-1", null).end() }
            expectThat(spans.spans("r-1")).hasSize(32)
            tracing.start("entry", "r-2", null).end()
            tracing.start("entry", "r-3", null).end()
            expectThat(spans.spans("r-1")).isEmpty()
        }
    }

    @Nested
    @DisplayName("log lines")
    inner class LogLines {
        @Test
        fun `are JSON objects with context fields, on one line even when the message contains a line break`() {
            val output = ByteArrayOutputStream()
            val entry = LogEntry(
                RuntimeProvider.createTimestamp(),
                null,
                mapOf("router" to "r\"1"),
                "a.b.Lease",
                null,
                null,
                -1,
                null,
                Level.WARN,
                "ended\nsoon",
                IllegalStateException("cause"),
            )
            JsonLinesWriter(PrintStream(output)).write(entry)
            val line = output.toString().trim()
            expectThat(line.lines()).hasSize(1)
            val json = Json.parseToJsonElement(line).jsonObject.mapValues { it.value.jsonPrimitive.content }
            expectThat(json)
                .get { listOf(get("router"), get("level"), get("logger"), get("message")) }
                .isEqualTo(listOf("r\"1", "warn", "Lease", "ended\nsoon"))
            expectThat(json.getValue("error")).contains("cause")
        }
    }

    @Nested
    @DisplayName("the admin server")
    inner class Admin {
        private var isRouterReady = true
        private val registry = meterRegistry("entry-1", "brest")
        private val handler = adminHandler(
            object : AdminSource {
                override fun isReady() = isRouterReady

                override fun status() = StatusReport(RouterId("id-1"), "entry-1", ZoneName("brest"), "LIVE", 900, 5, 3, 2, emptyList())

                override fun owners() = OwnersReport(5, emptyList())

                override fun targets() = TargetsReport(emptyList())

                override fun metrics(): String = registry.scrape()
            },
            spans,
        )

        private fun get(target: String, method: String = "GET") = runBlocking { handler.handle(HttpRequest(method, target)) }

        private fun body(target: String) = get(target).body.decodeToString()

        @Test
        fun `reports ready only while the router is ready, and always reports healthy`() {
            expectThat(get("/ready").status).isEqualTo(200)
            isRouterReady = false
            expectThat(get("/ready").status).isEqualTo(503)
            expectThat(get("/health").status).isEqualTo(200)
        }

        @Test
        fun `serves status and traces as JSON with names in snake case`() {
            expectThat(body("/status")).contains("\"config_version\":2").contains("\"lease_remaining_ms\":900")
            tracing.start("entry", "r-1", null).end()
            expectThat(body("/trace/r-1")).contains("\"request_id\":\"r-1\"").contains("\"name\":\"entry\"")
        }

        @Test
        fun `serves metrics with host, zone and histogram buckets of requests`() {
            registry.timer(MetricNames.REQUESTS, "service", "katalog", "outcome", "answered").record(5, TimeUnit.MILLISECONDS)
            expectThat(body("/metrics")).contains("yuccaflow_requests_seconds_bucket{host=\"entry-1\"").contains("zone=\"brest\"")
        }

        @Test
        fun `refuses other paths and methods`() {
            expectThat(get("/nothing").status).isEqualTo(404)
            expectThat(get("/status", "POST").status).isEqualTo(405)
        }
    }
}
