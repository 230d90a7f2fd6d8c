package yuccaflow.router.telemetry

/** A span under way. */
interface RouterSpan {
    /** W3C `traceparent` value that names this span as the parent. */
    val traceparent: String

    /** Adds an attribute. */
    fun tag(name: String, value: String)

    /** Ends the span and records it. */
    fun end()
}

/** Creates the spans of this router, one for each hop of a request, and keeps the latest ones for the admin server. */
interface RouterTracing {
    /** Starts a span for [requestId]; [traceparent] names its parent, or is null or malformed for a new trace. */
    fun start(name: String, requestId: String, traceparent: String?): RouterSpan
}
