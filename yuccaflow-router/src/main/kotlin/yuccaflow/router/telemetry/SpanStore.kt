package yuccaflow.router.telemetry

import yuccaflow.control.SpanReport

/** Default number of requests whose spans are kept. At a few kB each they take well under 16 MB. */
private const val DEFAULT_MAX_REQUESTS = 4_096

/** Limit of the spans per request id. It bounds the memory when a caller repeats a request under the same id again and again. */
private const val MAX_SPANS_PER_REQUEST = 32

/** Keeps the spans of recent requests by request id. */
interface SpanStore {
    /** Returns the spans of [requestId] in the order in which they ended, or an empty list when none are kept. */
    fun spans(requestId: String): List<SpanReport>

    /** Adds a span of [requestId]. */
    fun add(requestId: String, span: SpanReport)
}

/** Creates an in-memory store for the spans of the latest [maxRequests] requests. */
fun spanStore(maxRequests: Int = DEFAULT_MAX_REQUESTS): SpanStore = InMemorySpanStore(maxRequests)

internal class InMemorySpanStore(
    private val maxRequests: Int,
) : SpanStore {
    private val byRequest = object : LinkedHashMap<String, MutableList<SpanReport>>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, MutableList<SpanReport>>): Boolean = size > maxRequests
    }

    @Synchronized
    override fun spans(requestId: String): List<SpanReport> = byRequest[requestId]?.toList().orEmpty()

    @Synchronized
    override fun add(requestId: String, span: SpanReport) {
        val spans = byRequest.getOrPut(requestId) { mutableListOf() }
        if (spans.size < MAX_SPANS_PER_REQUEST) spans += span
    }
}
