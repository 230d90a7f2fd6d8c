package yuccaflow.router.telemetry

/** A started span. */
interface RouterSpan {
    /** Value of the W3C `traceparent` header that makes this span the parent of the next one. */
    val traceparent: String

    /** Adds an attribute. */
    fun tag(name: String, value: String)

    /** Ends the span and records it. */
    fun end()
}

/** Starts the spans of this router, one for each hop of a request. */
interface RouterTracing {
    /** Starts a span of the request [requestId]. Without a valid [traceparent] the span begins a new trace. */
    fun start(name: String, requestId: String, traceparent: String?): RouterSpan
}
