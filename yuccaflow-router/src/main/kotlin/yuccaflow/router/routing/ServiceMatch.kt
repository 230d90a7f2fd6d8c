package yuccaflow.router.routing

import io.netty.handler.codec.http.QueryStringDecoder
import yuccaflow.control.ConfigState
import yuccaflow.control.KeyRule
import yuccaflow.control.ServiceSpec
import yuccaflow.http.HttpRequest

/** Longest key; memory per counted key is bounded by it. */
internal const val KEY_LIMIT_CHARS: Int = 1_024

/**
 * Finds the service of a request. When services name the request's `Host`, the one of them with the longest matching path prefix serves
 * it, or the only one whatever its path; otherwise the service with the longest matching path prefix does.
 */
internal fun ConfigState.serviceOf(request: HttpRequest): ServiceSpec? {
    val path = request.path
    val host = request.headers["Host"]?.substringBefore(':')
    val ofHost = if (host == null) emptyList() else services.values.filter { it.host.equals(host, ignoreCase = true) }
    return ofHost.longestPrefixOf(path) ?: ofHost.singleOrNull() ?: services.values.longestPrefixOf(path)
}

private fun Collection<ServiceSpec>.longestPrefixOf(path: String): ServiceSpec? =
    filter { it.covers(path) }.maxByOrNull { it.pathPrefix.length }

/** A prefix ends at a segment boundary, so that `/katalog` does not cover `/katalogue`. */
private fun ServiceSpec.covers(path: String): Boolean {
    val prefix = pathPrefix.trimEnd('/')
    return path.startsWith(prefix) && (path.length == prefix.length || path[prefix.length] == '/')
}

/** Result of looking for a request's key. */
internal sealed interface KeyResult {
    data class Found(
        val key: String,
    ) : KeyResult

    data class Missing(
        val reason: String,
    ) : KeyResult
}

/** Finds the key of [request], with percent escapes decoded so that all spellings of a key have the same owner. */
internal fun KeyRule.keyOf(request: HttpRequest): KeyResult {
    val key = try {
        when (this) {
            is KeyRule.PathSegment ->
                request.path
                    .removePrefix("/")
                    .split('/')
                    .getOrNull(index)
                    ?.let(::decodeSegment)
            is KeyRule.QueryParameter -> QueryStringDecoder(request.target).parameters()[name]?.firstOrNull()
            is KeyRule.Header -> request.headers[name]
        }
    } catch (e: IllegalArgumentException) {
        return KeyResult.Missing("expected a key with valid percent escapes: ${e.message}")
    }
    return when {
        key.isNullOrEmpty() -> KeyResult.Missing("expected a key in ${describe()}, found none")
        key.length > KEY_LIMIT_CHARS -> KeyResult.Missing("expected a key of at most $KEY_LIMIT_CHARS characters, found ${key.length}")
        else -> KeyResult.Found(key)
    }
}

/** A plus sign stands for itself in a path, unlike in a query. */
private fun decodeSegment(segment: String): String = QueryStringDecoder.decodeComponent(segment.replace("+", "%2B"))

private fun KeyRule.describe(): String =
    when (this) {
        is KeyRule.PathSegment -> "path segment $index"
        is KeyRule.QueryParameter -> "query parameter $name"
        is KeyRule.Header -> "header $name"
    }
