package yuccaflow.entry

import yuccaflow.entry.config.CallerLimits
import yuccaflow.entry.config.RoutingTable
import yuccaflow.http.HttpServerLimits

/**
 * The limits of the server for callers, from the [table] in force. Confined to the event loop.
 *
 * Before the first table, the limits are wide, and in effect the memory of the process: no caller may be told that its request is too large
 * for good while this router does not know what the operators allow.
 */
internal class CallerServerLimits(
    requestIdHeader: String,
    private val table: () -> RoutingTable?,
) {
    private val base = HttpServerLimits(pipelineDepth = PIPELINE_DEPTH, requestIdHeader = requestIdHeader)
    private var source: CallerLimits? = null
    private var latest = base.copy(
        headerLimitBytes = WIDE_HEADER_BYTES,
        requestLineLimitBytes = WIDE_HEADER_BYTES,
        bodyLimitBytes = Int.MAX_VALUE,
    )

    /** Returns the limits that are in force now. */
    fun current(): HttpServerLimits {
        val callerLimits = table()?.callerLimits
        if (callerLimits != null && callerLimits != source) {
            source = callerLimits
            latest = withLimitsOf(callerLimits)
        }
        return latest
    }

    private fun withLimitsOf(limits: CallerLimits) = base.copy(
        headerLimitBytes = limits.headerBytes,
        requestLineLimitBytes = limits.headerBytes,
        bodyLimitBytes = limits.bodyBytes,
        requestTimeoutMs = limits.requestTimeoutMs,
        idleTimeoutMs = limits.idleTimeoutMs,
    )

    private companion object {
        /** Requests of one connection that are handled at the same time. */
        const val PIPELINE_DEPTH = 16
        const val WIDE_HEADER_BYTES = 65_536
    }
}
