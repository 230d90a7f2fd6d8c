package yuccaflow.router.telemetry

import kotlinx.serialization.SerializationStrategy
import yuccaflow.control.AdminJson
import yuccaflow.control.OwnersReport
import yuccaflow.control.StatusReport
import yuccaflow.control.TargetsReport
import yuccaflow.control.TraceReport
import yuccaflow.http.HttpHandler
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.headersOf

/** Source of the data that the admin server serves. Its functions are called for each request and return the current state. */
interface AdminSource {
    /** Returns whether the router holds a valid lease and is not stopping. */
    fun isReady(): Boolean

    /** Returns the state of the router. */
    fun status(): StatusReport

    /** Returns the owners of all key ranges. */
    fun owners(): OwnersReport

    /** Returns the targets of the current configuration. */
    fun targets(): TargetsReport

    /** Returns all metrics in the text format of Prometheus. */
    fun metrics(): String
}

/** Creates the handler of a router's admin server. */
fun adminHandler(source: AdminSource, spans: SpanStore): HttpHandler = AdminHandler(source, spans)

internal class AdminHandler(
    private val source: AdminSource,
    private val spans: SpanStore,
) : HttpHandler {
    override suspend fun handle(request: HttpRequest): HttpResponse {
        if (request.method != "GET" && request.method != "HEAD") return METHOD_NOT_ALLOWED
        return when (request.path) {
            "/health" -> text(OK, "healthy\n")
            "/ready" -> if (source.isReady()) text(OK, "ready\n") else text(UNAVAILABLE, "not ready\n")
            "/metrics" -> text(OK, source.metrics(), "text/plain; version=0.0.4; charset=utf-8")
            "/status" -> json(StatusReport.serializer(), source.status())
            "/owners" -> json(OwnersReport.serializer(), source.owners())
            "/targets" -> json(TargetsReport.serializer(), source.targets())
            else -> if (request.path.startsWith(TRACE_PREFIX)) trace(request.path.removePrefix(TRACE_PREFIX)) else NOT_FOUND
        }
    }

    private fun trace(requestId: String): HttpResponse = json(TraceReport.serializer(), TraceReport(requestId, spans.spans(requestId)))

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val TRACE_PREFIX = "/trace/"
        val NOT_FOUND = text(404, "expected /health, /ready, /metrics, /status, /owners, /targets or /trace/REQUEST-ID\n")
        val METHOD_NOT_ALLOWED = text(405, "expected GET\n")

        fun text(status: Int, body: String, type: String = "text/plain; charset=utf-8") =
            HttpResponse(status, headersOf("Content-Type" to type), body.toByteArray())

        fun <T> json(shape: SerializationStrategy<T>, report: T) =
            HttpResponse(OK, headersOf("Content-Type" to "application/json"), AdminJson.encodeToString(shape, report).toByteArray())
    }
}
