package yuccaflow.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMessage

/** Hop-by-hop headers, which apply to one connection only and are never copied from a message that is forwarded. */
private val CONNECTION_HEADERS = setOf(
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
)

/** Returns the headers of a received message. */
internal fun HttpHeaders.toHeaderList(): HttpHeaderList =
    HttpHeaderList(iteratorAsString().asSequence().map { HttpHeader(it.key, it.value) }.toList())

/** Adds [headers] to this message, without hop-by-hop headers and those that `Connection` names. */
internal fun HttpMessage.putAll(headers: HttpHeaderList) {
    val named = headers.lines
        .filter { it.name.equals("connection", ignoreCase = true) }
        .flatMap { it.value.split(',') }
        .mapTo(HashSet()) { it.trim().lowercase() }
    headers.lines
        .filterNot { it.name.lowercase() in CONNECTION_HEADERS || it.name.lowercase() in named }
        .forEach { headers().add(it.name, it.value) }
}

/** Sets `Content-Length`. */
internal fun HttpMessage.putLength(bytes: Long) {
    headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes)
}
