package yuccaflow.router.routing

import io.netty.handler.codec.http.QueryStringDecoder
import yuccaflow.control.ConfigState
import yuccaflow.control.KeyRule
import yuccaflow.control.ServiceSpec
import yuccaflow.http.HttpRequest

/** Maximum length of a key. It bounds the memory that each counted key takes. */
internal const val KEY_LIMIT_CHARS: Int = 1_024

/**
 * Returns the service that matches a request, or null. Among the services configured for the request's `Host`, the one with the longest
 * matching path prefix is used; a service that is the only one for its host matches any path. Otherwise the service with the longest
 * matching path prefix of all is used.
 */
internal fun ConfigState.serviceOf(request: HttpRequest): ServiceSpec? {
    val path = request.path
    val host = request.headers["Host"]?.substringBefore(':')
    val ofHost = if (host == null) emptyList() else services.values.filter { it.host.equals(host, ignoreCase = true) }
    return ofHost.longestPrefixOf(path) ?: ofHost.singleOrNull() ?: services.values.longestPrefixOf(path)
}

private fun Collection<ServiceSpec>.longestPrefixOf(path: String): ServiceSpec? =
    filter { it.covers(path) }.maxByOrNull { it.pathPrefix.length }

/** Returns whether the path prefix matches [path] at a segment boundary, so that `/katalog` does not match `/katalogue`. */
private fun ServiceSpec.covers(path: String): Boolean {
    val prefix = pathPrefix.trimEnd('/')
    return path.startsWith(prefix) && (path.length == prefix.length || path[prefix.length] == '/')
}

/** Result of extracting the key from a request. */
internal sealed interface KeyResult {
    data class Found(
        val key: String,
    ) : KeyResult

    data class Missing(
        val reason: String,
    ) : KeyResult
}

/** Extracts the key from [request]. Percent escapes are decoded, so that all spellings of a key have the same owner. */
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

/** Decodes percent escapes but keeps plus signs, which mean a space in a query but not in a path. */
private fun decodeSegment(segment: String): String = QueryStringDecoder.decodeComponent(segment.replace("+", "%2B"))

private fun KeyRule.describe(): String =
    when (this) {
        is KeyRule.PathSegment -> "path segment $index"
        is KeyRule.QueryParameter -> "query parameter $name"
        is KeyRule.Header -> "header $name"
    }
