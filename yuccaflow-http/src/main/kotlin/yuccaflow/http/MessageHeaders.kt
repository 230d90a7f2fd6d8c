package yuccaflow.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMessage

/** Headers that hold for one connection only, so they are never taken over from a message that is passed on. */
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

/** The headers of a received message. */
internal fun HttpHeaders.toHeaderList(): HttpHeaderList =
    HttpHeaderList(iteratorAsString().asSequence().map { HttpHeader(it.key, it.value) }.toList())

/** Puts [headers] on this message, without those that hold for one connection only. */
internal fun HttpMessage.putAll(headers: HttpHeaderList) {
    val named = headers.lines
        .filter { it.name.equals("connection", ignoreCase = true) }
        .flatMap { it.value.split(',') }
        .map { it.trim().lowercase() }
    headers.lines
        .filterNot { it.name.lowercase() in CONNECTION_HEADERS || it.name.lowercase() in named }
        .forEach { headers().add(it.name, it.value) }
}

/** Sets the length of the body. */
internal fun HttpMessage.putLength(bytes: Long) {
    headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes)
}
