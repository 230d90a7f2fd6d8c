package yuccaflow.http

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A server on plain sockets, which can send responses that a correct server would not send. */
internal class ScriptedServer : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val accepted = AtomicInteger()

    val address = SocketAddress("127.0.0.1", listener.localPort)

    /** The number of connections so far. */
    val acceptedCount: Int get() = accepted.get()

    /** Serves each connection with [script], which receives the number of the connection, counted from 1. */
    fun serve(script: (Socket, Int) -> Unit) {
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    val socket = listener.accept()
                    val number = accepted.incrementAndGet()
                    thread(isDaemon = true) { runCatching { socket.use { script(it, number) } } }
                }
            }
        }
    }

    override fun close() = listener.close()

    private companion object {
        const val BACKLOG = 50
    }
}

/** Reads one request without a body. Returns false when the client closed the connection. */
internal fun Socket.readRequest(): Boolean {
    val seen = StringBuilder()
    while (!seen.endsWith("\r\n\r\n")) {
        val byte = getInputStream().read()
        if (byte < 0) return false
        seen.append(byte.toChar())
    }
    return true
}

/** Sends a response with [body], whose length is given. */
internal fun Socket.answer(body: String, headers: String = "X-Request-Id: r-1\r\n", status: Int = 200) =
    getOutputStream().write("HTTP/1.1 $status Any\r\n${headers}Content-Length: ${body.length}\r\n\r\n$body".toByteArray())

/** Returns the body of the response, or null if there is none. */
internal fun bodyOf(result: HttpResult) = (result as? HttpResult.Answered)?.response?.body?.decodeToString()
