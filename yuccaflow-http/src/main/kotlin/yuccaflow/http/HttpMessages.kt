package yuccaflow.http

/** A whole HTTP request. [target] is the path with its query, as received. [body] must not be changed after construction. */
class HttpRequest(
    val method: String,
    val target: String,
    val headers: HttpHeaderList = HttpHeaderList.Empty,
    val body: ByteArray = EMPTY_BODY,
) {
    /** The path without the query. */
    val path: String get() = target.substringBefore('?')
}

/** A whole HTTP response. [body] must not be changed after construction. */
class HttpResponse(
    val status: Int,
    val headers: HttpHeaderList = HttpHeaderList.Empty,
    val body: ByteArray = EMPTY_BODY,
)

/** The body of a message without content. */
val EMPTY_BODY: ByteArray = ByteArray(0)
