package yuccaflow.http

import java.io.ByteArrayOutputStream
import java.net.Socket

/** A response as received. Header names are in lower case. */
class RawResponse(
    val status: Int,
    val headers: Map<String, String>,
    val body: String,
)

/** A client on a plain socket, which can send requests that a correct client would not send. */
class RawHttpClient(
    address: SocketAddress,
) : AutoCloseable {
    private val socket = Socket(address.host, address.port).apply { soTimeout = READ_LIMIT_MS }

    fun send(text: String): RawHttpClient = apply {
        socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
        socket.getOutputStream().flush()
    }

    /** Reads one response whose body has a Content-Length. */
    fun response(bodyExpected: Boolean = true): RawResponse {
        val head = ByteArrayOutputStream()
        while (!head.toString().endsWith("\r\n\r\n")) head.write(readByte())
        val lines = head.toString().trim().split("\r\n")
        val headers = lines.drop(1).associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val length = if (bodyExpected) headers["content-length"]?.toInt() ?: 0 else 0
        return RawResponse(lines.first().split(' ')[1].toInt(), headers, String(ByteArray(length) { readByte().toByte() }))
    }

    /** Waits for the next byte. Returns true if the server closes the connection instead of sending one. */
    fun isClosedByServer(): Boolean = socket.getInputStream().read() == -1

    override fun close() = socket.close()

    private fun readByte(): Int = socket.getInputStream().read().also { check(it >= 0) { "the connection ended within a response" } }

    private companion object {
        // Only limits how long a test hangs when the server is broken.
        const val READ_LIMIT_MS = 30_000
    }
}
