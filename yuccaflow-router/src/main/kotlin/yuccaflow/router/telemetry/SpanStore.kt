package yuccaflow.router.telemetry

import yuccaflow.control.SpanReport

/** Requests whose spans are kept: at a few kB each they take well under 16 MB. */
private const val DEFAULT_REQUESTS_KEPT = 4_096

/** Bounds the memory of one request that is repeated under the same id again and again. */
private const val SPANS_PER_REQUEST = 32

/** Keeps the latest spans, found by request id. */
interface SpanStore {
    /** The spans recorded for [requestId], in the order of their end; empty when there are none any more. */
    fun spans(requestId: String): List<SpanReport>

    /** Adds a span of [requestId]. */
    fun add(requestId: String, span: SpanReport)
}

/** Creates a store in memory for the spans of the latest [requestsKept] requests. */
fun spanStore(requestsKept: Int = DEFAULT_REQUESTS_KEPT): SpanStore = MemorySpanStore(requestsKept)

internal class MemorySpanStore(
    private val requestsKept: Int,
) : SpanStore {
    private val byRequest = object : LinkedHashMap<String, MutableList<SpanReport>>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, MutableList<SpanReport>>): Boolean = size > requestsKept
    }

    @Synchronized
    override fun spans(requestId: String): List<SpanReport> = byRequest[requestId]?.toList().orEmpty()

    @Synchronized
    override fun add(requestId: String, span: SpanReport) {
        val spans = byRequest.getOrPut(requestId) { mutableListOf() }
        if (spans.size < SPANS_PER_REQUEST) spans += span
    }
}
