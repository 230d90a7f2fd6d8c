package yuccaflow.http

/** A complete HTTP request. [target] is the path with the query, as received. [body] must not be modified after construction. */
class HttpRequest(
    val method: String,
    val target: String,
    val headers: HttpHeaderList = HttpHeaderList.Empty,
    val body: ByteArray = EMPTY_BODY,
) {
    /** The path without the query. */
    val path: String get() = target.substringBefore('?')
}

/** A complete HTTP response. [body] must not be modified after construction. */
class HttpResponse(
    val status: Int,
    val headers: HttpHeaderList = HttpHeaderList.Empty,
    val body: ByteArray = EMPTY_BODY,
)

/** The empty body of a message without content. */
val EMPTY_BODY: ByteArray = ByteArray(0)
